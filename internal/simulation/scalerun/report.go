package scalerun

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"
)

// Aim is the size that users want within two years.
var Aim = Point{Workers: 1000, Running: 15000, Starts: 620}

type measure struct {
	name  string
	unit  string
	value func(Cost) float64
}

var measures = []measure{
	{"processor", "cores", func(c Cost) float64 { return c.Cores }},
	{"memory", "MB", func(c Cost) float64 { return c.ResidentMB }},
	{"received", "KB/s", func(c Cost) float64 { return c.BytesIn / 1000 }},
	{"sent", "KB/s", func(c Cost) float64 { return c.BytesOut / 1000 }},
	{"datagrams", "a second", func(c Cost) float64 { return c.Datagrams }},
	{"calls", "a second", func(c Cost) float64 { return c.Calls }},
	{"open files", "", func(c Cost) float64 { return float64(c.Files) }},
}

// Finding is one figure of one role: its slope, and what it gives at the aim.
type Finding struct {
	Role   string  `json:"role"`
	Figure string  `json:"figure"`
	Unit   string  `json:"unit"`
	Slope  Slope   `json:"slope"`
	AtAim  float64 `json:"at-aim"`
}

// Report is all that a scale run found.
type Report struct {
	At       time.Time `json:"at"`
	Note     string    `json:"note,omitempty"`
	Cores    int       `json:"machine-cores"`
	MemoryMB uint64    `json:"machine-memory-mb"`
	Setup    Setup     `json:"setup"`
	Sizes    []Size    `json:"sizes"`
	Findings []Finding `json:"slopes,omitempty"`
	NoSlopes string    `json:"why-no-slopes,omitempty"`
}

// NewReport works out the slopes of what was measured.
func NewReport(setup Setup, sizes []Size, memory uint64) *Report {
	report := &Report{At: time.Now().UTC(), Note: setup.Note, Cores: runtime.NumCPU(), MemoryMB: memory >> 20, Setup: setup, Sizes: sizes}
	report.Setup.Program, report.Setup.Folder = filepath.Base(setup.Program), ""
	for _, role := range Roles {
		for _, figure := range measures {
			points := pointsOf(sizes, role, figure)
			if len(points) == 0 {
				continue
			}
			slope, err := Fit(points)
			if err != nil {
				report.NoSlopes = err.Error()
				continue
			}
			report.Findings = append(report.Findings, Finding{role, figure.name, figure.unit, slope, slope.At(Aim)})
		}
	}
	return report
}

func pointsOf(sizes []Size, role string, figure measure) []Point {
	var points []Point
	for _, size := range sizes {
		for _, window := range size.Windows {
			if value, isThere := window.mean(role, figure); isThere && window.Phase != phaseJoining && window.Epochs == 0 {
				points = append(points, Point{float64(window.Workers), window.Running, window.Starts, value})
			}
		}
	}
	return points
}

func (w *Window) mean(role string, figure measure) (float64, bool) {
	sum, count := 0.0, 0
	for _, cost := range w.Costs {
		if cost.Role == role {
			sum, count = sum+figure.value(cost), count+1
		}
	}
	return sum / float64(max(count, 1)), count > 0
}

// IsSound tells whether every size was played whole and nothing was lost, doubled or left.
func (r *Report) IsSound() bool {
	for _, size := range r.Sizes {
		if size.Failed != "" || !size.Verdict.IsSound() {
			return false
		}
	}
	return true
}

// Print writes the tables.
func (r *Report) Print(to io.Writer) error {
	table := tabwriter.NewWriter(to, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "workers\tphase\trunning\tstarts/s\trole\tcount\tcores\tMB\tKB/s in\tKB/s out\tdatagrams/s\tcalls/s\tfiles\t")
	for _, size := range r.Sizes {
		for _, window := range size.Windows {
			for _, role := range append(Roles, roleHost) {
				window.printRole(table, role)
			}
		}
	}
	fmt.Fprintln(table)
	fmt.Fprintln(table, "workers\tjoin s\tpeak MB\tjobs\tstarts\tlost\tdoubled\tagain\tleft\tlapsed\tstart p50\tp95\tp99\tshown p50\tp99\tplan worst ms\t")
	for _, size := range r.Sizes {
		v, plan := size.Verdict, SpreadOf(size.PlanMs)
		fmt.Fprintf(table, "%d\t%.1f\t%.0f\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t\n", size.Workers, size.JoinSeconds,
			size.PeakMB, v.Jobs, v.Starts, v.Lost, v.Doubled, v.StartedAgain, v.StillRunning, v.Lapsed, v.ToStart.Half, v.ToStart.Most, v.ToStart.Rare,
			v.ToShown.Half, v.ToShown.Rare, plan.Worst)
	}
	fmt.Fprintln(table)
	fmt.Fprintln(table, "role\tfigure\tbase\tper worker\tper running\tper start/s\tr2\tat the aim\tunit\t")
	for _, finding := range r.Findings {
		fmt.Fprintf(table, "%s\t%s\t%.4g\t%.4g\t%.4g\t%.4g\t%.3f\t%.4g\t%s\t\n", finding.Role, finding.Figure, finding.Slope.Base, finding.Slope.PerWorker,
			finding.Slope.PerRunning, finding.Slope.PerStart, finding.Slope.RSquared, finding.AtAim, finding.Unit)
	}
	if err := table.Flush(); err != nil {
		return errors.Annotate(err, "printing the tables")
	}
	for _, size := range r.Sizes {
		if size.Failed != "" {
			fmt.Fprintf(to, "%d workers FAILED: %s\n", size.Workers, size.Failed)
		}
		for _, example := range size.Verdict.Examples {
			fmt.Fprintf(to, "%d workers: %s\n", size.Workers, example)
		}
	}
	if r.NoSlopes != "" {
		fmt.Fprintln(to, "some slopes could not be worked out:", r.NoSlopes)
	}
	return nil
}

func (w *Window) printRole(to io.Writer, role string) {
	count := 0
	for _, cost := range w.Costs {
		if cost.Role == role {
			count++
		}
	}
	if count == 0 {
		return
	}
	fmt.Fprintf(to, "%d\t%s\t%.0f\t%.1f\t%s\t%d\t", w.Workers, w.Phase, w.Running, w.Starts, role, count)
	for _, figure := range measures {
		value, _ := w.mean(role, figure)
		switch figure.name {
		case "processor":
			fmt.Fprintf(to, "%.4f\t", value)
		case "memory", "received", "sent":
			fmt.Fprintf(to, "%.1f\t", value)
		default:
			fmt.Fprintf(to, "%.0f\t", value)
		}
	}
	fmt.Fprintln(to)
}

// Save writes the report as JSON and as a plot.
func (r *Report) Save(folder string) error {
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return errors.Annotate(err, "writing the report")
	}
	if err := os.WriteFile(filepath.Join(folder, "scale-run.json"), append(text, '\n'), 0o644); err != nil {
		return errors.Annotate(err, "writing the report")
	}
	return errors.Annotate(r.plot(filepath.Join(folder, "scale-run.svg")), "writing the plot")
}
