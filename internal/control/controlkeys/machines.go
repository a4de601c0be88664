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

// configurationMachine is the replication.StateMachine of the configuration's key.
type configurationMachine struct {
	*configleader.Leader
	rollouts *rollouts.Controller
}

// Open implements replication.StateMachine: it passes the leadership on as a configleader.Leadership. It runs on the goroutine of the key's
// engine.
func (c configurationMachine) Open(leadership *replication.Leadership, pairs []wire.Op) error {
	return c.Leader.Open(leadership, pairs)
}

func (c configurationMachine) commandFor(verb wire.Verb) command {
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

// countMachine is the replication.StateMachine of a partition of the tenant count.
type countMachine struct{ *countleader.Leader }

// Open implements replication.StateMachine: it passes the leadership on as a countleader.Leadership. It runs on the goroutine of the key's
// engine.
func (c countMachine) Open(leadership *replication.Leadership, pairs []wire.Op) error {
	return c.Leader.Open(leadership, pairs)
}

func (c countMachine) commandFor(verb wire.Verb) command {
	switch verb {
	case wire.VerbGrant:
		return c.Grant
	case wire.VerbTenants:
		return c.Tenants
	}
	return nil
}

// coordinationMachine is the replication.StateMachine of a partition with locks, numbers and cells.
type coordinationMachine struct{ *coordination.Part }

// Open implements replication.StateMachine: it passes the leadership on as a coordination.Leadership. It runs on the goroutine of the key's
// engine.
func (c coordinationMachine) Open(leadership *replication.Leadership, pairs []wire.Op) error {
	return c.Part.Open(leadership, pairs)
}

func (c coordinationMachine) commandFor(verb wire.Verb) command { return c.CommandFor(verb) }

// poolMachine maps verbs to the commands of a pool. The pool's replication.StateMachine is a poolhost.Host.
type poolMachine struct{ *scheduler.Pool }

func (p poolMachine) commandFor(verb wire.Verb) command {
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
	case wire.VerbTransfer:
		return p.Transfer
	case wire.VerbRollouts:
		return p.Rollouts
	case wire.VerbTenants:
		return p.Tenants
	}
	return nil
}

// lotsMachine maps verbs to the commands of a lots partition. The partition's replication.StateMachine is a poolhost.Host.
type lotsMachine struct{ *lots.Part }

func (l lotsMachine) commandFor(verb wire.Verb) command { return l.CommandFor(verb) }
