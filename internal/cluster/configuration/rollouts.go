package configuration

import (
	"hash/fnv"
)

// RolloutState is the state of a rollout in the configuration.
type RolloutState string

// The states of a rollout. The leader of the configuration starts a requested one. RolloutRolledBack and RolloutFinished are final.
const (
	RolloutRequested  RolloutState = ""
	RolloutWidening   RolloutState = "widening"
	RolloutPaused     RolloutState = "paused"
	RolloutRolledBack RolloutState = "turned-back"
	RolloutFinished   RolloutState = "finished"
)

// IsOver reports whether the state is final.
func (s RolloutState) IsOver() bool { return s == RolloutRolledBack || s == RolloutFinished }

// Label is the state as operators read it; RolloutRequested, which is empty in the configuration, has a word there.
func (s RolloutState) Label() string {
	if s == RolloutRequested {
		return "requested"
	}
	return string(s)
}

// What happens to the running tasks of the new version when it is rolled back.
const (
	// RollbackFinish lets them finish. It is the default.
	RollbackFinish = "finish"
	// RollbackStop stops them; their jobs then go back to the old version too.
	RollbackStop = "stop"
)

// RolloutStep gives the new version a share of the route's jobs. The next step follows once this one has lasted MinTimeS seconds and
// MinJobs jobs of the new version have ended in it.
type RolloutStep struct {
	Share    float64 `json:"share"`
	MinTimeS float64 `json:"min-time-s,omitempty"`
	MinJobs  int64   `json:"min-jobs,omitempty"`
}

// RolloutBounds are the agreed bounds on how much worse than the old version the new one may be; beyond them it is rolled back. A bound
// of Failures, Late or RunTimeFactor that is 0 or missing isn't checked.
type RolloutBounds struct {
	// Failures is by how much the share of failed jobs, and that of failed runs, may exceed that of the old version, from 0 to 1.
	Failures float64 `json:"failures,omitempty"`
	// Late is by how much the share of jobs that miss their target may exceed that of the old version, from 0 to 1.
	Late float64 `json:"late,omitempty"`
	// RunTimeFactor is how many times as long as in the old version runs may take relative to their estimates; 1 or more.
	RunTimeFactor float64 `json:"run-time-factor,omitempty"`
	// FalseAlarm is the probability that a version within the bounds is rolled back; 0 stands for DefaultFalseAlarm.
	FalseAlarm float64 `json:"false-alarm,omitempty"`
	// MinJobs is how many jobs of the new version must have ended before it is judged; 0 stands for DefaultMinJobs.
	MinJobs int64 `json:"min-jobs,omitempty"`
}

// The values of FalseAlarm and MinJobs for a rollout without them.
const (
	DefaultFalseAlarm = 0.01
	DefaultMinJobs    = 10
)

// Rollout moves a route to a new version of its service, step by step. The operator writes all fields up to RequestedBy. The leader of
// the configuration writes the others as it widens, pauses, rolls back or finishes the rollout.
type Rollout struct {
	Name string `json:"name"`
	// Route is the name of the route. From is the service that runs the old version, and To the one that runs the new version.
	Route       string        `json:"route"`
	From        string        `json:"from-service"`
	To          string        `json:"to-service"`
	Steps       []RolloutStep `json:"steps"`
	Bounds      RolloutBounds `json:"agreed"`
	OnRollback  string        `json:"on-turn-back,omitempty"`
	RequestedBy string        `json:"requested-by,omitempty"`

	State RolloutState `json:"state,omitempty"`
	// Step is the index of the current step.
	Step int `json:"step,omitempty"`
	// BegunMs and StepBegunMs are the start of the rollout and of the current step, in milliseconds since 1970.
	BegunMs     int64 `json:"begun-ms,omitempty"`
	StepBegunMs int64 `json:"step-begun-ms,omitempty"`
	// StepJobs is how many jobs of the new version had ended at the start of the current step.
	StepJobs int64 `json:"step-jobs,omitempty"`
	// Reason says why the rollout was rolled back, or why it doesn't widen.
	Reason string `json:"reason,omitempty"`
}

// IsOver reports whether the state is final.
func (r *Rollout) IsOver() bool { return r.State.IsOver() }

// Share is the share of the route's jobs that the new version gets in the current state, from 0 to 1.
func (r *Rollout) Share() float64 {
	switch r.State {
	case RolloutWidening, RolloutPaused:
		return r.Steps[r.Step].Share
	case RolloutFinished:
		return 1
	}
	return 0
}

// StopsRuns reports whether a rollback stops the running tasks of the new version.
func (r *Rollout) StopsRuns() bool { return r.OnRollback == RollbackStop }

// ServiceFor returns the service, old or new, that runs the job of an ID. It depends only on the ID, the rollout's name and the share.
// All processes with the same configuration therefore agree, and a job of the new version stays there when the share grows.
func (r *Rollout) ServiceFor(id string) string {
	if mixedFractionOf(r.Name+"/"+id) < r.Share() {
		return r.To
	}
	return r.From
}

// mixedFractionOf hashes a text to a number of at least 0 and below 1. The numbers of texts with a common prefix are evenly distributed too.
func mixedFractionOf(text string) float64 {
	sum := fnv.New64a()
	sum.Write([]byte(text))
	return float64(mixBits(sum.Sum64())>>11) / (1 << 53)
}

// mixBits makes each bit of a hash depend on all others, by the final step of SplitMix64. FNV alone gives close values to texts with a
// common prefix.
func mixBits(hash uint64) uint64 {
	hash = (hash ^ hash>>30) * 0xbf58476d1ce4e5b9
	hash = (hash ^ hash>>27) * 0x94d049bb133111eb
	return hash ^ hash>>31
}

// checkRollouts checks each rollout's fields, and that no route has two rollouts that aren't over.
func (c *Configuration) checkRollouts(problems *problems, services map[string]bool) {
	routes := map[string]*Route{}
	for index := range c.Routes {
		routes[c.Routes[index].Name] = &c.Routes[index]
	}
	names, activeByRoute := map[string]bool{}, map[string]string{}
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
		if other, hasOther := activeByRoute[rollout.Route]; hasOther {
			problems.addRollout(rollout.Name, "field route names %q, which rollout %q is under way for", rollout.Route, other)
		}
		activeByRoute[rollout.Route] = rollout.Name
	}
}

// check checks the fields of the rollout without regard to its route.
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
	if r.OnRollback != "" && r.OnRollback != RollbackFinish && r.OnRollback != RollbackStop {
		add("field on-turn-back must be %s or %s", RollbackFinish, RollbackStop)
	}
	switch r.State {
	case RolloutRequested, RolloutWidening, RolloutPaused, RolloutRolledBack, RolloutFinished:
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

// checkSteps checks that the shares rise from step to step up to 1, and that MinTimeS and MinJobs aren't negative.
func (r *Rollout) checkSteps(add func(string, ...any)) {
	if len(r.Steps) == 0 {
		add("field steps is empty")
		return
	}
	previous := 0.0
	for _, step := range r.Steps {
		switch {
		case !(step.Share > 0 && step.Share <= 1):
			add("field share must be above 0 and at most 1")
		case step.Share <= previous:
			add("field share must rise from step to step")
		}
		previous = step.Share
		if !(step.MinTimeS >= 0) || step.MinJobs < 0 {
			add("fields min-time-s and min-jobs must not be negative")
		}
	}
	if previous != 1 {
		add("field share of the last step must be 1")
	}
}

// check checks that the shares and the probability are from 0 to 1, that the factor is at least 1, that MinJobs isn't negative, and that at
// least one bound is set.
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

// checkRoute checks the route of a rollout that isn't over: the route must run jobs, and the service of the old version must be its only
// one. route is nil if there is no route of that name.
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
