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
	// warmUp is the simulated time before the first event, in which leaders are elected and executors register.
	warmUp = 5 * time.Second
	// stateCheckInterval is the interval at which the states of jobs are checked.
	stateCheckInterval = 20 * time.Millisecond
	// defaultRunTime is the run time of a task that has neither a recorded nor an estimated one.
	defaultRunTime = 500 * time.Millisecond
	stewardCount   = 3
)

// The outcomes of runs in recordings.
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

// Setup holds all inputs of a rehearsal. Horizon is how long the simulation continues after the last event. Recorder, if not nil, gets the
// recording of the simulated pools. Recorder, ClusterOptions and Faults apply to the cluster of the day, not to that of a rollout's new version.
type Setup struct {
	Day            *recording.Day
	Change         *Change
	Faults         []Fault
	Seed           uint64
	Horizon        time.Duration
	Recorder       scheduler.Recorder
	ClusterOptions []simcluster.Option
	// Rollout, if not nil, is rehearsed together with the change. The timing and the rules of the change don't apply to the cluster of the
	// new version.
	Rollout *Rollout
	// OnRolloutSample, if not nil, is called with the progress of the rollout every simulated second.
	OnRolloutSample func(RolloutSample)
}

// Outcome is the result of one job in one replay. DurationMs is the time from its submission until its end was observed, or 0 if it has not
// ended. RanTwice is set if a task outside of redundant steps ran on two executors at once, or again after its success was acknowledged. Late
// and Missing apply to accepted jobs that were not cancelled and have no long-running step: Late is set if the job took longer than TargetMs to
// complete, and Missing if it has not ended.
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

// replayedJob is a recorded job in a replay. Its times are simulated monotonic times. state is empty until the job has ended.
type replayedJob struct {
	event       recording.Event
	spec        *jobs.Spec
	isAccepted  bool
	submittedAt time.Duration
	endedAt     time.Duration
	state       string
	isCancelled bool
}

// replay is one simulation of a recorded day.
type replay struct {
	setup   Setup
	cluster *simcluster.Cluster
	// recordedRunTimes has the run times by run, with keys of the form task/number, and those of successful runs by task as well.
	// recordedOutcomes has the outcomes by run.
	recordedRunTimes map[string]time.Duration
	recordedOutcomes map[string]string
	jobs             map[string]*replayedJob
	firstEventMs     int64
	// rollout divides the jobs of a queue between two versions. It is nil without a rollout.
	rollout *replayedRollout
}

// Replay simulates the day once, under the change of the setup. It returns an error if the recording is empty or names no executors, if a job
// can't be read, if the rules of the change are invalid, or if a fault has no target or does not apply to its target.
func Replay(setup Setup) ([]Outcome, error) {
	if len(setup.Day.Events) == 0 {
		return nil, errors.New("the recording holds no events")
	}
	r := &replay{setup: setup, recordedRunTimes: map[string]time.Duration{}, recordedOutcomes: map[string]string{}, jobs: map[string]*replayedJob{},
		firstEventMs: setup.Day.Events[0].AtMs}
	r.collectRecordedRuns()
	sites := r.sites()
	if len(sites) == 0 {
		return nil, errors.New("the recording names no executors")
	}
	options, err := r.options(sites)
	if err != nil {
		return nil, err
	}
	if setup.Rollout != nil {
		r.rollout = newReplayedRollout(r, *setup.Rollout)
		options = append(options, simcluster.WithPoolOptions(r.rollout.poolOptions(versionOld)...))
	}
	r.cluster = simcluster.New(setup.Seed, stewardCount, 0, wire.Capacity{}, r.firstEventMs-warmUp.Milliseconds(), options...)
	if r.rollout != nil {
		r.rollout.start(sites)
	}
	for _, fault := range setup.Faults {
		shifted := fault
		shifted.At += warmUp
		if !shifted.inject(r.cluster) {
			return nil, errors.Errorf("fault %s: there is no such target for it as %q", fault.Kind, fault.Target)
		}
	}
	if err := r.schedule(); err != nil {
		return nil, err
	}
	last := time.Duration(setup.Day.Events[len(setup.Day.Events)-1].AtMs-r.firstEventMs) * time.Millisecond
	r.trackEnds(warmUp + last + setup.Horizon)
	r.cluster.Run(warmUp + last + setup.Horizon)
	return r.outcomes(), nil
}

// options returns the options of the simulated cluster: executors, work, and the timing and rules under the change.
func (r *replay) options(sites []simcluster.Site) ([]simcluster.Option, error) {
	timing := r.setup.Change.timing(simcluster.DefaultTiming)
	options := append([]simcluster.Option{simcluster.WithSites(sites), simcluster.WithWork(r.work), simcluster.WithTiming(timing)}, r.setup.ClusterOptions...)
	rules, err := r.setup.Change.rules()
	if err != nil {
		return nil, err
	}
	options = append(options, simcluster.WithPoolOptions(scheduler.WithRules(rules)))
	if r.setup.Recorder != nil {
		options = append(options, simcluster.WithPoolOptions(scheduler.WithRecorder(r.setup.Recorder)))
	}
	return options, nil
}

// collectRecordedRuns collects the run times and outcomes of the recorded runs that succeeded or failed.
func (r *replay) collectRecordedRuns() {
	for _, event := range r.setup.Day.Events {
		if event.Kind != recording.KindEnd {
			continue
		}
		if event.Outcome == outcomeDone || event.Outcome == outcomeFailed {
			name := event.Task + "/" + strconv.FormatInt(event.Run, 10)
			r.recordedRunTimes[name], r.recordedOutcomes[name] = time.Duration(event.LengthMs)*time.Millisecond, event.Outcome
		}
		if event.Outcome == outcomeDone {
			r.recordedRunTimes[event.Task] = time.Duration(event.LengthMs) * time.Millisecond
		}
	}
}

// work returns the run time and outcome of a run: those recorded for the run. Otherwise the run succeeds, after the run time recorded for its
// task, or after the step's estimate, or after defaultRunTime.
func (r *replay) work(task string, run int64, _ *simcluster.Executor) (time.Duration, string) {
	name := task + "/" + strconv.FormatInt(run, 10)
	if length, isKnown := r.recordedRunTimes[name]; isKnown {
		return length, r.recordedOutcomes[name]
	}
	if length, isKnown := r.recordedRunTimes[task]; isKnown {
		return length, outcomeDone
	}
	position, _ := jobs.ParseTask(task)
	if job := r.jobs[position.ID]; job != nil && job.spec.Steps[position.Step].EstimatedMs > 0 {
		return time.Duration(job.spec.Steps[position.Step].EstimatedMs) * time.Millisecond, outcomeDone
	}
	return defaultRunTime, outcomeDone
}

// sites lists the recorded executors, sorted by machine. Of several records of a machine, the first counts.
func (r *replay) sites() []simcluster.Site {
	known := map[string]simcluster.Site{}
	for _, event := range r.setup.Day.Events {
		if event.Kind == recording.KindExecutor {
			if _, isListed := known[event.Machine]; !isListed {
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

// schedule schedules the recorded submissions, cancellations and drains at their times.
func (r *replay) schedule() error {
	for _, event := range r.setup.Day.Events {
		wait := warmUp + time.Duration(event.AtMs-r.firstEventMs)*time.Millisecond
		switch event.Kind {
		case recording.KindSubmit:
			spec, err := jobs.Read(event.Body)
			if err != nil {
				return errors.Annotatef(err, "job %s", event.ID)
			}
			job := &replayedJob{event: event, spec: spec}
			r.jobs[event.ID] = job
			r.cluster.Events.After(wait, func() { r.submit(job) })
		case recording.KindCancel:
			r.cluster.Events.After(wait, func() { r.cancel(event.ID) })
		case recording.KindExecutor:
			if event.IsDraining {
				r.cluster.Events.After(wait, func() { r.drain(event.Machine) })
			}
		}
	}
	return nil
}

func (r *replay) submit(job *replayedJob) {
	job.submittedAt = r.cluster.Events.Now()
	terms := r.setup.Change.terms(job.event.Queue, job.event.Terms)
	r.clusterFor(job).Submit(job.event.ID, job.event.Queue, job.event.Body, terms, func(answer wire.ClientAnswer) {
		job.isAccepted = job.isAccepted || answer.Status == http.StatusOK
	})
}

func (r *replay) cancel(id string) {
	if job := r.jobs[id]; job != nil {
		job.isCancelled = true
		for _, cluster := range r.clusters() {
			cluster.CallLeader(wire.ClientCall{Verb: "cancel", Route: job.event.Queue, ID: id}, func(wire.ClientAnswer) {})
		}
	}
}

// clusters returns all clusters that may have jobs: that of the day, and with a rollout that of the new version.
func (r *replay) clusters() []*simcluster.Cluster {
	if r.rollout == nil {
		return []*simcluster.Cluster{r.cluster}
	}
	return []*simcluster.Cluster{r.cluster, r.rollout.cluster}
}

// clusterFor returns the cluster that a job is submitted to now.
func (r *replay) clusterFor(job *replayedJob) *simcluster.Cluster {
	if r.rollout != nil && r.rollout.isOnNewVersion(job) {
		return r.rollout.cluster
	}
	return r.cluster
}

func (r *replay) drain(machine string) {
	for _, executor := range r.cluster.Executors {
		if executor.Machine == machine {
			r.cluster.Drain(executor)
		}
	}
}

// trackEnds records for each job when and in which state it was first observed to have ended. It checks all jobs at each stateCheckInterval
// up to the given time.
func (r *replay) trackEnds(until time.Duration) {
	if r.cluster.Events.Now() > until {
		return
	}
	for _, cluster := range r.clusters() {
		for id, state := range cluster.JobStates() {
			job := r.jobs[id]
			if job != nil && job.endedAt == 0 && isEndState(state) {
				job.endedAt, job.state = r.cluster.Events.Now(), state
			}
		}
	}
	r.cluster.Events.After(stateCheckInterval, func() { r.trackEnds(until) })
}

func isEndState(state string) bool {
	return state == stateCompleted || state == stateFailed || state == stateCancelled
}

func (r *replay) outcomes() []Outcome {
	var all []Outcome
	for _, id := range slices.Sorted(maps.Keys(r.jobs)) {
		all = append(all, r.outcomeOf(id, r.jobs[id]))
	}
	return all
}

func (r *replay) outcomeOf(id string, job *replayedJob) Outcome {
	outcome := Outcome{ID: id, Queue: job.event.Queue, State: job.state, TargetMs: r.targetMs(job), RanTwice: r.cluster.Checker.DuplicateRuns[id] > 0}
	if outcome.State == "" {
		outcome.State = stateOpen
	}
	if job.endedAt > 0 {
		outcome.DurationMs = (job.endedAt - job.submittedAt).Milliseconds()
	}
	mustComplete := job.isAccepted && !job.isCancelled && !job.isLongRunning()
	outcome.Missing = mustComplete && job.state == ""
	outcome.Late = mustComplete && job.state == stateCompleted && outcome.DurationMs > outcome.TargetMs
	return outcome
}

// isLongRunning reports whether the job has a step that runs until it is cancelled.
func (j *replayedJob) isLongRunning() bool {
	return slices.ContainsFunc(j.spec.Steps, func(step jobs.Step) bool { return step.LongRunning })
}

// targetMs returns the time from submission after which a job is late: the recorded stretch factor (at least 1) times the run time of the
// longest chain of dependent steps, plus the recorded target, plus for repeated jobs the wait until the last occurrence is due.
func (r *replay) targetMs(job *replayedJob) int64 {
	chainTimes := make([]time.Duration, len(job.spec.Steps))
	var longest time.Duration
	occurrences := max(1, job.spec.RepeatCount)
	for number, step := range job.spec.Steps {
		var before, maximum time.Duration
		for _, earlier := range step.DependsOn {
			before = max(before, chainTimes[earlier])
		}
		for index := range step.Tasks {
			length, _ := r.work(jobs.TaskName(job.event.ID, occurrences-1, number, index), 1, nil)
			maximum = max(maximum, length)
		}
		chainTimes[number] = before + maximum
		longest = max(longest, chainTimes[number])
	}
	target := int64(max(1, job.event.Terms.Stretch)*float64(longest.Milliseconds())) + job.event.Terms.TargetMs
	if job.spec.RepeatCount > 0 {
		target += max(0, job.spec.FirstRunMs+int64(occurrences-1)*job.spec.PeriodMs-job.event.AtMs)
	}
	return target
}
