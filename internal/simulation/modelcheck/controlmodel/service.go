package controlmodel

import (
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/replication"
	"gannetline/internal/simulation/modelcheck"
)

// service is the use of the replicated key that a model simulates: a state machine, its callers, and the oracles for their answers.
type service interface {
	// key returns the name of the replicated key.
	key() string
	// engineOptions returns the options of the key's engines in addition to those that all models use.
	engineOptions() []replication.Option
	// newMachine returns the state machine for a starting process.
	newMachine(n *simNode) serviceMachine
	// playStep makes or starts the calls of a step.
	playStep(step modelcheck.Step)
	// makeFinalCalls schedules the last calls, to a system that has settled, and returns how long they may take.
	makeFinalCalls() time.Duration
	// checkHistory has the oracles check the history of the whole run.
	checkHistory()
}

// serviceMachine is the state machine of the key in one process.
type serviceMachine interface {
	// Open starts serving the key under a new leadership, from the committed pairs.
	Open(leadership keyLeadership, pairs []wire.Op) error
	// Close stops serving the key.
	Close()
	// IsOpen reports whether the process leads the key.
	IsOpen() bool
	// Tick handles timeouts. It is called every tickInterval.
	Tick()
	// execute serves a call. The process must lead the key.
	execute(call *wire.ClientCall, answer func(wire.ClientAnswer))
}

// keyLeadership is the leadership of the key as state machines use it.
type keyLeadership interface {
	Epoch() uint64
	Commit(ops []wire.Op, done func(error))
	HasLease() bool
	Voters() []string
	WallMs() int64
}

// newService returns the service of a model.
func newService(model string, sim *simCluster) service {
	if model == CoordinationName {
		return newCoordinationService(sim)
	}
	return &configurationService{sim}
}

// stateMachine wraps the state machine of a process. It tracks the leadership for the oracles and applies the injected fault.
type stateMachine struct{ node *simNode }

// Open records the new leadership, announces it, and opens the process's state machine.
func (m *stateMachine) Open(leadership *replication.Leadership, pairs []wire.Op) error {
	n := m.node
	n.leadership = leadership
	n.cluster.openLeaders++
	n.cluster.countCoverage("leader opened")
	n.cluster.tracef("%s leads epoch %d", n.name, leadership.Epoch())
	n.cluster.announceLeader(n, leadership.Epoch())
	return n.machine.Open(n.cluster.fault.wrapLeadership(n, leadership), pairs)
}

// Close ends the leadership and closes the process's state machine.
func (m *stateMachine) Close() {
	m.node.endLeadership()
	m.node.machine.Close()
}

// endLeadership forgets the machine's leadership, if it has one.
func (n *simNode) endLeadership() {
	if n.leadership != nil {
		n.leadership = nil
		n.cluster.openLeaders--
	}
}

// executeCall serves a call if the process leads the key. Otherwise it answers with the leader that the machine knows, as the manager of
// control keys does.
func (n *simNode) executeCall(call *wire.ClientCall, answer func(wire.ClientAnswer)) {
	response := func(value wire.ClientAnswer) {
		if change := n.cluster.fault.answer; change != nil {
			value = change(n, call, value)
		}
		if value.NotLeader && n.hint.node != nil && n.hint.node != n {
			value.Leader = n.hint.node.name
		}
		answer(value)
	}
	if !n.machine.IsOpen() {
		response(wire.ClientAnswer{NotLeader: true})
		return
	}
	n.machine.execute(call, response)
}
