package scalerun

import (
	"time"

	"gannetline/internal/cluster/membership"
	"gannetline/internal/simulation/hollow"
)

// Cost is what one process used in a window, a second where it flows.
type Cost struct {
	Name       string  `json:"name"`
	Role       string  `json:"role"`
	Cores      float64 `json:"cores"`
	ResidentMB float64 `json:"resident-mb"`
	Files      int     `json:"open-files"`
	BytesIn    float64 `json:"bytes-in"`
	BytesOut   float64 `json:"bytes-out"`
	Datagrams  float64 `json:"datagrams"`
	Calls      float64 `json:"calls"`
}

// Window is one stretch of a size: idle, standing or load; joining if not every worker came in.
type Window struct {
	Phase   string  `json:"phase"`
	Workers int     `json:"workers"`
	Running float64 `json:"running"`
	Starts  float64 `json:"starts-a-second"`
	Seconds float64 `json:"seconds"`
	// Pressure is the share of the window in which something on the machine waited for a processor.
	Pressure float64 `json:"processor-pressure"`
	Owner    string  `json:"owner"`
	// Epochs is by how much the pool's epoch rose within the window; 0 means that the leader stayed.
	Epochs uint64 `json:"epochs"`
	Costs  []Cost `json:"costs"`
}

// measure samples every process before and after a window of this length; during, if there is one, runs within it.
func (r *run) measure(size *Size, phase string, length time.Duration, during func() error) error {
	roles, epoch := r.poolRoles()
	counts, err := r.counts()
	if err != nil {
		return err
	}
	waited, children := pressure(), r.all()
	before, err := r.samples()
	if err != nil {
		return err
	}
	failed := make(chan error, 1)
	if during != nil {
		go func() { failed <- during() }()
	} else {
		failed <- nil
	}
	if !r.pause(length) {
		return r.ctx.Err()
	}
	after, err := r.samples()
	if err != nil {
		return err
	}
	waited = pressure() - waited
	laterCounts, err := r.counts()
	if err != nil {
		return err
	}
	_, laterEpoch := r.poolRoles()
	seconds := after[0].at.Sub(before[0].at).Seconds()
	window := Window{Phase: phase, Workers: r.workers, Running: float64(counts.Running+laterCounts.Running) / 2,
		Starts: float64(laterCounts.Started-counts.Started) / seconds, Seconds: seconds, Pressure: waited / seconds,
		Epochs: laterEpoch - epoch}
	r.addCosts(&window, children, before, after, roles)
	size.Windows = append(size.Windows, window)
	r.printf("%s: %.0f tasks running, %.1f starts a second; the epoch rose by %d; something waited for a processor in %.0f%% of the time",
		phase, window.Running, window.Starts, window.Epochs, 100*window.Pressure)
	return <-failed
}

// addCosts adds what each process used in a window; children are those at its beginning, so that one which was started
// anew meanwhile is left out.
func (r *run) addCosts(window *Window, children []*child, before, after []sample, roles map[string]string) {
	for place, process := range r.all() {
		if process != children[place] {
			continue
		}
		window.Costs = append(window.Costs, costOf(process, before[place], after[place], roles))
		if roles[process.name] == roleLeader {
			window.Owner = process.name
		}
	}
}

func (r *run) samples() ([]sample, error) {
	var all []sample
	for _, process := range r.all() {
		taken, err := r.sample(process)
		if err != nil {
			return nil, err
		}
		all = append(all, taken)
	}
	return all, nil
}

func costOf(process *child, before, after sample, roles map[string]string) Cost {
	seconds := after.at.Sub(before.at).Seconds()
	rate := func(before, after int64) float64 { return float64(after-before) / seconds }
	role := process.role
	if role == membership.RoleSteward {
		if role = roles[process.name]; role == "" {
			role = roleBystander
		}
	}
	earlier, later := before.wire, after.wire
	return Cost{Name: process.name, Role: role, Cores: (after.cpu - before.cpu) / seconds, Files: after.files,
		ResidentMB: float64(after.resident) / bytesPerMB,
		BytesIn:    rate(earlier.BytesIn, later.BytesIn),
		BytesOut:   rate(earlier.BytesOut, later.BytesOut),
		Datagrams:  rate(earlier.DatagramsIn+earlier.DatagramsOut, later.DatagramsIn+later.DatagramsOut),
		Calls:      rate(earlier.Served+earlier.Made, later.Served+later.Made)}
}

// counts sums up what all hollow executors run now and have started.
func (r *run) counts() (hollow.Counts, error) {
	var sum hollow.Counts
	for _, spec := range r.layout.hostSpecs {
		var host hollow.Counts
		if err := r.fetch("http://"+spec.report+hollow.PathCounts, &host); err != nil {
			return sum, err
		}
		sum.Running, sum.Started = sum.Running+host.Running, sum.Started+host.Started
	}
	return sum, nil
}

// untilRunning waits until the count of running tasks is as wanted.
func (r *run) untilRunning(limit time.Duration, isThere func(running int) bool) (int, error) {
	until := time.Now().Add(limit)
	for {
		counts, err := r.counts()
		if err != nil || isThere(counts.Running) || time.Now().After(until) {
			return counts.Running, err
		}
		if !r.pause(checkEvery) {
			return counts.Running, r.ctx.Err()
		}
	}
}

// records gathers the runs of all hollow executors.
func (r *run) records() ([]hollow.RunRecord, error) {
	var all []hollow.RunRecord
	for _, spec := range r.layout.hostSpecs {
		var records []hollow.RunRecord
		if err := r.fetch("http://"+spec.report+hollow.PathRecords, &records); err != nil {
			return nil, err
		}
		all = append(all, records...)
	}
	return all, nil
}
