package controlmodel

import (
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/replication"
	"gannetline/internal/simulation/modelcheck"
)

// service is what lives on the simulated key, with the callers that use it and the oracles that judge what they saw.
type service interface {
	// key is that of the service.
	key() string
	// engineOptions are those of the key's engines beyond the usual.
	engineOptions() []replication.Option
	// machineOf makes the state machine of a process that starts.
	newMachine(n *simNode) serviceMachine
	// act plays a step of the callers.
	playStep(step modelcheck.Step)
	// finish makes the last calls, to a system that has settled, and tells how long they may take.
	makeFinalCalls() time.Duration
	// judge looks at the history of the whole run.
	checkHistory()
}

// keyMachine is the state machine of one process.
type serviceMachine interface {
	// Open takes the key over under a new leadership.
	Open(leadership keyLeadership, pairs []wire.Op) error
	// Close gives the key up.
	Close()
	// IsOpen tells whether the key is led here.
	IsOpen() bool
	// Tick does what falls due.
	Tick()
	// execute serves a call while the key is led here.
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

// serviceOf makes the service that a model is about.
func newService(model string, w *simCluster) service {
	if model == CoordinationName {
		return newCoordinationService(w)
	}
	return &configurationService{w}
}

// stateMachine passes a leadership on to the state machine of a process, with the oracles looking on.
type stateMachine struct{ node *simNode }

// Open takes the key over under a new leadership.
func (m *stateMachine) Open(leadership *replication.Leadership, pairs []wire.Op) error {
	n := m.node
	n.leadership = leadership
	n.cluster.openLeaders++
	n.cluster.countCoverage("leader opened")
	n.cluster.tracef("%s leads epoch %d", n.name, leadership.Epoch())
	n.cluster.announceLeader(n, leadership.Epoch())
	return n.machine.Open(n.cluster.fault.wrapLeadership(n, leadership), pairs)
}

// Close gives the key up.
func (m *stateMachine) Close() {
	m.node.endLeadership()
	m.node.machine.Close()
}

func (n *simNode) endLeadership() {
	if n.leadership != nil {
		n.leadership = nil
		n.cluster.openLeaders--
	}
}

// obey serves a call, as the manager of control keys does.
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
