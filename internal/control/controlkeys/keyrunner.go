package controlkeys

import (
	"net/http"
	"slices"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/configleader"
	"gannetline/internal/control/poolhost"
	"gannetline/internal/control/replication"
	"gannetline/internal/platform/mailbox"
	"gannetline/internal/scheduling/scheduler"
)

// engineMailboxSize is how many calls may wait for an engine's goroutine.
const engineMailboxSize = 1024

// poolPause is the least time between two commits of a busy pool. Reports that come meanwhile share a placement, a change, a sync and
// a call to each follower; each start waits for it about twice, which is little against the shortest tasks.
const poolPause = 8 * time.Millisecond

// keyRunner is one key: its engine with its goroutine, and the state machine that lives on the key, either a pool or the
// configuration. The configuration lives on the engine's goroutine, a pool on one of its own.
type keyRunner struct {
	engineMailbox *mailbox.Mailbox
	// stateMailbox is that of the goroutine on which the state machine lives.
	stateMailbox  *mailbox.Mailbox
	engine        *replication.Engine
	pool          *scheduler.Pool
	configuration *configleader.Leader
}

// startKey starts the runner of a key, if there is none yet.
func (m *Manager) startKey(key string, initialVoters []string) {
	if m.runners[key] != nil {
		return
	}
	engineMailbox := mailbox.New(engineMailboxSize)
	runner := &keyRunner{engineMailbox: engineMailbox, stateMailbox: engineMailbox}
	newEngine := func(machine replication.StateMachine) *replication.Engine {
		transport := &peerTransport{manager: m, engineMailbox: engineMailbox, ctx: m.ctx}
		return replication.NewEngine(key, m.disk, m.Name, m.Clock, transport, machine, m.disksInCluster,
			replication.WithInitialVoters(initialVoters), replication.WithLog(m.Log), replication.WithAnnounce(m.Node.Announce),
			replication.WithMachineLosses(m.MachineLosses))
	}
	owner := mailbox.Owner{Every: tickInterval}
	if key == configleader.Key {
		runner.configuration = configleader.New(m.Log, func(committed *wire.Configuration) { m.Configurations.Hold(committed) })
		runner.engine = newEngine(configurationMachine{runner.configuration})
	} else {
		options := append(slices.Clone(m.PoolOptions), scheduler.WithTenants(m.tenantTerms))
		runner.pool = scheduler.New(key, m.Clock, m.Timing, m.Log, options...)
		host := poolhost.New(runner.pool, engineMailbox)
		runner.stateMailbox = host.Mailbox()
		runner.engine = newEngine(host)
		owner.Settle = host.Flush
		go runner.stateMailbox.Run(m.ctx, m.Clock, mailbox.Owner{Every: tickInterval, Tick: runner.pool.Tick, Settle: runner.pool.Flush, Pause: poolPause})
	}
	owner.Tick = runner.engine.Tick
	m.runners[key] = runner
	go engineMailbox.Run(m.ctx, m.Clock, owner)
}

// configurationMachine is the replication.StateMachine of the configuration.
type configurationMachine struct{ *configleader.Leader }

// Open passes a leadership on as the narrower configleader.Leadership; it runs on the goroutine of the key's engine.
func (c configurationMachine) Open(leadership *replication.Leadership, pairs []wire.Op) error {
	return c.Leader.Open(leadership, pairs)
}

// command is what a state machine does for a client or an operator; it answers once.
type command func(*wire.ClientCall, func(wire.ClientAnswer))

// execute runs a command on the state machine. It must run on the state machine's goroutine.
func (r *keyRunner) execute(call *wire.ClientCall, answer func(wire.ClientAnswer)) {
	if !r.isOpen() {
		answer(wire.ClientAnswer{NotLeader: true})
		return
	}
	command := r.commandFor(call.Verb)
	if command == nil {
		answer(wire.ClientAnswer{Status: http.StatusBadRequest, Reason: "unknown verb " + string(call.Verb)})
		return
	}
	command(call, answer)
}

// isOpen tells whether the key is led here. It must run on the state machine's goroutine.
func (r *keyRunner) isOpen() bool {
	if r.pool != nil {
		return r.pool.IsOpen()
	}
	return r.configuration.IsOpen()
}

// commandFor gives the command of a verb, or nil if the state machine of this key has no such command.
func (r *keyRunner) commandFor(verb wire.Verb) command {
	if r.pool == nil {
		switch verb {
		case wire.VerbReplace:
			return r.configuration.Replace
		case wire.VerbRetrieve:
			return func(_ *wire.ClientCall, answer func(wire.ClientAnswer)) { r.configuration.Retrieve(answer) }
		}
		return nil
	}
	switch verb {
	case wire.VerbSubmit:
		return r.pool.Submit
	case wire.VerbState:
		return r.pool.State
	case wire.VerbCount:
		return r.pool.Count
	case wire.VerbCancel:
		return r.pool.Cancel
	case wire.VerbRenounce:
		return r.pool.Renounce
	}
	return nil
}
