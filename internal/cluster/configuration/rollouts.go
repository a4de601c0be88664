package configuration

import (
	"hash/fnv"
)

// RolloutState is how far a rollout is, as the configuration has it.
type RolloutState string

// The states of a rollout. One without a state waits to be begun by the leader of the configuration; the last two are final.
const (
	RolloutRequested  RolloutState = ""
	RolloutWidening   RolloutState = "widening"
	RolloutPaused     RolloutState = "paused"
	RolloutTurnedBack RolloutState = "turned-back"
	RolloutFinished   RolloutState = "finished"
)

// IsOver tells whether the state is final.
func (s RolloutState) IsOver() bool { return s == RolloutTurnedBack || s == RolloutFinished }

// Label is the state as operators read it; the one without a text has a name there.
func (s RolloutState) Label() string {
	if s == RolloutRequested {
		return "requested"
	}
	return string(s)
}

// What becomes of the runs of the new version once it was turned back.
const (
	// TurnBackFinish lets tasks that run end; it is the default.
	TurnBackFinish = "finish"
	// TurnBackStop stops them, so that their jobs go back to the old version too.
	TurnBackStop = "stop"
)

// RolloutStep is one share of a route's jobs that the new version gets. It is followed by the next once it has lasted MinTimeS seconds and
// MinJobs jobs of the new version have ended in it.
type RolloutStep struct {
	Share    float64 `json:"share"`
	MinTimeS float64 `json:"min-time-s,omitempty"`
	MinJobs  int64   `json:"min-jobs,omitempty"`
}

// RolloutBounds are what was agreed: by how much the new version may be worse than the old one before it is turned back. A bound that
// is left out (0) judges nothing.
type RolloutBounds struct {
	// Failures is the share of jobs, and of runs, that may fail beyond the share that fails in the old version, from 0 to 1.
	Failures float64 `json:"failures,omitempty"`
	// Late is the share of jobs that may miss their target beyond that of the old version, from 0 to 1.
	Late float64 `json:"late,omitempty"`
	// RunTimeFactor is how many times as long runs may take, against their estimates, as those of the old version; 1 or more.
	RunTimeFactor float64 `json:"run-time-factor,omitempty"`
	// FalseAlarm is the chance that a version within the bounds is turned back all the same; 0 stands for DefaultFalseAlarm.
	FalseAlarm float64 `json:"false-alarm,omitempty"`
	// MinJobs is how many jobs of the new version must have ended before it is judged; 0 stands for DefaultMinJobs.
	MinJobs int64 `json:"min-jobs,omitempty"`
}

// The bounds of a rollout that names none.
const (
	DefaultFalseAlarm = 0.01
	DefaultMinJobs    = 10
)

// Rollout brings a new version of the service of a route to more and more of its jobs. The operator writes all but the last block of
// fields, which the leader of the configuration keeps as it widens, pauses, turns back or finishes.
type Rollout struct {
	Name string `json:"name"`
	// Route is the name of the route, From and To are the services that run the old and the new version.
	Route       string        `json:"route"`
	From        string        `json:"from-service"`
	To          string        `json:"to-service"`
	Steps       []RolloutStep `json:"steps"`
	Bounds      RolloutBounds `json:"agreed"`
	OnTurnBack  string        `json:"on-turn-back,omitempty"`
	RequestedBy string        `json:"requested-by,omitempty"`

	State RolloutState `json:"state,omitempty"`
	// Step is the number of the step in force, from 0.
	Step int `json:"step,omitempty"`
	// BegunMs and StepBegunMs are when the rollout and its step began, in milliseconds since 1970.
	BegunMs     int64 `json:"begun-ms,omitempty"`
	StepBegunMs int64 `json:"step-begun-ms,omitempty"`
	// StepJobs is how many jobs of the new version had ended when the step began.
	StepJobs int64 `json:"step-jobs,omitempty"`
	// Reason says why it was turned back, or what keeps it from widening.
	Reason string `json:"reason,omitempty"`
}

// IsOver tells whether the state is final.
func (r *Rollout) IsOver() bool { return r.State.IsOver() }

// Share is the share of the route's jobs that the new version gets now.
func (r *Rollout) Share() float64 {
	switch r.State {
	case RolloutWidening, RolloutPaused:
		return r.Steps[r.Step].Share
	case RolloutFinished:
		return 1
	}
	return 0
}

// StopsRuns tells whether the runs of the new version are stopped once it was turned back.
func (r *Rollout) StopsRuns() bool { return r.OnTurnBack == TurnBackStop }

// ServiceFor gives the version that runs the job of an ID. It depends on nothing but the ID, the rollout's name and the share, so that all
// processes with the same configuration agree, and a wider share takes no job back.
func (r *Rollout) ServiceFor(id string) string {
	if fractionOf(r.Name+"/"+id) < r.Share() {
		return r.To
	}
	return r.From
}

// fractionOf spreads texts evenly from 0 on and below 1.
func fractionOf(text string) float64 {
	sum := fnv.New64a()
	sum.Write([]byte(text))
	return float64(mixed(sum.Sum64())>>11) / (1 << 53)
}

// mixed spreads each bit of a hash over all others, as the last step of SplitMix64 does; FNV alone leaves texts with a common beginning
// close to each other.
func mixed(hash uint64) uint64 {
	hash = (hash ^ hash>>30) * 0xbf58476d1ce4e5b9
	hash = (hash ^ hash>>27) * 0x94d049bb133111eb
	return hash ^ hash>>31
}

// checkRollouts checks each rollout's fields, and that no route has two that are under way.
func (c *Configuration) checkRollouts(problems *problems, services map[string]bool) {
	routes := map[string]*Route{}
	for index := range c.Routes {
		routes[c.Routes[index].Name] = &c.Routes[index]
	}
	names, underWay := map[string]bool{}, map[string]string{}
	for index := range c.Rollouts {
		rollout := &c.Rollouts[index]
		if rollout.Name == "" {
			problems.add("", "field rollout-list: a rollout has no name")
		}
		if names[rollout.Name] {
			problems.add("", "field rollout-list: %q stands twice", rollout.Name)
		}
		names[rollout.Name] = true
		rollout.check(problems, services)
		if rollout.IsOver() {
			continue
		}
		rollout.checkRoute(problems, routes[rollout.Route])
		if other, isTaken := underWay[rollout.Route]; isTaken {
			problems.addRollout(rollout.Name, "field route names %q, which rollout %q is under way for", rollout.Route, other)
		}
		underWay[rollout.Route] = rollout.Name
	}
}

// check checks what a rollout says of itself.
func (r *Rollout) check(problems *problems, services map[string]bool) {
	add := func(format string, values ...any) { problems.addRollout(r.Name, format, values...) }
	for _, version := range []struct{ field, service string }{{"from-service", r.From}, {"to-service", r.To}} {
		if !services[version.service] {
			add("field %s names %q, which is unknown", version.field, version.service)
		}
	}
	if r.From == r.To {
		add("fields from-service and to-service are the same")
	}
	r.checkSteps(add)
	r.Bounds.check(add)
	if r.OnTurnBack != "" && r.OnTurnBack != TurnBackFinish && r.OnTurnBack != TurnBackStop {
		add("field on-turn-back must be %s or %s", TurnBackFinish, TurnBackStop)
	}
	switch r.State {
	case RolloutRequested, RolloutWidening, RolloutPaused, RolloutTurnedBack, RolloutFinished:
	default:
		add("field state is %q, which is unknown", r.State)
	}
	if r.Step < 0 || r.Step >= max(1, len(r.Steps)) {
		add("field step is none of the steps")
	}
	if r.BegunMs < 0 || r.StepBegunMs < 0 || r.StepJobs < 0 {
		add("a field is negative")
	}
}

// checkSteps checks that the shares rise and end with all jobs.
func (r *Rollout) checkSteps(add func(string, ...any)) {
	if len(r.Steps) == 0 {
		add("field steps is empty")
		return
	}
	before := 0.0
	for _, step := range r.Steps {
		switch {
		case !(step.Share > 0 && step.Share <= 1):
			add("field share must be above 0 and at most 1")
		case step.Share <= before:
			add("field share must rise from step to step")
		}
		before = step.Share
		if !(step.MinTimeS >= 0) || step.MinJobs < 0 {
			add("fields min-time-s and min-jobs must not be negative")
		}
	}
	if before != 1 {
		add("field share of the last step must be 1")
	}
}

// check checks that the bounds are shares and a factor.
func (b *RolloutBounds) check(add func(string, ...any)) {
	for _, bound := range []struct {
		field string
		value float64
	}{{"failures", b.Failures}, {"late", b.Late}, {"false-alarm", b.FalseAlarm}} {
		if !(bound.value >= 0 && bound.value <= 1) {
			add("field %s must be from 0 to 1", bound.field)
		}
	}
	if b.RunTimeFactor != 0 && !(b.RunTimeFactor >= 1) {
		add("field run-time-factor must be 1 or more")
	}
	if b.MinJobs < 0 {
		add("field min-jobs must not be negative")
	}
	if b.Failures == 0 && b.Late == 0 && b.RunTimeFactor == 0 {
		add("field agreed has no bound")
	}
}

// checkRoute checks that the route of a rollout under way is a queue that the old version serves alone.
func (r *Rollout) checkRoute(problems *problems, route *Route) {
	switch {
	case route == nil:
		problems.addRollout(r.Name, "field route names %q, which is unknown", r.Route)
	case !route.RunsJobs():
		problems.addRollout(r.Name, "field route names %q, which is no queue of jobs", r.Route)
	case len(route.Split) > 0:
		problems.addRollout(r.Name, "field route names %q, which has a weighted-split", r.Route)
	case route.Service != r.From:
		problems.addRollout(r.Name, "field from-service is %q, but the route leads to %q", r.From, route.Service)
	}
}
