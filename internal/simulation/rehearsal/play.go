package rehearsal

import (
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/juju/errors"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/scheduling/jobs"
	"gannetline/internal/scheduling/recording"
	"gannetline/internal/scheduling/scheduler"
	"gannetline/internal/simulation/simcluster"
)

const (
	// warmUp lies before the first event, so that leaders are elected and executors known.
	warmUp = 5 * time.Second
	// watchEvery lies between two looks at the states of jobs.
	watchEvery = 20 * time.Millisecond
	// assumedLength is that of a task of which nothing was recorded or estimated.
	assumedLength = 500 * time.Millisecond
	stewards      = 3
)

// How a run ended, as recordings say it.
const (
	outcomeDone   = "done"
	outcomeFailed = "failed"
)

// The states of a job.
const (
	stateOpen      = "open"
	stateCompleted = "completed"
	stateFailed    = "failed"
	stateCancelled = "cancelled"
)

// Setup is everything a rehearsal depends on. Horizon is how long it goes on after the last event; Record, if there is one,
// is given what the simulated pools record.
type Setup struct {
	Day            *recording.Day
	Change         *Change
	Faults         []Fault
	Seed           uint64
	Horizon        time.Duration
	Record         scheduler.Recorder
	ClusterOptions []simcluster.Option
	// Rollout, if there is one, is played together with the change.
	Rollout *Rollout
	// Watch, if there is one, is told how the rollout stands every second.
	Watch func(RolloutSample)
}

// Outcome is what became of one job in one play. DurationMs counts from its submission to the moment it was seen to have ended, 0
// if it has not; TargetMs is the time after which it is late; RanTwice says that a task ran twice at once.
type Outcome struct {
	ID         string `json:"id"`
	Queue      string `json:"queue"`
	State      string `json:"state"`
	DurationMs int64  `json:"took-ms"`
	TargetMs   int64  `json:"aim-ms"`
	Late       bool   `json:"late,omitempty"`
	Missing    bool   `json:"missing,omitempty"`
	RanTwice   bool   `json:"twice,omitempty"`
}

// playedJob is a recorded job; times are those of the simulation.
type playedJob struct {
	event       recording.Event
	spec        *jobs.Spec
	isAccepted  bool
	submittedAt time.Duration
	endedAt     time.Duration
	state       string
	isCancelled bool
}

// play is one play of a day.
type play struct {
	setup   Setup
	cluster *simcluster.Cluster
	// lengths and ends are those that were recorded, by run and by task.
	lengths map[string]time.Duration
	ends    map[string]string
	jobs    map[string]*playedJob
	firstMs int64
	// rollout divides the jobs of a queue; it is nil if none is played.
	rollout *playedRollout
}

// Play plays the day once, under the change of the setup. It fails if the recording names no executors, or the setup a fault
// without a target.
func Play(setup Setup) ([]Outcome, error) {
	if len(setup.Day.Events) == 0 {
		return nil, errors.New("the recording holds no events")
	}
	p := &play{setup: setup, lengths: map[string]time.Duration{}, ends: map[string]string{}, jobs: map[string]*playedJob{},
		firstMs: setup.Day.Events[0].AtMs}
	p.learnLengths()
	sites := p.sites()
	if len(sites) == 0 {
		return nil, errors.New("the recording names no executors")
	}
	options, err := p.options(sites)
	if err != nil {
		return nil, err
	}
	if setup.Rollout != nil {
		p.rollout = newPlayedRollout(p, *setup.Rollout)
		options = append(options, simcluster.WithPoolOptions(p.rollout.poolOptions(versionOld)...))
	}
	p.cluster = simcluster.New(setup.Seed, stewards, 0, wire.Capacity{}, p.firstMs-warmUp.Milliseconds(), options...)
	if p.rollout != nil {
		p.rollout.start(sites)
	}
	for _, fault := range setup.Faults {
		late := fault
		late.At += warmUp
		if !late.inject(p.cluster) {
			return nil, errors.Errorf("fault %s: there is no such target for it as %q", fault.Kind, fault.Target)
		}
	}
	if err := p.schedule(); err != nil {
		return nil, err
	}
	last := time.Duration(setup.Day.Events[len(setup.Day.Events)-1].AtMs-p.firstMs) * time.Millisecond
	p.watch(warmUp + last + setup.Horizon)
	p.cluster.Run(warmUp + last + setup.Horizon)
	return p.outcomes(), nil
}

// options returns those of the simulated cluster: executors, work, timing and rules as the change has them.
func (p *play) options(sites []simcluster.Site) ([]simcluster.Option, error) {
	timing := p.setup.Change.timing(simcluster.DefaultTiming)
	options := append([]simcluster.Option{simcluster.WithSites(sites), simcluster.WithWork(p.work), simcluster.WithTiming(timing)}, p.setup.ClusterOptions...)
	rules, err := p.setup.Change.rules()
	if err != nil {
		return nil, err
	}
	options = append(options, simcluster.WithPoolOptions(scheduler.WithRules(rules)))
	if p.setup.Record != nil {
		options = append(options, simcluster.WithPoolOptions(scheduler.WithRecorder(p.setup.Record)))
	}
	return options, nil
}

// learnLengths takes how long runs took, and how they ended.
func (p *play) learnLengths() {
	for _, event := range p.setup.Day.Events {
		if event.Kind != recording.KindEnd {
			continue
		}
		if event.How == outcomeDone || event.How == outcomeFailed {
			name := event.Task + "/" + strconv.FormatInt(event.Run, 10)
			p.lengths[name], p.ends[name] = time.Duration(event.LengthMs)*time.Millisecond, event.How
		}
		if event.How == outcomeDone {
			p.lengths[event.Task] = time.Duration(event.LengthMs) * time.Millisecond
		}
	}
}

// work is the model of executors: what was recorded of this run, else of its task, else the estimate.
func (p *play) work(task string, run int64, _ *simcluster.Executor) (time.Duration, string) {
	name := task + "/" + strconv.FormatInt(run, 10)
	if length, isKnown := p.lengths[name]; isKnown {
		return length, p.ends[name]
	}
	if length, isKnown := p.lengths[task]; isKnown {
		return length, outcomeDone
	}
	place, _ := jobs.ParseTask(task)
	if job := p.jobs[place.ID]; job != nil && job.spec.Steps[place.Step].EstimatedMs > 0 {
		return time.Duration(job.spec.Steps[place.Step].EstimatedMs) * time.Millisecond, outcomeDone
	}
	return assumedLength, outcomeDone
}

// sites lists the executors that were recorded, by machine.
func (p *play) sites() []simcluster.Site {
	known := map[string]simcluster.Site{}
	for _, event := range p.setup.Day.Events {
		if event.Kind == recording.KindExecutor {
			if _, isThere := known[event.Machine]; !isThere {
				known[event.Machine] = simcluster.Site{Machine: event.Machine, Capacity: event.Capacity, Labels: event.Labels}
			}
		}
	}
	var sites []simcluster.Site
	for _, machine := range slices.Sorted(maps.Keys(known)) {
		sites = append(sites, known[machine])
	}
	return sites
}

// schedule lets what was recorded happen at its time.
func (p *play) schedule() error {
	for _, event := range p.setup.Day.Events {
		wait := warmUp + time.Duration(event.AtMs-p.firstMs)*time.Millisecond
		switch event.Kind {
		case recording.KindSubmit:
			spec, err := jobs.Read(event.Body)
			if err != nil {
				return errors.Annotatef(err, "job %s", event.ID)
			}
			job := &playedJob{event: event, spec: spec}
			p.jobs[event.ID] = job
			p.cluster.Events.After(wait, func() { p.submit(job) })
		case recording.KindCancel:
			p.cluster.Events.After(wait, func() { p.cancel(event.ID) })
		case recording.KindExecutor:
			if event.IsDraining {
				p.cluster.Events.After(wait, func() { p.drain(event.Machine) })
			}
		}
	}
	return nil
}

func (p *play) submit(job *playedJob) {
	job.submittedAt = p.cluster.Events.Now()
	terms := p.setup.Change.terms(job.event.Queue, job.event.Terms)
	p.clusterFor(job).Submit(job.event.ID, job.event.Queue, job.event.Body, terms, func(answer wire.ClientAnswer) {
		job.isAccepted = job.isAccepted || answer.Status == http.StatusOK
	})
}

func (p *play) cancel(id string) {
	if job := p.jobs[id]; job != nil {
		job.isCancelled = true
		for _, cluster := range p.clusters() {
			cluster.CallLeader(wire.ClientCall{Verb: "cancel", Route: job.event.Queue, ID: id}, func(wire.ClientAnswer) {})
		}
	}
}

// clusters are those that may have jobs: that of the new version beside the other one, if a rollout is played.
func (p *play) clusters() []*simcluster.Cluster {
	if p.rollout == nil {
		return []*simcluster.Cluster{p.cluster}
	}
	return []*simcluster.Cluster{p.cluster, p.rollout.cluster}
}

// clusterFor is the one that a job goes to.
func (p *play) clusterFor(job *playedJob) *simcluster.Cluster {
	if p.rollout != nil && p.rollout.takes(job) {
		return p.rollout.cluster
	}
	return p.cluster
}

func (p *play) drain(machine string) {
	for _, executor := range p.cluster.Executors {
		if executor.Machine == machine {
			p.cluster.Drain(executor)
		}
	}
}

// watch notes when each job is first seen to have ended.
func (p *play) watch(until time.Duration) {
	if p.cluster.Events.Now() > until {
		return
	}
	for _, cluster := range p.clusters() {
		for id, state := range cluster.JobStates() {
			job := p.jobs[id]
			if job != nil && job.endedAt == 0 && isEnd(state) {
				job.endedAt, job.state = p.cluster.Events.Now(), state
			}
		}
	}
	p.cluster.Events.After(watchEvery, func() { p.watch(until) })
}

func isEnd(state string) bool {
	return state == stateCompleted || state == stateFailed || state == stateCancelled
}

func (p *play) outcomes() []Outcome {
	var all []Outcome
	for _, id := range slices.Sorted(maps.Keys(p.jobs)) {
		all = append(all, p.outcomeOf(id, p.jobs[id]))
	}
	return all
}

func (p *play) outcomeOf(id string, job *playedJob) Outcome {
	outcome := Outcome{ID: id, Queue: job.event.Queue, State: job.state, TargetMs: p.targetMs(job), RanTwice: p.cluster.Checker.DuplicateRuns[id] > 0}
	if outcome.State == "" {
		outcome.State = stateOpen
	}
	if job.endedAt > 0 {
		outcome.DurationMs = (job.endedAt - job.submittedAt).Milliseconds()
	}
	isOwed := job.isAccepted && !job.isCancelled && !job.isLongRunning()
	outcome.Missing = isOwed && job.state == ""
	outcome.Late = isOwed && job.state == stateCompleted && outcome.DurationMs > outcome.TargetMs
	return outcome
}

// isLongRunning tells whether a job goes on until it is cancelled.
func (j *playedJob) isLongRunning() bool {
	return slices.ContainsFunc(j.spec.Steps, func(step jobs.Step) bool { return step.LongRunning })
}

// targetMs counts from the submission: the queue's recorded stretch times the longest chain of work, and its target.
func (p *play) targetMs(job *playedJob) int64 {
	chain := make([]time.Duration, len(job.spec.Steps))
	var longest time.Duration
	times := max(1, job.spec.RepeatCount)
	for number, step := range job.spec.Steps {
		var before, maximum time.Duration
		for _, earlier := range step.DependsOn {
			before = max(before, chain[earlier])
		}
		for index := range step.Tasks {
			length, _ := p.work(jobs.TaskName(job.event.ID, times-1, number, index), 1, nil)
			maximum = max(maximum, length)
		}
		chain[number] = before + maximum
		longest = max(longest, chain[number])
	}
	target := int64(max(1, job.event.Terms.Stretch)*float64(longest.Milliseconds())) + job.event.Terms.TargetMs
	if job.spec.RepeatCount > 0 {
		target += max(0, job.spec.FirstRunMs+int64(times-1)*job.spec.PeriodMs-job.event.AtMs)
	}
	return target
}
