package poolowner

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/mailru/easyjson"

	"gannetline/internal/placetasks"
	"gannetline/internal/pulse"
	"gannetline/internal/queuerules"
	"gannetline/internal/siblingwire"
)

// ruleHolds is how long a task waits for the executors of its queue's rule.
const ruleHolds = time.Second

// Tick does all that falls due; Settle follows it.
func (p *Pool) Tick() {
	if p.tenure == nil {
		return
	}
	now := p.clock.Steady()
	defer func() { p.meters.tickSeconds.Observe(p.clock.Steady() - now) }()
	p.makeTimes()
	for _, home := range p.livesInOrder() {
		p.tickLife(home, now)
	}
	for _, step := range p.openInOrder() {
		if step.brokenAt > 0 {
			p.tickBroken(step, now)
		}
	}
	p.forgetEnded()
	if len(p.open) > 0 {
		p.needsPlacing = true
	}
	p.meters.show(p, now)
}

func (p *Pool) tickLife(home *life, now time.Duration) {
	home.fails, home.dones = home.fails*0.99, home.dones*0.99
	if now > home.lapsesAt {
		p.lapsed(home, now)
	}
	if home.parked != nil && now >= home.parked.until {
		p.answerParked(home)
	}
	for _, one := range home.inOrder() {
		p.tickRun(home, one, now)
	}
}

// lapsed closes what ran where the longest hold ever granted is over.
func (p *Pool) lapsed(home *life, now time.Duration) {
	if len(home.runs) > 0 {
		p.log.Info("holds have lapsed", "executor", home.id, "runs", len(home.runs))
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
	now := p.clock.Steady()
	for _, one := range home.inOrder() {
		step := one.task.step.step
		left := pulse.Ms(step.EstimatedMs) - (now - one.startedAt)
		if one.state == runRunning && (step.Lasting || home.departsAt > 0 && left > home.departsAt-now) {
			p.stopRun(one)
		}
	}
}

func (p *Pool) forgetEnded() {
	wall := p.tenure.WallMs()
	for id, one := range p.jobs {
		if !one.isOpen() && one.spec == nil && wall-one.endedMs > pulse.InMs(p.timing.KeepEnded) {
			delete(p.jobs, id)
			p.drop("s/" + id)
		}
	}
}

func (p *Pool) place() {
	if !p.needsPlacing {
		return
	}
	p.needsPlacing = false
	now := p.clock.Steady()
	defer func() { p.meters.placeSeconds.Observe(p.clock.Steady() - now) }()
	homes, executors := p.placeable(now)
	if len(homes) == 0 {
		return
	}
	steps, tasks, groups := p.waiting(homes, now)
	next := make([]int, len(steps))
	gangRun := make([]int64, len(steps))
	for _, one := range placetasks.Place(executors, groups, p.headroom(executors, groups, now)) {
		which := tasks[one.Group][next[one.Group]]
		next[one.Group]++
		number := which.lastRun + 1
		if steps[one.Group].step.Gang {
			if gangRun[one.Group] == 0 {
				gangRun[one.Group] = steps[one.Group].lastRun() + 1
			}
			number = gangRun[one.Group]
		}
		if groups[one.Group].IsSpare {
			p.meters.spares.Inc()
		}
		p.launch(which, homes[one.Executor], number)
	}
}

func (p *Pool) placeable(now time.Duration) ([]*life, []placetasks.Executor) {
	homes := slices.DeleteFunc(p.livesInOrder(), func(home *life) bool { return !home.isKnown })
	executors := make([]placetasks.Executor, len(homes))
	for place, home := range homes {
		executors[place] = placetasks.Executor{Free: home.room.Minus(home.used), Total: home.room, Labels: home.labels, Rack: home.rack(),
			Doubt: home.doubt() + home.slowness(), IsClosed: !home.isFenced || home.isDraining || home.isBlocked || now < home.sickUntil ||
				now-home.contactAt > p.timing.SilentAfter}
	}
	return homes, executors
}

func (p *Pool) waiting(homes []*life, now time.Duration) ([]*stepState, [][]*task, []placetasks.Group) {
	steps := p.openInOrder()
	var kept []*stepState
	var tasks [][]*task
	var groups []placetasks.Group
	for _, step := range steps {
		if ready := p.ready(step, now); len(ready) > 0 {
			kept = append(kept, step)
			tasks = append(tasks, ready)
			groups = append(groups, p.group(step, ready, homes))
		}
		for _, which := range p.doubtful(step, now) {
			kept = append(kept, step)
			tasks = append(tasks, []*task{which})
			groups = append(groups, p.spare(which, homes))
		}
	}
	return kept, tasks, groups
}

func (p *Pool) openInOrder() []*stepState {
	steps := slices.Collect(maps.Keys(p.open))
	slices.SortFunc(steps, func(one, two *stepState) int { return cmp.Compare(one.tasks[0].name, two.tasks[0].name) })
	return steps
}

func (p *Pool) ready(step *stepState, now time.Duration) []*task {
	if step.step.Gang && step.hasRuns() {
		return nil
	}
	var ready []*task
	for _, which := range step.tasks {
		if !which.isDone && len(which.runs) == 0 && which.notBefore <= now {
			ready = append(ready, which)
		}
	}
	return ready
}

func (p *Pool) group(step *stepState, ready []*task, homes []*life) placetasks.Group {
	held := make([]int, len(homes))
	avoid := make([]bool, len(homes))
	for place, home := range homes {
		for _, which := range step.tasks {
			for _, one := range which.runs {
				if one.life == home {
					held[place]++
				}
			}
		}
		avoid[place] = ready[0].avoid == home.id
	}
	owner := step.time.job
	due := p.rules.Order(owner.record.Entry, queuerules.Step{Due: int(owner.aimMs(step.time.number)), Tasks: len(ready),
		CPU: int(step.step.CPU), Memory: int(step.step.Memory), Estimate: int(step.step.EstimatedMs)})
	return placetasks.Group{Barred: p.barredByRule(step, homes), Need: step.need(), Count: len(ready), IsGang: step.step.Gang, SameRack: step.step.SameRack,
		Labels: step.step.Labels, Near: step.step.Near, Apart: step.step.Apart, Held: held, Avoid: avoid,
		IsLong: step.step.Lasting || pulse.Ms(step.step.EstimatedMs) > p.timing.Headroom.LongWork, Priority: owner.record.Terms.Priority, Due: due}
}

// barredByRule keeps a queue to the executors of its rule for a moment; a task that waits longer may go anywhere,
// so that no rule of a queue leaves work undone while there is room.
func (p *Pool) barredByRule(step *stepState, homes []*life) []bool {
	queue := step.time.job.record.Entry
	if !p.rules.HasUse(queue) || p.clock.Steady()-step.openedAt > ruleHolds {
		return nil
	}
	barred := make([]bool, len(homes))
	for place, home := range homes {
		barred[place] = !p.rules.Allows(queue, queuerules.Executor{Labels: home.labels, CPU: int(home.room.CPU),
			Memory: int(home.room.Memory), GPU: int(home.room.GPU)})
	}
	return barred
}

// Beliefs shows jobs and executors to a comparison.
func (p *Pool) Beliefs() ([]siblingwire.JobBelief, []siblingwire.ExecutorBelief) {
	var jobs []siblingwire.JobBelief
	var executors []siblingwire.ExecutorBelief
	for id, one := range p.jobs {
		jobs = append(jobs, siblingwire.JobBelief{Key: p.key, ID: id, State: one.shown()})
	}
	for id, home := range p.lives {
		executors = append(executors, siblingwire.ExecutorBelief{Key: p.key, Life: id, State: home.shown(), Running: len(home.runs)})
	}
	return jobs, executors
}

// JobsOf reads what a replica of the pool says of its jobs.
func JobsOf(key string, pairs []siblingwire.Op) []siblingwire.JobBelief {
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
	var jobs []siblingwire.JobBelief
	for _, id := range slices.Sorted(maps.Keys(states)) {
		jobs = append(jobs, siblingwire.JobBelief{Key: key, ID: id, State: states[id]})
	}
	return jobs
}
