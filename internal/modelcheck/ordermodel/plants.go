package ordermodel

import (
	"bytes"
	"net/http"
	"slices"
	"time"

	"gannetline/internal/executorapi"
	"gannetline/internal/leaderclient"
	"gannetline/internal/localproxy"
	"gannetline/internal/modelcheck"
	"gannetline/internal/peerapi"
	"gannetline/internal/scheduler"
)

// plant puts one fault into the system by wrapping what the model drives; the zero plant changes nothing.
type plant struct {
	name string
}

// Names of the plants.
const (
	plantAnswerByPlace   = "answer-by-place"
	plantNewRunID        = "resend-under-new-run"
	plantHoldUngranted   = "hold-without-grant"
	plantGrantOnArrival  = "grant-from-arrival"
	plantFenceIgnored    = "old-fence-carried-out"
	plantLastSeenEarly   = "last-seen-before-commit"
	plantCancelForgotten = "cancelled-job-started"
	plantStopUnanswered  = "stop-without-answer"
	plantRefusedUnclear  = "unclear-hand-in-refused"
	plantAckEarly        = "acknowledged-before-commit"
	plantLeaseIgnored    = "lease-not-checked"
	plantWrongLife       = "other-life-not-refused"
	plantUnsureForgotten = "unclear-start-called-not-run"
	plantBeatEndsLife    = "life-ended-by-beat"
	plantOtherCheckpoint = "checkpoint-of-another-task"
	plantRoomOverstated  = "capacity-overstated"
	plantFailureDone     = "failure-told-as-done"
	plantFailureStopped  = "failure-not-counted"
	plantLookForgotten   = "look-of-an-old-hold"
	plantEndSkipped      = "ended-run-still-counted"
	plantAvoided         = "executor-avoided-for-ever"
	plantStopCounted     = "stop-counted-as-failure"
	plantForgottenEarly  = "ended-jobs-forgotten-early"
	plantTicksForgotten  = "placement-put-off"
	plantRoomReserved    = "room-reserved-for-ever"
	plantStateUnanswered = "state-not-told"
)

var plants = []modelcheck.Plant{
	{Name: plantAnswerByPlace, About: "A proxy takes an executor's answer for the oldest call that waits, not for the call it answers."},
	{Name: plantNewRunID, About: "A proxy sends a start that was not answered again under the next run-id."},
	{Name: plantHoldUngranted, About: "A proxy extends holds without a grant of the leader."},
	{Name: plantGrantOnArrival, About: "A proxy counts a grant from its arrival instead of from when it asked."},
	{Name: plantFenceIgnored, About: "A proxy carries out the orders of a former leader under the fence of the new one."},
	{Name: plantLastSeenEarly, About: "A leader acknowledges ends before their commit."},
	{Name: plantCancelForgotten, About: "A leader acknowledges a cancel whose record it doesn't commit."},
	{Name: plantStopUnanswered, About: "A proxy reports a stop that was not answered as carried out."},
	{Name: plantRefusedUnclear, About: "A gate refuses a hand-in though an earlier try of it may have been taken."},
	{Name: plantAckEarly, About: "A leader takes a change for committed as soon as it is proposed."},
	{Name: plantLeaseIgnored, About: "A leader grants holds and answers without a lease."},
	{Name: plantWrongLife, About: "A new executor carries out what was meant for the one before it."},
	{Name: plantUnsureForgotten, About: "A proxy reports a start that was not answered as certainly not carried out."},
	{Name: plantBeatEndsLife, About: "A proxy takes a life for over as soon as another one's heartbeat comes, however late that is."},
	{Name: plantOtherCheckpoint, About: "A proxy starts a task from the checkpoint of another."},
	{Name: plantRoomOverstated, About: "A proxy tells the leader of twice the room that its executor has."},
	{Name: plantFailureDone, About: "A proxy tells the leader that a failed run is done."},
	{Name: plantFailureStopped, About: "A proxy tells the leader that a failed run was stopped."},
	{Name: plantLookForgotten, About: "A proxy tells the leader what ran at the hold before the one that was asked for."},
	{Name: plantEndSkipped, About: "A proxy leaves out some ends, so that the leader counts the room of runs that are over."},
	{Name: plantAvoided, About: "An executor that once left a hold unanswered is given no more runs."},
	{Name: plantStopCounted, About: "A proxy tells the leader of runs that were stopped, lapsed or broken that they failed, which counts as attempts."},
	{Name: plantForgottenEarly, About: "A leader forgets ended jobs after two seconds."},
	{Name: plantTicksForgotten, About: "A leader looks only every eight seconds for what waits for a time or was not placed at once."},
	{Name: plantRoomReserved, About: "All room is reserved for urgent work for as long as any is remembered, also from first runs."},
	{Name: plantStateUnanswered, About: "A leader does not answer questions for the state of some jobs."},
}

// timing is that of the pool, which some plants change.
func (p plant) timing(timing scheduler.Timing) scheduler.Timing {
	switch p.name {
	case plantForgottenEarly:
		timing.KeepEnded = forgottenAfter
	case plantRoomReserved:
		timing.Headroom.MostReserved, timing.Headroom.AlwaysAllowed, timing.Headroom.FirstRuns = 1, 0, 0
	}
	return timing
}

func (p plant) ignoresLife() bool { return p.name == plantWrongLife }

func (p plant) outcome(outcome leaderclient.Outcome) leaderclient.Outcome {
	if p.name == plantRefusedUnclear {
		outcome.MaySee = false
	}
	return outcome
}

func (p plant) tenure(fresh *leadership) scheduler.Tenure {
	switch p.name {
	case plantCancelForgotten:
		return forgetfulTenure{fresh}
	case plantAckEarly:
		return hastyTenure{fresh}
	case plantLeaseIgnored:
		return boldTenure{fresh}
	}
	return fresh
}

// forgetfulTenure leaves out the end of cancelled jobs from what it commits, so that the next leader goes on with them.
type forgetfulTenure struct{ *leadership }

// Commit leaves out the records that say that a job was cancelled, and those that remove such a job; done gets the outcome
// of the rest.
func (t forgetfulTenure) Commit(ops []peerapi.Op, done func(error)) {
	var kept []peerapi.Op
	for _, op := range ops {
		isEnd := op.Name[0] == 's' && bytes.Contains(op.Value, []byte(`"cancelled"`))
		if isEnd {
			t.key.world.forgotten["j/"+op.Name[2:]] = true
		}
		isForgetting := len(op.Value) == 0 && t.key.world.forgotten[op.Name]
		if !isEnd && !isForgetting {
			kept = append(kept, op)
		}
	}
	t.leadership.Commit(kept, done)
}

type hastyTenure struct{ *leadership }

// Commit proposes the change and has done called without an error at once, whatever becomes of the change.
func (t hastyTenure) Commit(ops []peerapi.Op, done func(error)) {
	t.leadership.Commit(ops, func(error) {})
	t.steward.later(0, func() {
		done(nil)
		t.steward.settle()
	})
}

type boldTenure struct{ *leadership }

// HasLease is true until the leadership ends, also when its lease has run out.
func (t boldTenure) HasLease() bool { return t.isOpen }

func (p plant) scheduler(pool poolLeader) poolLeader {
	switch p.name {
	case plantLastSeenEarly:
		return hastyScheduler{pool}
	case plantTicksForgotten:
		return &dozingScheduler{poolLeader: pool}
	case plantStateUnanswered:
		return silentScheduler{pool}
	}
	return pool
}

// hastyScheduler acknowledges whatever ends a call brings.
type hastyScheduler struct{ poolLeader }

// Exchange answers a call that brings ends twice: at once, acknowledging them all, and when the real pool does.
func (s hastyScheduler) Exchange(call *peerapi.ExchangeCall, answer func(peerapi.ExchangeAnswer)) {
	seen := int64(0)
	if len(call.Ends) > 0 {
		seen = call.Ends[len(call.Ends)-1].Number
	}
	s.poolLeader.Exchange(call, func(told peerapi.ExchangeAnswer) {
		if told.Fence > 0 && !told.Elsewhere {
			told.LastSeen = max(told.LastSeen, seen)
		}
		answer(told)
	})
	if seen > 0 {
		answer(peerapi.ExchangeAnswer{Fence: call.Fence, LastSeen: seen, Held: call.Base})
	}
}

func (p plant) table(owner *proxy, table *localproxy.Table) proxyTable {
	one := plantedTable{Table: table, proxy: owner}
	switch p.name {
	case plantNewRunID:
		return &renumberingTable{one, map[string]int64{}}
	case plantHoldUngranted:
		return &ungrantedTable{one}
	case plantGrantOnArrival:
		return &lateGrantTable{one}
	case plantFenceIgnored:
		return &unfencedTable{plantedTable: one}
	case plantStopUnanswered:
		return &stoppingTable{one}
	case plantUnsureForgotten:
		return &forgetfulTable{one}
	case plantBeatEndsLife:
		return &trustingTable{one}
	case plantOtherCheckpoint:
		return &mixingTable{plantedTable: one}
	case plantRoomOverstated:
		return &boastingTable{one}
	case plantFailureDone:
		return &lyingTable{one, []string{howFailed}, howDone}
	case plantFailureStopped:
		return &lyingTable{one, []string{howFailed}, howStopped}
	case plantStopCounted:
		return &lyingTable{one, []string{howStopped, howLapsed, howBroken}, howFailed}
	case plantEndSkipped:
		return &skippingTable{one}
	case plantAvoided:
		return &grudgingTable{plantedTable: one}
	case plantLookForgotten:
		return &oldLookTable{plantedTable: one}
	}
	return table
}

type plantedTable struct {
	*localproxy.Table
	proxy *proxy
}

type renumberingTable struct {
	plantedTable
	tries map[string]int64
}

// Ready adds to the run number of a launch how many orders for its task went unanswered.
func (t *renumberingTable) Ready(life string, order peerapi.Order) (localproxy.OrderWork, bool) {
	work, isDue := t.Table.Ready(life, order)
	if isDue && order.Kind == "launch" {
		work.Order.Run += t.tries[order.Task]
	}
	return work, isDue
}

// Unanswered counts the try against the task, and passes it on to the real table.
func (t *renumberingTable) Unanswered(work localproxy.OrderWork) {
	t.tries[work.Order.Task]++
	t.Table.Unanswered(work)
}

type ungrantedTable struct{ plantedTable }

// NextHold extends the expiry of a hold that has one by the longest time that a hold may last.
func (t *ungrantedTable) NextHold(isLook bool) (localproxy.HoldWork, bool) {
	work, isDue := t.Table.NextHold(isLook)
	if work.Hold.ExpiryMs > 0 {
		work.Hold.ExpiryMs += int64(t.proxy.world.timing.MaxHold / time.Millisecond)
	}
	return work, isDue
}

type lateGrantTable struct{ plantedTable }

// Told passes the time of the answer on to the real table as if the exchange had been sent then.
func (t *lateGrantTable) Told(call *peerapi.ExchangeCall, _ time.Duration, answer *peerapi.ExchangeAnswer) []peerapi.Order {
	return t.Table.Told(call, t.proxy.world.queue.now(), answer)
}

// unfencedTable carries out, under the fence of a new leader, what the former one ordered last.
type unfencedTable struct {
	plantedTable
	fence  uint64
	former []peerapi.Order
}

const formerOrders = 8

// Told adds, to the orders of the first answer under a higher fence, the last launches that were ordered before.
func (t *unfencedTable) Told(call *peerapi.ExchangeCall, askedAt time.Duration, answer *peerapi.ExchangeAnswer) []peerapi.Order {
	orders := t.Table.Told(call, askedAt, answer)
	if answer.Fence > t.fence {
		t.fence = answer.Fence
		orders = append(orders, t.former...)
	}
	for _, order := range orders {
		if order.Kind == "launch" {
			t.former = append(t.former, order)
		}
	}
	t.former = t.former[max(0, len(t.former)-formerOrders):]
	return orders
}

type stoppingTable struct{ plantedTable }

// Carried passes a stop without an answer on to the real table as carried out.
func (t *stoppingTable) Carried(work localproxy.OrderWork, result string) {
	if work.Order.Kind == "stop" && result == "timeout" {
		result = "ok"
	}
	t.Table.Carried(work, result)
}

type forgetfulTable struct{ plantedTable }

// Unanswered drops the news that an order may yet be carried out.
func (t *forgetfulTable) Unanswered(localproxy.OrderWork) {}

// Carried passes a launch without an answer on to the real table as certainly not carried out.
func (t *forgetfulTable) Carried(work localproxy.OrderWork, result string) {
	if work.Order.Kind == "launch" && result == "timeout" {
		result = "not-run"
	}
	t.Table.Carried(work, result)
}

// trustingTable takes each heartbeat for an answer of the life that it names.
type trustingTable struct{ plantedTable }

// Beat takes a heartbeat that the real table accepts for the answer to a hold as well.
func (t *trustingTable) Beat(id string, beat *executorapi.Beat) (int, string) {
	status, why := t.Table.Beat(id, beat)
	if status == http.StatusOK {
		t.Table.Held(localproxy.HoldWork{Life: id, BegunAt: t.proxy.world.queue.now()}, executorapi.Answer{ClockMs: beat.ClockMs})
	}
	return status, why
}

// mixingTable starts each task from the checkpoint that came last.
type mixingTable struct {
	plantedTable
	saved string
}

// Ready replaces the checkpoint of an order by that of the order before it that had one.
func (t *mixingTable) Ready(life string, order peerapi.Order) (localproxy.OrderWork, bool) {
	work, isDue := t.Table.Ready(life, order)
	saved := t.saved
	if work.Order.Saved != "" {
		t.saved = work.Order.Saved
	}
	if saved != "" {
		work.Order.Saved = saved
	}
	return work, isDue
}

type boastingTable struct{ plantedTable }

// Compose doubles the CPU in the room that the real table reports.
func (t *boastingTable) Compose(waitMs int64) (*peerapi.ExchangeCall, bool) {
	call, isDue := t.Table.Compose(waitMs)
	if isDue {
		call.Room.CPU *= 2
	}
	return call, isDue
}

// lyingTable tells of runs that ended in some ways that they ended in another.
type lyingTable struct {
	plantedTable
	hows []string
	told string
}

// Held changes how runs ended in the answer to a hold, and passes it on to the real table.
func (t *lyingTable) Held(work localproxy.HoldWork, answer executorapi.Answer) {
	for place := range answer.Ends {
		if slices.Contains(t.hows, answer.Ends[place].How) {
			answer.Ends[place].How = t.told
		}
	}
	t.Table.Held(work, answer)
}

// oldLookTable answers a hold with the list that the hold before it brought.
type oldLookTable struct {
	plantedTable
	running []executorapi.RunningRow
}

// Held exchanges the list of runs in the answer for that of the answer before, and passes it on to the real table.
func (t *oldLookTable) Held(work localproxy.HoldWork, answer executorapi.Answer) {
	answer.Running, t.running = t.running, answer.Running
	t.Table.Held(work, answer)
}

// answers lets a proxy take an executor's answers in the order of its calls, whichever call they belong to.
func (p plant) answers(owner *proxy, request executorRequest, finish func(executorReply)) func(executorReply) {
	if p.name != plantAnswerByPlace || request.hold != nil {
		return finish
	}
	waiting := &pendingCall{finish: finish}
	owner.pending = append(owner.pending, waiting)
	return func(reply executorReply) {
		if reply.status != http.StatusOK {
			waiting.end(reply)
			return
		}
		for _, one := range owner.pending {
			if !one.isOver {
				one.end(reply)
				return
			}
		}
	}
}

// pendingCall is a call of a proxy that waits for its answer.
type pendingCall struct {
	finish func(executorReply)
	isOver bool
}

func (c *pendingCall) end(reply executorReply) {
	if !c.isOver {
		c.isOver = true
		c.finish(reply)
	}
}
