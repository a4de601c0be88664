package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/mailru/easyjson"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/clock"
	"gannetline/internal/scheduling/placement"
)

// Tick does all that falls due; Settle follows it.
func (p *Pool) Tick() {
	if p.leadership == nil {
		return
	}
	now := p.clock.Monotonic()
	defer func() { p.meters.tickSeconds.Observe(p.clock.Monotonic() - now) }()
	p.makeTimes()
	for _, home := range slices.Clone(p.roster.lives) {
		p.tickLife(home, now)
	}
	p.roster.isStale = true
	p.tickPending(now)
	p.tickAllBroken(now)
	p.forgetEnded()
	p.open.firsts.findLeast()
	p.open.spares.findLeast()
	if len(p.open.steps) > 0 {
		p.needsPlacing = true
	}
	p.meters.show(p, now)
}

// tickPending looks after the runs that an order is under way for, in an order that is the same at every replay.
func (p *Pool) tickPending(now time.Duration) {
	runs := slices.SortedFunc(maps.Keys(p.pending), func(one, two *run) int {
		return cmp.Or(cmp.Compare(one.life.id, two.life.id), cmp.Compare(one.task.name, two.task.name), cmp.Compare(one.number, two.number))
	})
	for _, one := range runs {
		if p.pending[one] {
			p.tickRun(one.life, one, now)
		}
	}
}

func (p *Pool) tickAllBroken(now time.Duration) {
	steps := slices.SortedFunc(maps.Keys(p.broken), func(one, two *stepState) int { return cmp.Compare(one.tasks[0].name, two.tasks[0].name) })
	for _, step := range steps {
		if step.left > 0 && step.time.job.isOpen() {
			p.tickBroken(step, now)
		}
		if step.brokenAt == 0 || step.left == 0 || !step.time.job.isOpen() {
			delete(p.broken, step)
		}
	}
}

// noteBroken begins to watch a gang that has lost a member, whichever way: what is left of it can only wait.
func (p *Pool) noteBroken(step *stepState) {
	if step.step.Gang && step.hasRuns() && step.brokenAt == 0 {
		step.brokenAt = p.clock.Monotonic()
		p.broken[step] = true
	}
}

// noteWhole ends the watch over a gang that starts again, as the members it has now are not those that were broken.
func (p *Pool) noteWhole(step *stepState) {
	step.brokenAt = 0
	delete(p.broken, step)
}

func (p *Pool) tickLife(home *life, now time.Duration) {
	home.fails, home.dones = home.fails*0.99, home.dones*0.99
	if p.isOutlived(home, now) {
		p.log.Info("executor replaced on its machine", "executor", home.id, "machine", home.proxy, "runs", len(home.runs))
		p.lifeGone(home)
		return
	}
	if now > home.lapsesAt {
		p.lapsed(home, now)
	}
	p.tidyLife(home, now)
	if home.parked != nil && now >= home.parked.until {
		p.answerParked(home)
	}
}

// lapsed closes what ran where the longest hold ever granted is over.
func (p *Pool) lapsed(home *life, now time.Duration) {
	if len(home.runs) > 0 {
		p.log.Info("executor lease expired", "executor", home.id, "runs", len(home.runs))
	}
	if now-home.contactAt > p.timing.SilentAfter || !home.isKnown {
		p.lifeGone(home)
		return
	}
	for _, one := range home.inOrder() {
		p.closeRun(one)
	}
}

func (p *Pool) tickRun(home *life, one *run, now time.Duration) {
	isSilent := now-home.contactAt > p.timing.SilentAfter
	switch {
	case one.needsLook > 0 || one.isQueued && !isSilent:
	case one.state == runLaunching && one.isCommitted && one.sends == 0 && isSilent && home.isFenced:
		p.closeRun(one)
	case one.state == runLaunching && one.sends > 0 && !isSilent && now-one.orderedAt > p.timing.StuckAfter:
		p.stopRun(one)
	case one.state != runRunning && !one.isAnswered && one.sends > 0:
		if wait := min(p.timing.Resend<<min(one.sends-1, 4), p.timing.ResendMost); now-one.sentAt > wait {
			p.queue(one)
		}
	case one.state == runStopping && one.isAnswered && now-one.answeredAt > p.timing.StopTimeout+300*time.Millisecond:
		one.answeredAt = now
		p.wantLook(home, one)
	}
}

// tickBroken stops the rest of a gang that lost a member, unless they ended by themselves.
func (p *Pool) tickBroken(step *stepState, now time.Duration) {
	if !step.hasRuns() {
		step.brokenAt = 0
		p.needsPlacing = true
		return
	}
	if now-step.brokenAt > time.Second {
		p.stopStep(step)
	}
}

// evacuate moves what will not end before a leaving executor is gone.
func (p *Pool) evacuate(home *life) {
	for _, one := range home.inOrder() {
		p.evacuateRun(one)
	}
}

func (p *Pool) evacuateRun(one *run) {
	home, step, now := one.life, one.task.step.step, p.clock.Monotonic()
	if one.state != runRunning || !home.isDraining {
		return
	}
	left := clock.Milliseconds(step.EstimatedMs) - (now - one.startedAt)
	if step.Lasting || home.departsAt > 0 && left > home.departsAt-now {
		p.stopRun(one)
	}
}

func (p *Pool) forgetEnded() {
	wall := p.leadership.WallMs()
	for len(p.ended) > 0 && wall-p.ended[0].endedMs > p.timing.KeepEnded.Milliseconds() {
		delete(p.jobs, p.ended[0].id)
		p.drop("s/" + p.ended[0].id)
		p.ended = p.ended[1:]
	}
	p.forgetRenounced(wall)
}

// noteEnded keeps ended jobs in the order in which they may be forgotten.
func (p *Pool) noteEnded(one *job) {
	place, _ := slices.BinarySearchFunc(p.ended, one, func(one, two *job) int {
		return cmp.Or(cmp.Compare(one.endedMs, two.endedMs), cmp.Compare(one.id, two.id))
	})
	p.ended = slices.Insert(p.ended, place, one)
}

func (p *Pool) place() {
	if !p.needsPlacing {
		return
	}
	p.needsPlacing = false
	if !slices.ContainsFunc(p.roster.lives, func(home *life) bool { return home.isKnown }) {
		return
	}
	now := p.clock.Monotonic()
	defer func() { p.meters.placeSeconds.Observe(p.clock.Monotonic() - now) }()
	p.refreshAll(now)
	executors := p.executors(now)
	placed := placement.Place(executors, p.open.line(), p.limits(now))
	for _, start := range p.starts(placed) {
		p.launch(start.task, start.home, start.number)
	}
}

type start struct {
	task   *task
	home   *life
	number int64
}

// starts gives each placement its task and the number of its run; all of a gang have one number.
func (p *Pool) starts(placed []placement.Placement) []start {
	starts := make([]start, len(placed))
	next, gangRun := map[int]int{}, map[int]int64{}
	for place, one := range placed {
		request := p.open.request(one.Group)
		if request.group.IsSpare {
			p.meters.spares.Inc()
		}
		step, which := request.step, request.tasks[next[one.Group]]
		next[one.Group]++
		number := which.lastRun + 1
		if step.step.Gang {
			if gangRun[one.Group] == 0 {
				gangRun[one.Group] = step.lastRun() + 1
			}
			number = gangRun[one.Group]
		}
		starts[place] = start{which, p.roster.lives[one.Executor], number}
	}
	return starts
}

// Beliefs shows jobs and executors to a comparison.
func (p *Pool) Beliefs() ([]wire.JobBelief, []wire.ExecutorBelief) {
	var jobs []wire.JobBelief
	var executors []wire.ExecutorBelief
	for id, one := range p.jobs {
		jobs = append(jobs, wire.JobBelief{Key: p.key, ID: id, State: one.shown()})
	}
	for id, home := range p.lives {
		executors = append(executors, wire.ExecutorBelief{Key: p.key, Executor: id, State: home.shown(), Running: len(home.runs)})
	}
	return jobs, executors
}

// JobsOn names the jobs with runs, as this leader knows, on the executors of a machine.
func (p *Pool) JobsOn(machine string) []string {
	found := map[string]bool{}
	for _, home := range p.lives {
		if home.proxy == machine {
			for _, one := range home.runs {
				found[one.task.job().id] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(found))
}

// JobsOf reads what a replica of the pool says of its jobs.
func JobsOf(key string, pairs []wire.Op) []wire.JobBelief {
	states := map[string]string{}
	for _, pair := range pairs {
		kind, id, _ := strings.Cut(pair.Name, "/")
		var record stateRecord
		switch {
		case kind == "j" && states[id] == "":
			states[id] = "open"
		case kind == "s" && easyjson.Unmarshal(pair.Value, &record) == nil:
			states[id] = record.State
		}
	}
	var jobs []wire.JobBelief
	for _, id := range slices.Sorted(maps.Keys(states)) {
		jobs = append(jobs, wire.JobBelief{Key: key, ID: id, State: states[id]})
	}
	return jobs
}
