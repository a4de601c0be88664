package rehearsal

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/juju/errors"

	"gannetline/internal/jobs"
	"gannetline/internal/peerapi"
	"gannetline/internal/recording"
	"gannetline/internal/scheduler"
	"gannetline/internal/stage"
)

const (
	warmUp   = 5 * time.Second
	lookEach = 20 * time.Millisecond
	guessMs  = 500
)

// Setup is everything a rehearsal depends on.
type Setup struct {
	Day     *recording.Day
	Change  *Change
	Faults  []Fault
	Seed    uint64
	Horizon time.Duration
	Record  scheduler.Recorder
	Stage   []stage.Option
}

// Outcome is what became of one job in one play.
type Outcome struct {
	ID      string `json:"id"`
	Queue   string `json:"queue"`
	State   string `json:"state"`
	TookMs  int64  `json:"took-ms"`
	AimMs   int64  `json:"aim-ms"`
	Late    bool   `json:"late,omitempty"`
	Missing bool   `json:"missing,omitempty"`
	Twice   bool   `json:"twice,omitempty"`
}

type playedJob struct {
	event    recording.Event
	spec     *jobs.Spec
	isTaken  bool
	askedAt  time.Duration
	endedAt  time.Duration
	state    string
	isCancel bool
}

type play struct {
	setup   Setup
	stage   *stage.Stage
	lengths map[string]time.Duration
	ends    map[string]string
	jobs    map[string]*playedJob
	firstMs int64
}

// Play plays the day once.
func Play(setup Setup) ([]Outcome, error) {
	if len(setup.Day.Events) == 0 {
		return nil, errors.New("the recording holds no events")
	}
	p := &play{setup: setup, lengths: map[string]time.Duration{}, ends: map[string]string{}, jobs: map[string]*playedJob{},
		firstMs: setup.Day.Events[0].AtMs}
	p.learnLengths()
	places := p.places()
	if len(places) == 0 {
		return nil, errors.New("the recording names no executors")
	}
	options := append([]stage.Option{stage.WithPlaces(places), stage.WithWork(p.work), stage.WithTiming(setup.Change.timing(stage.DefaultTiming))}, setup.Stage...)
	rules, err := setup.Change.rules()
	if err != nil {
		return nil, err
	}
	options = append(options, stage.WithPool(scheduler.WithRules(rules)))
	if setup.Record != nil {
		options = append(options, stage.WithPool(scheduler.WithRecorder(setup.Record)))
	}
	p.stage = stage.New(setup.Seed, 3, 0, peerapi.Capacity{}, p.firstMs-warmUp.Milliseconds(), options...)
	for _, fault := range setup.Faults {
		late := fault
		late.At += warmUp
		if !late.strike(p.stage) {
			return nil, errors.Errorf("fault %s: there is no such target for it as %q", fault.Kind, fault.Target)
		}
	}
	if err := p.schedule(); err != nil {
		return nil, err
	}
	last := time.Duration(setup.Day.Events[len(setup.Day.Events)-1].AtMs-p.firstMs) * time.Millisecond
	p.watch(warmUp + last + setup.Horizon)
	p.stage.Run(warmUp + last + setup.Horizon)
	return p.outcomes(), nil
}

func (p *play) learnLengths() {
	for _, event := range p.setup.Day.Events {
		if event.Kind != recording.KindEnd {
			continue
		}
		if event.How == "done" || event.How == "failed" {
			name := event.Task + "/" + strconv.FormatInt(event.Run, 10)
			p.lengths[name], p.ends[name] = time.Duration(event.LengthMs)*time.Millisecond, event.How
		}
		if event.How == "done" {
			p.lengths[event.Task] = time.Duration(event.LengthMs) * time.Millisecond
		}
	}
}

// work is the model of executors: what was recorded of this run, else of its task, else the estimate.
func (p *play) work(task string, run int64, _ *stage.Executor) (time.Duration, string) {
	name := task + "/" + strconv.FormatInt(run, 10)
	if length, isKnown := p.lengths[name]; isKnown {
		return length, p.ends[name]
	}
	if length, isKnown := p.lengths[task]; isKnown {
		return length, "done"
	}
	place, _ := jobs.ParseTask(task)
	if one := p.jobs[place.ID]; one != nil && one.spec.Steps[place.Step].EstimatedMs > 0 {
		return time.Duration(one.spec.Steps[place.Step].EstimatedMs) * time.Millisecond, "done"
	}
	return guessMs * time.Millisecond, "done"
}

func (p *play) places() []stage.Place {
	known := map[string]stage.Place{}
	for _, event := range p.setup.Day.Events {
		if event.Kind == recording.KindExecutor {
			if _, isThere := known[event.Machine]; !isThere {
				known[event.Machine] = stage.Place{Machine: event.Machine, Room: event.Room, Labels: event.Labels}
			}
		}
	}
	var places []stage.Place
	for _, machine := range slices.Sorted(maps.Keys(known)) {
		places = append(places, known[machine])
	}
	return places
}

func (p *play) schedule() error {
	for _, event := range p.setup.Day.Events {
		wait := warmUp + time.Duration(event.AtMs-p.firstMs)*time.Millisecond
		switch event.Kind {
		case recording.KindHandIn:
			spec, err := jobs.Read(event.Body)
			if err != nil {
				return errors.Annotatef(err, "job %s", event.ID)
			}
			one := &playedJob{event: event, spec: spec}
			p.jobs[event.ID] = one
			p.stage.Line.After(wait, func() { p.handIn(one) })
		case recording.KindCancel:
			p.stage.Line.After(wait, func() { p.cancel(event.ID) })
		case recording.KindExecutor:
			if event.IsDraining {
				p.stage.Line.After(wait, func() { p.drain(event.Machine) })
			}
		}
	}
	return nil
}

func (p *play) handIn(one *playedJob) {
	one.askedAt = p.stage.Line.Now()
	terms := p.setup.Change.terms(one.event.Queue, one.event.Terms)
	p.stage.HandIn(one.event.ID, one.event.Queue, one.event.Body, terms, func(answer peerapi.ClientAnswer) {
		one.isTaken = one.isTaken || answer.Status == 200
	})
}

func (p *play) cancel(id string) {
	if one := p.jobs[id]; one != nil {
		one.isCancel = true
		p.stage.Ask(peerapi.ClientCall{Verb: "cancel", Entry: one.event.Queue, ID: id}, func(peerapi.ClientAnswer) {})
	}
}

func (p *play) drain(machine string) {
	for _, executor := range p.stage.Executors {
		if executor.Machine == machine {
			p.stage.Drain(executor)
		}
	}
}

// watch notes when each job is first seen to have ended.
func (p *play) watch(until time.Duration) {
	if p.stage.Line.Now() > until {
		return
	}
	for id, state := range p.stage.States() {
		one := p.jobs[id]
		if one != nil && one.endedAt == 0 && (state == "completed" || state == "failed" || state == "cancelled") {
			one.endedAt, one.state = p.stage.Line.Now(), state
		}
	}
	p.stage.Line.After(lookEach, func() { p.watch(until) })
}

func (p *play) outcomes() []Outcome {
	var all []Outcome
	for _, id := range slices.Sorted(maps.Keys(p.jobs)) {
		one := p.jobs[id]
		outcome := Outcome{ID: id, Queue: one.event.Queue, State: one.state, AimMs: p.aimMs(one), Twice: p.stage.Judge.Doubled[id] > 0}
		if outcome.State == "" {
			outcome.State = "open"
		}
		if one.endedAt > 0 {
			outcome.TookMs = (one.endedAt - one.askedAt).Milliseconds()
		}
		isOwed := one.isTaken && !one.isCancel && !one.isLasting()
		outcome.Missing = isOwed && one.state == ""
		outcome.Late = isOwed && one.state == "completed" && outcome.TookMs > outcome.AimMs
		all = append(all, outcome)
	}
	return all
}

func (j *playedJob) isLasting() bool {
	return slices.ContainsFunc(j.spec.Steps, func(step jobs.Step) bool { return step.Lasting })
}

// aimMs counts from the hand-in: the queue's recorded stretch times the longest chain of work, and its target.
func (p *play) aimMs(one *playedJob) int64 {
	chain := make([]time.Duration, len(one.spec.Steps))
	var longest time.Duration
	times := max(1, one.spec.RepeatCount)
	for number, step := range one.spec.Steps {
		var before, most time.Duration
		for _, earlier := range step.DependsOn {
			before = max(before, chain[earlier])
		}
		for index := range step.Tasks {
			length, _ := p.work(jobs.TaskName(one.event.ID, times-1, number, index), 1, nil)
			most = max(most, length)
		}
		chain[number] = before + most
		longest = max(longest, chain[number])
	}
	aim := int64(max(1, one.event.Terms.Stretch)*float64(longest.Milliseconds())) + one.event.Terms.TargetMs
	if one.spec.RepeatCount > 0 {
		aim += max(0, one.spec.FirstRunMs+int64(times-1)*one.spec.PeriodMs-one.event.AtMs)
	}
	return aim
}
