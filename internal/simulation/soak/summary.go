package soak

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Latency is the distribution of the latency of answered calls, in milliseconds.
type Latency struct {
	P50   int64 `json:"half"`
	P95   int64 `json:"of-100-95"`
	P99   int64 `json:"of-100-99"`
	Worst int64 `json:"worst"`
}

// Summary is the report of a soak: its input, what was observed and the violations.
type Summary struct {
	Schedule      *Schedule         `json:"schedule"`
	InjectedFault InjectedFault     `json:"plant,omitempty"`
	Mix           *Mix              `json:"mix,omitempty"`
	Streams       int               `json:"streams,omitempty"`
	Lots          int               `json:"lots,omitempty"`
	Evacuations   int               `json:"evacuations,omitempty"`
	FaultCounts   map[FaultKind]int `json:"struck"`
	Calls         map[string]int    `json:"calls"`
	Latency       Latency           `json:"latency-ms"`
	Jobs          int               `json:"jobs"`
	States        map[string]int    `json:"states"`
	Runs          int               `json:"runs"`
	Versions      int               `json:"versions"`
	Exits         int               `json:"exits"`
	Stalls        int               `json:"stalls"`
	// Rollouts maps the names of rollouts to the states last seen.
	Rollouts map[string]string `json:"rollouts,omitempty"`
	// Applications counts the observations of applications by kind.
	Applications map[string]int `json:"applications"`
	Slopes       []Slope        `json:"slopes,omitempty"`
	Violations   []Violation    `json:"violations"`
	ByOracle     map[Oracle]int `json:"by-oracle"`
}

const (
	// maxLatencyMs is the upper end of the histogram, and latencyDigits its significant decimal digits.
	maxLatencyMs  = 60_000
	latencyDigits = 2
)

func newSummary(options Options, schedule *Schedule, h *History, violations []Violation) *Summary {
	report := &Summary{Schedule: schedule, InjectedFault: options.InjectedFault, Mix: options.Mix, Streams: len(h.Streams), Lots: len(h.Lots),
		Evacuations: len(h.Evacuations), FaultCounts: map[FaultKind]int{}, Calls: map[string]int{}, States: map[string]int{},
		ByOracle: map[Oracle]int{}, Runs: len(h.Runs), Versions: len(h.Acknowledgements), Exits: len(h.Exits), Stalls: len(h.Stalls),
		Applications: applicationCounts(h), Slopes: slopes(h), Violations: violations, Jobs: len(acceptedJobs(h))}
	latency := hdrhistogram.New(1, maxLatencyMs, latencyDigits)
	for index := range h.Calls {
		call := &h.Calls[index]
		report.Calls[string(call.Outcome)]++
		if call.Outcome == answered {
			// A latency beyond the histogram's range is left out; calls time out long before.
			_ = latency.RecordValue((call.EndedAt - call.SentAt).Milliseconds())
		}
	}
	report.Latency = Latency{latency.ValueAtQuantile(50), latency.ValueAtQuantile(95), latency.ValueAtQuantile(99), latency.Max()}
	for _, seen := range h.Rollouts {
		if report.Rollouts == nil {
			report.Rollouts = map[string]string{}
		}
		report.Rollouts[seen.Name] = fmt.Sprintf("%s at %g %s", seen.State, seen.Share, seen.Reason)
	}
	for _, trouble := range h.Troubles {
		report.FaultCounts[trouble.Kind]++
	}
	for _, state := range h.FinalStates {
		report.States[state]++
	}
	for _, violation := range violations {
		report.ByOracle[violation.Oracle]++
	}
	return report
}

// applicationCounts counts the observations of applications by kind.
func applicationCounts(h *History) map[string]int {
	seen := &h.Applications
	return map[string]int{"holds": len(seen.Holds), "numbers": len(seen.Numbers), "puts": len(seen.Puts), "reads": len(seen.Reads),
		"watches": len(seen.Watches)}
}

// maxShown is the maximum number of violations in the printed report.
const maxShown = 12

// Write prints the report as text; scripts read its lines.
func (r *Summary) Write(to io.Writer) {
	fmt.Fprintf(to, "seed %d, %d processes, %v: %d jobs, %d runs, %d versions, calls %v\n", r.Schedule.Seed, r.Schedule.Processes,
		r.Schedule.length(), r.Jobs, r.Runs, r.Versions, r.Calls)
	fmt.Fprintf(to, "  struck %v, exits %d, stalls of this machine %d\n", r.FaultCounts, r.Exits, r.Stalls)
	fmt.Fprintf(to, "  answers, ms: half %d, 95 of 100 %d, 99 of 100 %d, worst %d; jobs at last %v\n", r.Latency.P50, r.Latency.P95, r.Latency.P99,
		r.Latency.Worst, r.States)
	fmt.Fprintf(to, "  applications: %v\n", r.Applications)
	for _, violation := range r.Violations[:min(maxShown, len(r.Violations))] {
		fmt.Fprintf(to, "  %s at %v: %s\n", violation.Oracle, violation.At.Round(time.Millisecond), violation.Text)
	}
	if len(r.Violations) == 0 {
		fmt.Fprintln(to, "  nothing found")
		return
	}
	fmt.Fprintf(to, "  found %d: %v\n", len(r.Violations), r.ByOracle)
}

// FoundBy reports whether an oracle found a violation.
func (r *Summary) FoundBy(oracle Oracle) bool {
	return slices.ContainsFunc(r.Violations, func(violation Violation) bool { return violation.Oracle == oracle })
}
