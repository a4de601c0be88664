package controlkeys

import (
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/configleader"
	"gannetline/internal/control/coordination"
	"gannetline/internal/control/countleader"
	"gannetline/internal/control/lots"
	"gannetline/internal/control/replication"
	"gannetline/internal/control/rollouts"
	"gannetline/internal/scheduling/scheduler"
)

// configurationStateMachine is the replication.StateMachine of the configuration's key.
type configurationStateMachine struct {
	*configleader.Leader
	rollouts *rollouts.Controller
}

// Open implements replication.StateMachine: it passes the leadership on as a configleader.Leadership. It runs on the goroutine of the key's
// engine.
func (c configurationStateMachine) Open(leadership *replication.Leadership, pairs []wire.Op) error {
	return c.Leader.Open(leadership, pairs)
}

func (c configurationStateMachine) commandFor(verb wire.Verb) command {
	switch verb {
	case wire.VerbReplace:
		return c.Replace
	case wire.VerbRetrieve:
		return func(_ *wire.ClientCall, answer func(wire.ClientAnswer)) { c.Retrieve(answer) }
	case wire.VerbEvacuate:
		return c.Evacuate
	case wire.VerbEndEvacuation:
		return c.EndEvacuation
	case wire.VerbEvacuations:
		return func(_ *wire.ClientCall, answer func(wire.ClientAnswer)) { c.RetrieveEvacuations(answer) }
	case wire.VerbRollouts:
		return func(_ *wire.ClientCall, answer func(wire.ClientAnswer)) { answer(c.rollouts.StatusAnswer()) }
	case wire.VerbVersion:
		return func(_ *wire.ClientCall, answer func(wire.ClientAnswer)) { c.RetrieveVersion(answer) }
	}
	return nil
}

// countStateMachine is the replication.StateMachine of a partition of the tenant count.
type countStateMachine struct{ *countleader.Leader }

// Open implements replication.StateMachine: it passes the leadership on as a countleader.Leadership. It runs on the goroutine of the key's
// engine.
func (c countStateMachine) Open(leadership *replication.Leadership, pairs []wire.Op) error {
	return c.Leader.Open(leadership, pairs)
}

func (c countStateMachine) commandFor(verb wire.Verb) command {
	switch verb {
	case wire.VerbGrant:
		return c.Grant
	case wire.VerbTenants:
		return c.Tenants
	}
	return nil
}

// coordinationStateMachine is the replication.StateMachine of a partition with locks, numbers and cells.
type coordinationStateMachine struct{ *coordination.Part }

// Open implements replication.StateMachine: it passes the leadership on as a coordination.Leadership. It runs on the goroutine of the key's
// engine.
func (c coordinationStateMachine) Open(leadership *replication.Leadership, pairs []wire.Op) error {
	return c.Part.Open(leadership, pairs)
}

func (c coordinationStateMachine) commandFor(verb wire.Verb) command { return c.CommandFor(verb) }

// poolStateMachine maps verbs to the commands of a pool. The pool's replication.StateMachine is a poolhost.Host.
type poolStateMachine struct{ *scheduler.Pool }

func (p poolStateMachine) commandFor(verb wire.Verb) command {
	switch verb {
	case wire.VerbSubmit:
		return p.Submit
	case wire.VerbState:
		return p.State
	case wire.VerbCount:
		return p.Count
	case wire.VerbCancel:
		return p.Cancel
	case wire.VerbRenounce:
		return p.Renounce
	case wire.VerbTransfer, wire.VerbTransferAgain:
		return p.Transfer
	case wire.VerbRollouts:
		return p.Rollouts
	case wire.VerbTenants:
		return p.Tenants
	}
	return nil
}

// lotsStateMachine maps verbs to the commands of a lots partition. The partition's replication.StateMachine is a poolhost.Host.
type lotsStateMachine struct{ *lots.Part }

func (l lotsStateMachine) commandFor(verb wire.Verb) command { return l.CommandFor(verb) }
