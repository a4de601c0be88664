// Package localproxy stands between the leader of a pool and the executor on its own machine: it carries orders,
// extends holds by what it was granted, and reports what the executor says.
package localproxy

import (
	"slices"
	"time"

	"gannetline/internal/executorapi"
	"gannetline/internal/logging"
	"gannetline/internal/peerapi"
	"gannetline/internal/pulse"
)

const (
	mostGone = 4
	// usualDrain is how long an executor serves on after its farewell where the settings name no other time.
	usualDrain   = 2 * time.Second
	neverHeld    = time.Hour
	leavingAfter = 3 * time.Second
	unackedWait  = 250 * time.Millisecond
	holdWaitMs   = 1000
	shortWaitMs  = 150
	holdSlack    = 150 * time.Millisecond
	mistrust     = 10 * time.Second
	idleAfter    = 2 * time.Second
	deafFor      = time.Second
	deafAfter    = 2
	mostUnsure   = 10000
)

type orderKey struct {
	task string
	run  int64
	kind string
}

func keyOf(order peerapi.Order) orderKey { return orderKey{order.Task, order.Run, order.Kind} }

// givenOrder is an order on its way to the executor: the fence of the leader that gave it last, and the reading of the
// executor's clock, in milliseconds, up to which a start may be carried out by the grant that came with it.
type givenOrder struct {
	fence   uint64
	limitMs int64
}

type runKey struct {
	task string
	run  int64
}

type clockSample struct {
	executorMs int64
	heardAt    time.Duration
	isThere    bool
}

// lifeTable is what the proxy knows of the executor's present life.
type lifeTable struct {
	id         string
	sequence   int64
	beat       executorapi.Beat
	beatAt     time.Duration
	isDraining bool
	departsAt  time.Duration
	isLeaving  bool
	// servesOn is set at a farewell that nothing announced: the executor serves on for some time, and how long is not known.
	servesOn    bool
	leftAt      time.Duration
	clock       clockSample
	expiryMs    int64
	holdAt      time.Duration
	hasHeld     bool
	fence       uint64
	fenceHeld   uint64
	lastSeen    int64
	ends        []peerapi.EndReport
	running     []peerapi.RunReport
	lookWanted  uint64
	lookDone    uint64
	lookTold    uint64
	lookRunning []peerapi.RunReport
	answers     []givenAnswer
	busy        map[orderKey]givenOrder
	unsure      map[runKey]bool
	// isUnsureOfAll is set once more runs are in doubt than are remembered by name.
	isUnsureOfAll bool
	toldAt        time.Duration
	lostAt        time.Duration
	hasLost       bool
	feed          *feed
	busyAt        time.Duration
	chosenAt      time.Duration
	misses        int
	missedAt      time.Duration
}

type givenAnswer struct {
	peerapi.OrderAnswer
	at     time.Duration
	isSent bool
}

// Table is owned by one goroutine; the loops ask it what to do next and tell it what came back.
type Table struct {
	clock   pulse.Pulse
	log     logging.Logger
	service string
	domain  string
	name    string
	life    *lifeTable
	// others are lives that have sent beats as well and may be over; the next answer of the present life shows it.
	others []*lifeTable
	gone   []string
	// farewells are those of lives that this process has not heard of; a beat of theirs may still come.
	farewells []string
	drainTime time.Duration
	onWork    func()
	onLook    func()
	onAck     func()
	onStart   func()
	session   uint64
}

// TableOption changes how a table is made.
type TableOption func(*Table)

// WithSession lets only changes travel to the owner; the number should rise from one process beside the executor to the next.
func WithSession(number uint64) TableOption { return func(t *Table) { t.session = number } }

// WithDrainTime says how long an executor serves on at least once it has said that it leaves.
func WithDrainTime(length time.Duration) TableOption { return func(t *Table) { t.drainTime = length } }

// WithStartBell is rung, instead of the one for work, by news that can wait for a moment: that a run was started.
func WithStartBell(onStart func()) TableOption { return func(t *Table) { t.onStart = onStart } }

// NewTable makes a table without an executor. The functions ring when there is something to do: onWork when the
// executor should be held or the leader told, onLook when the runs should be listed anew, onAck when an end is to be
// acknowledged. They must not block.
func NewTable(clock pulse.Pulse, log logging.Logger, service, domain, name string, onWork, onLook, onAck func(), options ...TableOption) *Table {
	table := &Table{clock: clock, log: log, service: service, domain: domain, name: name, onWork: onWork, onLook: onLook, onAck: onAck,
		onStart: onWork, drainTime: usualDrain}
	for _, option := range options {
		option(table)
	}
	return table
}

func (t *Table) now() time.Duration { return t.clock.Steady() }

// Beat takes an executor's word of itself; why is set when it is refused.
func (t *Table) Beat(id string, beat *executorapi.Beat) (status int, why string) {
	if beat.Service != t.service {
		return 422, "service " + beat.Service + " is unknown on this machine"
	}
	if slices.Contains(t.gone, id) {
		return 409, "this executor is over"
	}
	if known := t.known(id); known != nil && beat.Sequence <= known.sequence && beat.Sequence != 0 {
		return 409, "field call-sequence is old"
	}
	now := t.now()
	t.choose(id)
	one := t.life
	one.sequence, one.beat, one.beatAt = beat.Sequence, *beat, now
	if beat.ClockMs > 0 {
		t.sample(one, beat.ClockMs)
	}
	if beat.State == "draining" && !one.isDraining {
		one.isDraining = true
		t.log.Info("the executor is draining", "executor", id, "departs-ms", beat.DepartsMs)
		t.onWork()
	}
	if beat.DepartsMs > 0 {
		one.departsAt = now + pulse.Ms(beat.DepartsMs)
	}
	return 200, ""
}

// known finds a life that is not known to be over.
func (t *Table) known(id string) *lifeTable {
	if t.life != nil && t.life.id == id {
		return t.life
	}
	for _, other := range t.others {
		if other.id == id {
			return other
		}
	}
	return nil
}

// choose takes the life that sent a beat for the present one. A beat may be late, so that the one before it is only
// known to be over once this one has answered a call.
func (t *Table) choose(id string) {
	if t.life != nil && t.life.id == id {
		return
	}
	next := t.known(id)
	if next == nil {
		t.log.Info("an executor's life begins", "executor", id)
		next = &lifeTable{id: id, busy: map[orderKey]givenOrder{}, unsure: map[runKey]bool{}, feed: newFeed(t.session), busyAt: t.now()}
	}
	t.others = slices.DeleteFunc(t.others, func(other *lifeTable) bool { return other == next })
	if t.life != nil {
		t.others = append(t.others, t.life)
	}
	next.chosenAt = t.now()
	t.life = next
	if slices.Contains(t.farewells, id) {
		t.leave(next)
	}
	t.onAck()
	t.onWork()
}

// confirm ends all other lives, as there is one on the machine at a time and the present one has answered.
func (t *Table) confirm() {
	for _, other := range t.others {
		t.markGone(other.id)
	}
	if len(t.others) > 0 {
		t.others = nil
		t.onWork()
	}
}

// endOther ends a life that is not the present one: its executor's address answers for another.
func (t *Table) endOther(id string) {
	for place, other := range t.others {
		if other.id == id {
			t.others = slices.Delete(t.others, place, place+1)
			t.markGone(id)
			t.onWork()
			return
		}
	}
}

// dismiss ends the present life; one of the others may be the one that is there.
func (t *Table) dismiss() {
	t.markGone(t.life.id)
	t.life = nil
	if count := len(t.others); count > 0 {
		t.life, t.others = t.others[count-1], t.others[:count-1]
		t.life.chosenAt = t.now()
		t.onAck()
	}
	t.onWork()
}

func (t *Table) markGone(id string) {
	t.gone = append(t.gone, id)
	t.gone = t.gone[max(0, len(t.gone)-mostGone):]
}

// Leave takes an executor's farewell. One that said before that it drains ends with it; any other serves on, so that what
// it runs is moved as if it had said so.
func (t *Table) Leave(id string) {
	one := t.known(id)
	if one == nil {
		t.farewells = append(t.farewells, id)
		t.farewells = t.farewells[max(0, len(t.farewells)-mostGone):]
		return
	}
	t.leave(one)
}

func (t *Table) leave(one *lifeTable) {
	if one.isLeaving {
		return
	}
	if !one.isDraining {
		one.servesOn, one.departsAt = true, t.now()+t.drainTime
	}
	one.isDraining, one.isLeaving, one.leftAt = true, true, t.now()
	t.log.Info("the executor says farewell", "executor", one.id)
	t.onWork()
}

// isOver tells whether an executor that no longer answers has ended by its own word. One that serves on for a time that
// nobody knows may only be deaf for the moment: its runs are over when their hold is, or when another answers.
func (t *Table) isOver(one *lifeTable) bool {
	return one.isLeaving && !one.servesOn && t.now()-one.leftAt > leavingAfter
}

func (t *Table) sample(one *lifeTable, executorMs int64) {
	one.clock = clockSample{executorMs, t.now(), true}
}

// clockAt is the least that the executor's clock can have shown at a moment; it may be 2% slow or fast.
func (s clockSample) clockAt(moment time.Duration) int64 {
	apart := moment - s.heardAt
	if apart >= 0 {
		return s.executorMs + pulse.InMs(apart*98/100)
	}
	return s.executorMs + pulse.InMs(apart*102/100)
}

// Grant extends what may be held, counted from before it was asked for.
func (t *Table) grant(one *lifeTable, askedAt time.Duration, grantMs int64) {
	if grantMs > 0 && one.clock.isThere {
		one.expiryMs = max(one.expiryMs, one.clock.clockAt(askedAt)+grantMs)
	}
}

// HoldWork is what a hold should say now.
type HoldWork struct {
	Life string
	Hold executorapi.Hold
	Look uint64
	// BegunAt is when the hold was made up, on the steady clock.
	BegunAt time.Duration
}

// NextHold is the hold to send next, for the list of runs or for the wait; false means that none is due.
func (t *Table) NextHold(isLook bool) (HoldWork, bool) {
	one := t.life
	if one == nil || isLook && (one.lookDone >= one.lookWanted || t.isDeaf(one)) {
		return HoldWork{}, false
	}
	if !isLook && len(one.ends) > 0 && t.now()-one.holdAt < unackedWait {
		return HoldWork{}, false
	}
	hold := executorapi.Hold{Fence: one.fence, LastSeen: one.lastSeen}
	if one.expiryMs > 0 && one.expiryMs > one.clock.clockAt(t.now()) {
		hold.ExpiryMs = one.expiryMs
	}
	if !isLook {
		hold.WaitMs = t.holdWait(one)
	}
	return HoldWork{Life: one.id, Hold: hold, Look: one.lookWanted, BegunAt: t.now()}, true
}

// holdWait is short while the executor leaves calls unanswered: a hold that is lost hides all ends until it is given up.
func (t *Table) holdWait(one *lifeTable) int64 {
	if one.hasLost && t.now()-one.lostAt < mistrust {
		return shortWaitMs
	}
	return holdWaitMs
}

// HoldLimit is when a hold is given up.
func HoldLimit(hold executorapi.Hold) time.Duration { return pulse.Ms(hold.WaitMs) + holdSlack }

// isDeaf tells whether calls to the executor fail one after the other; the holds that go on show when they do no more.
func (t *Table) isDeaf(one *lifeTable) bool {
	return one.misses >= deafAfter && t.now()-one.missedAt < deafFor
}

func (t *Table) noteMisses(one *lifeTable, count int) {
	wasDeaf := t.isDeaf(one)
	one.misses, one.missedAt = one.misses+count, t.now()
	if !wasDeaf && t.isDeaf(one) {
		t.onWork()
	}
}

func (t *Table) noteLost(one *lifeTable) { one.lostAt, one.hasLost = t.now(), true }

// Held takes the answer to a hold.
func (t *Table) Held(work HoldWork, answer executorapi.Answer) {
	one := t.life
	if one == nil || one.id != work.Life {
		return
	}
	if work.BegunAt >= one.chosenAt {
		t.confirm()
	}
	t.sample(one, answer.ClockMs)
	sinceHold := t.now() - one.holdAt
	one.holdAt, one.hasHeld, one.misses = t.now(), true, 0
	one.fenceHeld = max(one.fenceHeld, work.Hold.Fence)
	fresh := false
	for _, row := range answer.Ends {
		if row.Number > one.lastEnd() && row.Number > one.lastSeen {
			one.ends = append(one.ends, peerapi.EndReport(row))
			fresh = true
		}
	}
	one.running = one.running[:0]
	for _, row := range answer.Running {
		one.running = append(one.running, peerapi.RunReport(row))
	}
	one.feed.noteRunning(one.running, sinceHold)
	if len(one.running) > 0 {
		one.busyAt = t.now()
	}
	if work.Look > one.lookDone && work.Hold.Fence == one.fence {
		one.lookDone, one.lookRunning = work.Look, slices.Clone(one.running)
		fresh = true
	}
	if fresh {
		t.onWork()
	}
}

// HoldFailed tells whether the life is over for certain.
func (t *Table) HoldFailed(work HoldWork, isOtherLife bool) {
	one := t.life
	if one == nil || one.id != work.Life {
		if isOtherLife {
			t.endOther(work.Life)
		}
		return
	}
	t.noteMisses(one, 1)
	t.noteLost(one)
	if isOtherLife || t.isOver(one) {
		t.dismiss()
	}
}

func (l *lifeTable) lastEnd() int64 {
	if len(l.ends) == 0 {
		return 0
	}
	return l.ends[len(l.ends)-1].Number
}

// Compose makes the next exchange; told gives back what it held once it was answered.
func (t *Table) Compose(waitMs int64) (*peerapi.ExchangeCall, bool) {
	one := t.life
	if one == nil {
		return nil, false
	}
	now := t.now()
	call := &peerapi.ExchangeCall{Key: "pool/" + t.service, Life: one.id, Fence: one.fenceHeld, WaitMs: t.pollWait(one, waitMs)}
	one.feed.noteFacts(facts{proxy: t.name, domain: t.domain, labels: one.beat.Labels, room: one.beat.Room, isDraining: one.isDraining,
		gone: slices.Clone(t.gone)})
	one.feed.write(call)
	if one.departsAt > now {
		call.DepartsMs = pulse.InMs(one.departsAt - now)
	}
	age := neverHeld
	if one.hasHeld {
		age = now - one.holdAt
	}
	if t.isDeaf(one) {
		age = neverHeld
	}
	call.HoldAgeMs = pulse.InMs(age)
	call.Ends = slices.Clone(one.ends)
	for place := range one.answers {
		given := &one.answers[place]
		given.AgeMs, given.isSent = pulse.InMs(now-given.at), true
		call.Answers = append(call.Answers, given.OrderAnswer)
	}
	if one.lookDone > one.lookTold {
		call.Look, call.Running = one.lookDone, one.lookRunning
	} else if one.feed.held == 0 && now-one.toldAt > time.Second {
		call.Running = slices.Clone(one.running)
	}
	return call, true
}

// pollWait is longer while the executor is idle; it stays well below the silence after which an owner places nothing there.
func (t *Table) pollWait(one *lifeTable, waitMs int64) int64 {
	if t.now()-one.busyAt > idleAfter {
		return 2 * waitMs
	}
	return waitMs
}

// Told takes the owner's answer and gives the orders that are to be carried out.
func (t *Table) Told(call *peerapi.ExchangeCall, askedAt time.Duration, answer *peerapi.ExchangeAnswer) []peerapi.Order {
	one := t.life
	if one == nil || one.id != call.Life || answer.Fence < one.fence {
		return nil
	}
	if answer.Fence > one.fence {
		one.fence, one.lastSeen, one.lookDone, one.lookTold, one.lookWanted = answer.Fence, 0, 0, 0, 0
	}
	one.feed.told(answer)
	if answer.Again {
		t.onWork()
	}
	if !answer.Again && len(call.Answers) > 0 {
		one.answers = slices.DeleteFunc(one.answers, func(given givenAnswer) bool { return given.isIn(call.Answers) })
	}
	if !answer.Again && call.Fence == answer.Fence {
		one.lookTold = max(one.lookTold, call.Look)
	}
	if len(call.Running) > 0 {
		one.toldAt = t.now()
	}
	one.lastSeen = max(one.lastSeen, answer.LastSeen)
	if len(one.ends) > 0 {
		one.ends = slices.DeleteFunc(one.ends, func(end peerapi.EndReport) bool { return end.Number <= one.lastSeen })
		if len(one.ends) == 0 {
			t.onAck()
		}
	}
	t.grant(one, askedAt, answer.GrantMs)
	if answer.Look > one.lookWanted {
		one.lookWanted = answer.Look
	}
	if one.lookWanted > one.lookDone {
		t.onLook()
	}
	return t.accept(one, answer.Orders, t.limitOf(one, askedAt, answer.GrantMs))
}

// HasUnsent tells whether an answer of the executor was in no exchange yet.
func (t *Table) HasUnsent() bool {
	return t.life != nil && slices.ContainsFunc(t.life.answers, func(given givenAnswer) bool { return !given.isSent })
}

func (g givenAnswer) isIn(told []peerapi.OrderAnswer) bool {
	return slices.ContainsFunc(told, func(one peerapi.OrderAnswer) bool {
		return one.Task == g.Task && one.Run == g.Run && one.Kind == g.Kind && one.Result == g.Result
	})
}

// limitOf is the expiry that the leader counted on when it gave an order. A later grant doesn't lengthen it: the leader may
// have given the run up in between.
func (t *Table) limitOf(one *lifeTable, askedAt time.Duration, grantMs int64) int64 {
	if grantMs == 0 {
		return one.expiryMs
	}
	return one.clock.clockAt(askedAt) + grantMs
}

func (t *Table) accept(one *lifeTable, orders []peerapi.Order, limit int64) []peerapi.Order {
	kept := orders[:0]
	for _, order := range orders {
		key := keyOf(order)
		given, isBusy := one.busy[key]
		given.fence = one.fence
		if !isBusy {
			one.busyAt = t.now()
			given.limitMs = limit
			kept = append(kept, order)
		}
		one.busy[key] = given
	}
	return kept
}

// OrderWork is one order made ready for the executor.
type OrderWork struct {
	Life     string
	Order    peerapi.Order
	Fence    uint64
	ExpiryMs int64
}

// Ready is the last check before an executor: life, owner, drain and grant. An order that waited here while the pool
// changed hands is carried out only if the new owner gave it, too.
func (t *Table) Ready(lifeID string, order peerapi.Order) (OrderWork, bool) {
	one := t.life
	if one == nil || one.id != lifeID {
		if other := t.known(lifeID); other != nil {
			delete(other.busy, keyOf(order))
		}
		return OrderWork{}, false
	}
	given, isBusy := one.busy[keyOf(order)]
	if isBusy && given.fence != one.fence {
		delete(one.busy, keyOf(order))
		return OrderWork{}, false
	}
	work := OrderWork{Life: lifeID, Order: order, Fence: one.fence, ExpiryMs: one.expiryMs}
	if order.Kind != "launch" {
		if t.isDeaf(one) {
			delete(one.busy, keyOf(order))
			return work, false
		}
		return work, true
	}
	if one.isDraining {
		t.Carried(work, "not-run")
		return work, false
	}
	if t.isDeaf(one) {
		t.Carried(work, one.whileDeaf(order))
		return work, false
	}
	if isBusy {
		work.ExpiryMs = min(work.ExpiryMs, given.limitMs)
	}
	if work.ExpiryMs < one.clock.clockAt(t.now())+400 {
		delete(one.busy, keyOf(order))
		return work, false
	}
	return work, true
}

// Refused notes that nobody listens at the executor's address: the order was certainly not carried out.
func (t *Table) Refused(work OrderWork) {
	if one := t.life; one != nil && one.id == work.Life {
		t.noteMisses(one, deafAfter)
		t.Carried(work, "sick")
	}
}

// whileDeaf leaves a start that may have reached the executor to be sent again, as that is sooner over than a stop.
func (l *lifeTable) whileDeaf(order peerapi.Order) string {
	if l.isUnsureOf(runKey{order.Task, order.Run}) {
		return "timeout"
	}
	return "sick"
}

// isUnsureOf tells whether a start of the run may yet be carried out. A stop that was answered ends the doubt, as the
// executor turns the run away from then on.
func (l *lifeTable) isUnsureOf(run runKey) bool { return l.unsure[run] || l.isUnsureOfAll }

// Unanswered notes that an order may yet be carried out.
func (t *Table) Unanswered(work OrderWork) {
	one := t.known(work.Life)
	if one == nil {
		return
	}
	if len(one.unsure) < mostUnsure {
		one.unsure[runKey{work.Order.Task, work.Order.Run}] = true
	} else {
		one.isUnsureOfAll = true
	}
	t.noteMisses(one, 1)
	t.noteLost(one)
}

// Clock takes a reading of the executor's steady clock, in milliseconds, from any of its answers.
func (t *Table) Clock(lifeID string, executorMs int64) {
	if one := t.life; one != nil && one.id == lifeID && executorMs > 0 {
		one.misses = 0
		t.sample(one, executorMs)
	}
}

// Carried notes an order's answer for the owner.
func (t *Table) Carried(work OrderWork, result string) {
	one := t.known(work.Life)
	if one == nil {
		return
	}
	order, place := work.Order, runKey{work.Order.Task, work.Order.Run}
	delete(one.busy, keyOf(order))
	if order.Kind == "launch" && one.isUnsureOf(place) && result != "ok" && result != "timeout" {
		result = "unsure"
	}
	if result == "ok" {
		delete(one.unsure, place)
	}
	one.answers = append(one.answers, givenAnswer{at: t.now(),
		OrderAnswer: peerapi.OrderAnswer{Task: order.Task, Run: order.Run, Kind: order.Kind, Result: result}})
	if order.Kind == "launch" && result == "ok" {
		t.onStart()
		return
	}
	t.onWork()
}
