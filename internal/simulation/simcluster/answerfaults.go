package simcluster

import (
	"fmt"
	"net/http"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/configleader"
	"gannetline/internal/control/coordination"
	"gannetline/internal/control/lots"
	"gannetline/internal/control/replication"
	"gannetline/internal/scheduling/tenantcount"
)

// AnswerFault is a fault that can be injected into the leaders of keys. With it their answers contain changes that are not committed.
type AnswerFault string

const (
	// FaultStateAtEndOfCommit makes pools compute the states of jobs when the commits before the call end.
	FaultStateAtEndOfCommit AnswerFault = "state-computed-at-end-of-commit"
	// FaultCountAtEndOfCommit makes pools compute the number of waiting jobs when the commits before the call end.
	FaultCountAtEndOfCommit AnswerFault = "count-computed-at-end-of-commit"
	// FaultIDRefusedEarly makes pools refuse an ID for good because of a job that is not committed.
	FaultIDRefusedEarly AnswerFault = "id-refused-for-uncommitted-job"
	// FaultItemGoneEarly makes lots answer that an item doesn't wait before the end of its lot is committed.
	FaultItemGoneEarly AnswerFault = "item-gone-before-commit"
	// FaultLotIDRefusedEarly makes lots refuse an ID for good because of a lot that is not committed.
	FaultLotIDRefusedEarly AnswerFault = "lot-id-refused-for-uncommitted-lot"
	// FaultEarlyGrants makes the leaders of the tenant count answer before their commits.
	FaultEarlyGrants AnswerFault = "grants-before-commit"
	// FaultEarlyCells makes the leaders of locks, numbers and cells answer before their commits.
	FaultEarlyCells AnswerFault = "cells-before-commit"
	// FaultEarlyVersions makes the leader of the configuration answer before its commits.
	FaultEarlyVersions AnswerFault = "versions-before-commit"
)

// AnswerFaults lists all of them.
var AnswerFaults = []AnswerFault{FaultStateAtEndOfCommit, FaultCountAtEndOfCommit, FaultIDRefusedEarly, FaultItemGoneEarly, FaultLotIDRefusedEarly, FaultEarlyGrants,
	FaultEarlyCells, FaultEarlyVersions}

// WithAnswerFault injects a fault. Tests use it to prove that a History finds this.
func WithAnswerFault(fault AnswerFault) Option {
	return func(s *Cluster) { s.answerFault = fault }
}

// leadershipFor returns the leadership that the state machine of a key gets.
func (f AnswerFault) leadershipFor(key string, leadership *replication.Leadership) machineLeadership {
	isFaulty := f == FaultEarlyGrants && tenantcount.IsKey(key) || f == FaultEarlyCells && coordination.IsKey(key) ||
		f == FaultEarlyVersions && key == configleader.Key
	if isFaulty {
		return earlyLeadership{leadership}
	}
	return leadership
}

// machineLeadership is what the state machines need of a leadership.
type machineLeadership interface {
	Epoch() uint64
	Commit(ops []wire.Op, done func(error))
	HasLease() bool
	Voters() []string
	WallMs() int64
}

// earlyLeadership reports changes as committed as soon as they are proposed.
type earlyLeadership struct{ *replication.Leadership }

// Commit proposes a change and calls done at once.
func (l earlyLeadership) Commit(ops []wire.Op, done func(error)) {
	l.Leadership.Commit(ops, func(error) {})
	done(nil)
}

// wrap returns the state machine of a key with the fault, if it is one of that machine.
func (f AnswerFault) wrap(key string, machine stateMachine) stateMachine {
	pool, isPool := machine.(poolMachine)
	switch {
	case isPool && f == FaultStateAtEndOfCommit:
		return lateAnswers{pool, wire.VerbState}
	case isPool && f == FaultCountAtEndOfCommit:
		return lateAnswers{pool, wire.VerbCount}
	case isPool && f == FaultIDRefusedEarly:
		return &earlyRefusals{stateMachine: machine, verb: wire.VerbSubmit, queues: map[string]string{}}
	case lots.IsKey(key) && f == FaultLotIDRefusedEarly:
		return &earlyRefusals{stateMachine: machine, verb: wire.VerbSubmitLot, queues: map[string]string{}}
	case lots.IsKey(key) && f == FaultItemGoneEarly:
		return &earlyEnds{stateMachine: machine, ended: map[string]bool{}}
	}
	return machine
}

// lateAnswers answers calls with a verb from the pool's tables as they are when the commits before the call end.
type lateAnswers struct {
	poolMachine
	verb wire.Verb
}

func (m lateAnswers) execute(call *wire.ClientCall, answer func(wire.ClientAnswer)) {
	if call.Verb != m.verb {
		m.poolMachine.execute(call, answer)
		return
	}
	// The answer to a count comes when the commits before the call end.
	m.Count(call, func(response wire.ClientAnswer) {
		if response.Status == http.StatusOK && m.IsOpen() {
			response = m.answerFromTables(call)
		}
		answer(response)
	})
}

func (m lateAnswers) answerFromTables(call *wire.ClientCall) wire.ClientAnswer {
	jobs, _ := m.Beliefs()
	waiting := 0
	for _, job := range jobs {
		if call.Verb == wire.VerbState && job.ID == call.ID {
			return wire.ClientAnswer{Status: http.StatusOK, Body: fmt.Appendf(nil, `{"executor-state":%q}`, job.State)}
		}
		if job.State == "queued" {
			waiting++
		}
	}
	if call.Verb == wire.VerbState {
		return wire.ClientAnswer{Status: http.StatusGone}
	}
	return wire.ClientAnswer{Status: http.StatusOK, Body: fmt.Appendf(nil, `{"waiting-count":%d}`, waiting)}
}

// earlyRefusals refuses an ID at once if it was submitted to another queue, or by another tenant, before.
type earlyRefusals struct {
	stateMachine
	verb   wire.Verb
	queues map[string]string
}

func (m *earlyRefusals) execute(call *wire.ClientCall, answer func(wire.ClientAnswer)) {
	queue := call.Route + "/" + call.Tenant
	if call.Verb == m.verb {
		if known := m.queues[call.ID]; known != "" && known != queue {
			answer(wire.ClientAnswer{Status: http.StatusConflict})
			return
		}
		m.queues[call.ID] = queue
	}
	m.stateMachine.execute(call, answer)
}

// earlyEnds answers at once that an item does not wait if the end of its lot was requested before.
type earlyEnds struct {
	stateMachine
	ended map[string]bool
}

func (m *earlyEnds) execute(call *wire.ClientCall, answer func(wire.ClientAnswer)) {
	if call.Verb == wire.VerbEndLot {
		m.ended[call.ID] = true
	}
	if call.Verb == wire.VerbLotItem && m.ended[call.ID] {
		answer(wire.ClientAnswer{Status: http.StatusNotFound})
		return
	}
	m.stateMachine.execute(call, answer)
}
