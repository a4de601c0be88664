package scheduler

import (
	"slices"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/clock"
	"gannetline/internal/scheduling/recording"
)

// Results a local-proxy gives for an order.
const (
	ResultOK      = "ok"
	ResultNotRun  = "not-run"
	ResultRoom    = "room"
	ResultSick    = "sick"
	ResultUnsure  = "unsure"
	ResultTimeout = "timeout"
)

// Exchange takes what a local-proxy says of its executor, and answers with orders, grant and acks.
func (p *Pool) Exchange(call *wire.ExchangeCall, answer func(wire.ExchangeAnswer)) {
	now := p.clock.Monotonic()
	home := p.lifeOf(call.Executor)
	call, isTaken := home.heard.take(call)
	p.learnContact(home, call, now)
	if !isTaken {
		refusal := p.answerFor(home)
		refusal.HeldNumber, refusal.NeedsFullState, refusal.Session = 0, true, home.heard.session
		answer(refusal)
		return
	}
	if call.Fence != p.leadership.Epoch() {
		call.ListNumber = 0
	}
	for _, gone := range call.Gone {
		if old := p.lives[gone]; old != nil && gone != call.Executor {
			if !old.isDraining {
				p.mistrust(old)
			}
			p.lifeGone(old)
		}
	}
	p.learnFacts(home, call, now)
	for _, one := range call.Answers {
		p.takeAnswer(home, one)
	}
	hasNews := p.takeEnds(home, call.Ends)
	p.takeChanged(home, call.Changed)
	p.takeLook(home, call)
	if call.WaitMs > 0 {
		p.answerParked(home)
		home.parked = &parkedCall{until: now + clock.Milliseconds(call.WaitMs), answer: answer}
		p.release(home)
		return
	}
	if hasNews {
		p.after(func(err error) { p.answerAck(home, err, answer) })
		return
	}
	answer(p.answerFor(home))
}

// answerAck tells the proxy at once, with the commit, how far its ends are taken note of.
func (p *Pool) answerAck(home *life, err error, answer func(wire.ExchangeAnswer)) {
	if err != nil || p.leadership == nil {
		answer(wire.ExchangeAnswer{NotLeader: true})
		return
	}
	answer(p.answerFor(home))
}

// learnContact takes what every exchange tells, also one whose base is not known here.
func (p *Pool) learnContact(home *life, call *wire.ExchangeCall, now time.Duration) {
	p.roster.note(home)
	isBlocked := clock.Milliseconds(call.HoldAgeMs) > p.timing.HoldStale
	if home.isBlocked && !isBlocked {
		p.needsPlacing = true
	}
	if isBlocked != home.isBlocked || now-home.contactAt > doubtAfter {
		p.doubtRuns(home)
	}
	home.isBlocked, home.contactAt = isBlocked, now
	if !isBlocked && p.leadership.HasLease() {
		home.lapsesAt = max(home.lapsesAt, now+p.lapse(p.timing.Grant))
	}
}

func (p *Pool) learnFacts(home *life, call *wire.ExchangeCall, now time.Duration) {
	if !home.isKnown || home.isDraining != call.Draining {
		p.needsPlacing = true
	}
	isNewDrain := call.Draining && !home.isDraining
	if !home.isKnown || isNewDrain {
		p.record.Record(recording.Event{Kind: recording.KindExecutor, AtMs: p.leadership.WallMs(), Machine: call.Proxy, Room: call.Capacity,
			Labels: call.Labels, IsDraining: call.Draining})
	}
	if home.atOnce > 0 {
		p.needsPlacing = true
	}
	home.learnPenalty(p.penaltyOf(call.Proxy, now))
	if p.rules != nil && (home.room != room(call.Capacity) || !slices.Equal(home.labels, call.Labels)) {
		p.roster.version++
	}
	home.isKnown, home.proxy, home.domain, home.labels = true, call.Proxy, call.Domain, call.Labels
	// A proxy that was restarted may not have heard yet that its executor leaves; no executor takes that back.
	home.room, home.isDraining = room(call.Capacity), home.isDraining || call.Draining
	if call.DepartureMs > 0 {
		home.departsAt = now + clock.Milliseconds(call.DepartureMs)
	}
	if !home.isFenced && call.Fence == p.leadership.Epoch() && call.ListNumber >= home.firstLook {
		home.isFenced = true
		p.newest[home.proxy] = home
		p.needsPlacing = true
	}
	if isNewDrain {
		p.evacuate(home)
	}
}

func (p *Pool) answerFor(home *life) wire.ExchangeAnswer {
	now := p.clock.Monotonic()
	answer := wire.ExchangeAnswer{Fence: p.leadership.Epoch(), LastSeen: home.lastSeen, WantedList: home.lookWanted, HeldNumber: home.heard.held}
	if !home.isBlocked && p.leadership.HasLease() {
		answer.GrantMs = p.timing.Grant.Milliseconds()
		home.lapsesAt = max(home.lapsesAt, now+p.lapse(p.timing.Grant))
	}
	answer.Orders = home.strays
	home.strays = nil
	if !home.isFenced {
		return answer
	}
	for _, one := range home.outbox {
		one.isQueued = false
		if home.runs[one.key()] != one || one.state == runRunning {
			continue
		}
		p.meters.sent(one)
		one.sends++
		one.sentAt = now
		p.touch(one.task)
		answer.Orders = append(answer.Orders, p.order(one))
	}
	home.outbox = nil
	return answer
}

func (p *Pool) order(one *run) wire.Order {
	order := wire.Order{Kind: kindStop, Task: one.task.name, Run: one.number}
	if one.state == runLaunching {
		order.Kind, order.Descriptor, order.Checkpoint = kindLaunch, one.task.job().spec.Descriptor, one.task.checkpoint()
	}
	return order
}

func (p *Pool) release(home *life) {
	if home.isFenced && len(home.outbox) > 0 || len(home.strays) > 0 {
		p.answerParked(home)
	}
}

func (p *Pool) answerParked(home *life) {
	if home.parked != nil {
		p.unpark(home, p.answerFor(home))
	}
}

func (p *Pool) unpark(home *life, answer wire.ExchangeAnswer) {
	if home.parked != nil {
		reply := home.parked.answer
		home.parked = nil
		reply(answer)
	}
}

func (p *Pool) wantLook(home *life, one *run) {
	p.looks++
	home.lookWanted, home.lookAt = p.looks, p.clock.Monotonic()
	one.needsLook = p.looks
	p.answerParked(home)
}

func (p *Pool) takeAnswer(home *life, answer wire.OrderAnswer) {
	one := home.runs[runKey{answer.Task, answer.Run}]
	if one == nil {
		return
	}
	now := p.clock.Monotonic()
	if answer.Kind == kindStop {
		if one.state == runStopping && answer.Result == ResultOK && !one.isAnswered {
			one.isAnswered, one.answeredAt = true, now
			p.drop(orderName(one.task, one.number, kindStop))
			p.putTask(one.task)
		}
		return
	}
	if one.state != runLaunching {
		return
	}
	isCertain := one.sends <= 1 && one.needsLook == 0
	switch answer.Result {
	case ResultOK:
		p.started(one)
		one.startedAt -= min(clock.Milliseconds(answer.AgeMs), now-one.orderedAt)
	case ResultNotRun, ResultRoom, ResultSick:
		if answer.Result == ResultSick {
			p.penalizeUnlessResting(home)
			home.fails++
		}
		if answer.Result != ResultNotRun {
			home.sickUntil = now + sickPause
		}
		one.task.avoid = home.id
		if isCertain {
			p.closeRun(one)
			return
		}
		p.stopRun(one)
	case ResultUnsure:
		p.stopRun(one)
	case ResultTimeout:
		home.fails += 0.3
	}
}

func (p *Pool) takeEnds(home *life, ends []wire.EndReport) (hasNews bool) {
	if !home.isFenced || len(ends) == 0 || ends[len(ends)-1].Number <= home.notedEnd {
		return false
	}
	for _, end := range ends {
		if end.Number > home.notedEnd {
			home.notedEnd = end.Number
			p.takeEnd(home, end)
		}
	}
	noted := home.notedEnd
	p.after(func(err error) {
		if err == nil && noted > home.lastSeen {
			home.lastSeen = noted
		}
	})
	return true
}

func (p *Pool) takeChanged(home *life, changed []wire.RunReport) {
	for _, report := range changed {
		one := home.runs[runKey{report.Task, report.Run}]
		if one == nil {
			continue
		}
		if report.Checkpoint != "" {
			p.keepSaved(one.task, report.Checkpoint)
		}
		one.isStuck = report.Stuck
		p.moveStuck(one)
	}
}

func (p *Pool) takeLook(home *life, call *wire.ExchangeCall) {
	if call.ListNumber == 0 || !home.isFenced {
		return
	}
	running := map[runKey]bool{}
	for _, report := range call.Running {
		key := runKey{report.Task, report.Run}
		running[key] = true
		hasEnded := slices.ContainsFunc(call.Ends, func(end wire.EndReport) bool { return end.Task == report.Task && end.Run == report.Run })
		if home.runs[key] == nil && !hasEnded {
			p.stray(home, report)
		}
	}
	for _, one := range home.inOrder() {
		if one.needsLook == 0 || one.needsLook > call.ListNumber {
			continue
		}
		one.needsLook = 0
		p.resolve(one, running[one.key()])
	}
}

// resolve settles a doubtful run by a look that was taken after the doubt arose.
func (p *Pool) resolve(one *run, isRunning bool) {
	switch {
	case one.state == runLaunching && isRunning:
		p.started(one)
	case one.state == runLaunching:
		one.sends = 0
		p.queue(one)
	case one.state == runRunning && !isRunning:
		p.closeRun(one)
	case one.state == runStopping && one.isAnswered && !isRunning:
		p.closeRun(one)
	case one.state == runStopping && !one.isAnswered:
		p.queue(one)
	}
}

// stray stops a run that no record knows, such as one carried out long after its order was given up.
func (p *Pool) stray(home *life, report wire.RunReport) {
	order := wire.Order{Kind: kindStop, Task: report.Task, Run: report.Run}
	if !slices.Contains(home.strays, order) {
		p.log.Info("stopping orphaned run", "task", report.Task, "run", report.Run, "executor", home.id)
		home.strays = append(home.strays, order)
	}
}

// lifeGone closes all that ran on a life that certainly runs nothing any more.
func (p *Pool) lifeGone(home *life) {
	home.isKnown = false
	p.unpark(home, wire.ExchangeAnswer{})
	for _, one := range home.inOrder() {
		p.closeRun(one)
	}
	p.forgetLife(home)
	p.needsPlacing = true
}
