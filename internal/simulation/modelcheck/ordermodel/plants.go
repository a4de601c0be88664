package ordermodel

import (
	"net/http"

	"gannetline/internal/cluster/leaderclient"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/node/localproxy"
	"gannetline/internal/scheduling/scheduler"
	"gannetline/internal/simulation/modelcheck"
)

// injectedFault puts one fault into the system by wrapping what the model drives; the zero plant changes nothing.
type injectedFault struct {
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

var plants = []modelcheck.InjectedFault{
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
func (p injectedFault) timing(timing scheduler.Timing) scheduler.Timing {
	switch p.name {
	case plantForgottenEarly:
		timing.KeepEnded = forgottenAfter
	case plantRoomReserved:
		timing.ReservedCapacity.MaxReserved, timing.ReservedCapacity.AlwaysAllowed, timing.ReservedCapacity.FirstRunShare = 1, 0, 0
	}
	return timing
}

func (p injectedFault) ignoresIncarnation() bool { return p.name == plantWrongLife }

func (p injectedFault) outcome(outcome leaderclient.Outcome) leaderclient.Outcome {
	if p.name == plantRefusedUnclear {
		outcome.MayHaveRun = false
	}
	return outcome
}

func (p injectedFault) leadership(fresh *leadership) scheduler.Leadership {
	switch p.name {
	case plantCancelForgotten:
		return forgetfulLeadership{fresh}
	case plantAckEarly:
		return hastyLeadership{fresh}
	case plantLeaseIgnored:
		return boldLeadership{fresh}
	}
	return fresh
}

func (p injectedFault) scheduler(pool poolLeader) poolLeader {
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

func (p injectedFault) table(proxy *modelProxy, table *localproxy.Table) proxyTable {
	faulty := plantedTable{Table: table, proxy: proxy}
	switch p.name {
	case plantNewRunID:
		return &renumberingTable{faulty, map[string]int64{}}
	case plantHoldUngranted:
		return &ungrantedTable{faulty}
	case plantGrantOnArrival:
		return &lateGrantTable{faulty}
	case plantFenceIgnored:
		return &unfencedTable{plantedTable: faulty}
	case plantStopUnanswered:
		return &stoppingTable{faulty}
	case plantUnsureForgotten:
		return &forgetfulTable{faulty}
	case plantBeatEndsLife:
		return &trustingTable{faulty}
	case plantOtherCheckpoint:
		return &mixingTable{plantedTable: faulty}
	case plantRoomOverstated:
		return &boastingTable{faulty}
	case plantFailureDone:
		return &lyingTable{faulty, []wire.RunOutcome{outcomeFailed}, outcomeDone}
	case plantFailureStopped:
		return &lyingTable{faulty, []wire.RunOutcome{outcomeFailed}, outcomeStopped}
	case plantStopCounted:
		return &lyingTable{faulty, []wire.RunOutcome{outcomeStopped, outcomeLapsed, outcomeBroken}, outcomeFailed}
	case plantEndSkipped:
		return &skippingTable{faulty}
	case plantAvoided:
		return &grudgingTable{plantedTable: faulty}
	case plantLookForgotten:
		return &oldListTable{plantedTable: faulty}
	}
	return table
}

// answers lets a proxy take an executor's answers in the order of its calls, whichever call they belong to.
func (p injectedFault) answers(proxy *modelProxy, request executorRequest, finish func(executorReply)) func(executorReply) {
	if p.name != plantAnswerByPlace || request.hold != nil {
		return finish
	}
	waiting := &pendingCall{finish: finish}
	proxy.pending = append(proxy.pending, waiting)
	return func(reply executorReply) {
		if reply.status != http.StatusOK {
			waiting.end(reply)
			return
		}
		for _, call := range proxy.pending {
			if !call.isOver {
				call.end(reply)
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
