package localproxy

import (
	"net/http"
	"slices"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/node/executorapi"
	"gannetline/internal/platform/clock"
)

const (
	// mostGone is how many former incarnations are remembered, so that late heartbeats of them are refused.
	mostGone = 4
	// usualDrain is how long an executor serves on after its farewell where the settings name no other time.
	usualDrain = 2 * time.Second
)

// stateDraining is what an executor says in its heartbeat once it takes no new runs.
const stateDraining = "draining"

// incarnation is what the proxy knows of one life of the executor, from its first heartbeat to its end.
type incarnation struct {
	id         string
	sequence   int64
	heartbeat  executorapi.Beat
	isDraining bool
	departsAt  time.Duration
	isLeaving  bool
	// servesOn is set at a farewell that nothing announced: the executor serves on for some time, and how long is not known.
	servesOn bool
	leftAt   time.Duration
	// currentSince is when it became the current incarnation.
	currentSince time.Duration
	clock        clockSample

	// expiryMs is how long its runs may go on, by its own clock.
	expiryMs int64
	heldAt   time.Duration
	hasHeld  bool
	// fence is that of the leader which answered last; fenceHeld the highest that the executor has answered to.
	fence     uint64
	fenceHeld uint64

	// lastSeen is the number of the last end that the leader has acknowledged.
	lastSeen int64
	ends     []wire.EndReport
	running  []wire.RunReport
	// runningSentAt is when an exchange with the list of running runs was answered last.
	runningSentAt time.Duration
	feed          *feed

	// The leader asks for complete lists of the runs by rising numbers: the last one asked for, taken and reported.
	listWanted   uint64
	listTaken    uint64
	listReported uint64
	listedRuns   []wire.RunReport

	// underWay are the orders that are being carried to the executor; answers are its answers to them.
	underWay map[orderKey]givenOrder
	answers  []givenAnswer
	// unsure are the runs whose start may yet be carried out; isUnsureOfAll is set once they are more than mostUnsure.
	unsure        map[runKey]bool
	isUnsureOfAll bool

	// misses counts calls in a row that the executor did not answer.
	misses     int
	missedAt   time.Duration
	lostAt     time.Duration
	hasLost    bool
	lastBusyAt time.Duration
}

func (t *Table) newIncarnation(id string) *incarnation {
	return &incarnation{id: id, underWay: map[orderKey]givenOrder{}, unsure: map[runKey]bool{}, feed: newFeed(t.session),
		lastBusyAt: t.now()}
}

// Beat takes an executor's heartbeat and gives the HTTP status to answer with; why is set when it is refused.
func (t *Table) Beat(id string, beat *executorapi.Beat) (status int, why string) {
	if beat.Service != t.service {
		return http.StatusUnprocessableEntity, "service " + beat.Service + " is unknown on this machine"
	}
	if slices.Contains(t.gone, id) {
		return http.StatusConflict, "this executor is over"
	}
	if known := t.known(id); known != nil && beat.Sequence <= known.sequence && beat.Sequence != 0 {
		return http.StatusConflict, "field call-sequence is old"
	}
	t.choose(id)
	t.takeHeartbeat(t.current, beat)
	return http.StatusOK, ""
}

func (t *Table) takeHeartbeat(sender *incarnation, beat *executorapi.Beat) {
	sender.sequence, sender.heartbeat = beat.Sequence, *beat
	if beat.ClockMs > 0 {
		t.sample(sender, beat.ClockMs)
	}
	if beat.State == stateDraining && !sender.isDraining {
		sender.isDraining = true
		t.log.Info("executor draining", "executor", sender.id, "departure_ms", beat.DepartsMs)
		t.onWork()
	}
	if beat.DepartsMs > 0 {
		sender.departsAt = t.now() + clock.Milliseconds(beat.DepartsMs)
	}
}

// currentIs gives the current incarnation if it has this ID, else nil.
func (t *Table) currentIs(id string) *incarnation {
	if t.current != nil && t.current.id == id {
		return t.current
	}
	return nil
}

// known finds an incarnation that is not known to be over.
func (t *Table) known(id string) *incarnation {
	if current := t.currentIs(id); current != nil {
		return current
	}
	for _, other := range t.others {
		if other.id == id {
			return other
		}
	}
	return nil
}

// choose takes the incarnation that sent a heartbeat for the current one. A heartbeat may be late, so that the one
// before it is only known to be over once this one has answered a call.
func (t *Table) choose(id string) {
	if t.currentIs(id) != nil {
		return
	}
	next := t.known(id)
	if next == nil {
		t.log.Info("executor registered", "executor", id)
		next = t.newIncarnation(id)
	}
	t.others = slices.DeleteFunc(t.others, func(other *incarnation) bool { return other == next })
	if t.current != nil {
		t.others = append(t.others, t.current)
	}
	next.currentSince = t.now()
	t.current = next
	if slices.Contains(t.farewells, id) {
		t.leave(next)
	}
	t.onAck()
	t.onWork()
}

// confirm ends all other incarnations, as there is one on the machine at a time and the current one has answered.
func (t *Table) confirm() {
	for _, other := range t.others {
		t.markGone(other.id)
	}
	if len(t.others) > 0 {
		t.others = nil
		t.onWork()
	}
}

// endOther ends an incarnation that is not the current one: its executor's address answers for another.
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

// endCurrent ends the current incarnation; one of the others may be the one that is there.
func (t *Table) endCurrent() {
	t.markGone(t.current.id)
	t.current = nil
	if count := len(t.others); count > 0 {
		t.current, t.others = t.others[count-1], t.others[:count-1]
		t.current.currentSince = t.now()
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
	sender := t.known(id)
	if sender == nil {
		t.farewells = append(t.farewells, id)
		t.farewells = t.farewells[max(0, len(t.farewells)-mostGone):]
		return
	}
	t.leave(sender)
}

func (t *Table) leave(sender *incarnation) {
	if sender.isLeaving {
		return
	}
	if !sender.isDraining {
		sender.servesOn, sender.departsAt = true, t.now()+t.drainTime
	}
	sender.isDraining, sender.isLeaving, sender.leftAt = true, true, t.now()
	t.log.Info("executor deregistered", "executor", sender.id)
	t.onWork()
}

// isOver tells whether an executor that no longer answers has ended by its own word. One that serves on for a time that
// nobody knows may only be deaf for the moment: its runs are over when their hold is, or when another answers.
func (t *Table) isOver(sender *incarnation) bool {
	return sender.isLeaving && !sender.servesOn && t.now()-sender.leftAt > leavingAfter
}
