package controlkeys

import (
	"net/http"
	"slices"
	"time"

	"gannetline/internal/cluster/configuration"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/configleader"
	"gannetline/internal/control/coordination"
	"gannetline/internal/control/countleader"
	"gannetline/internal/control/itemrunner"
	"gannetline/internal/control/lots"
	"gannetline/internal/control/poolhost"
	"gannetline/internal/control/replication"
	"gannetline/internal/control/replication/quorum"
	"gannetline/internal/platform/mailbox"
	"gannetline/internal/scheduling/scheduler"
	"gannetline/internal/scheduling/tenantcount"
)

// engineMailboxSize is how many calls may wait for an engine's goroutine.
const engineMailboxSize = 1024

// poolPause is the least time between two commits of a busy pool. Reports that come meanwhile share a placement, a change, a sync and
// a call to each follower; each start waits for it about twice, which is little against the shortest tasks.
const poolPause = 8 * time.Millisecond

// keyRunner is one key: its engine with its goroutine, and the state machine that lives on the key: a pool, which lives on a goroutine
// of its own, or the configuration, a part of the tenants' count or a part with locks, which live on the engine's.
type keyRunner struct {
	engineMailbox *mailbox.Mailbox
	// stateMailbox is that of the goroutine on which the state machine lives.
	stateMailbox *mailbox.Mailbox
	engine       *replication.Engine
	machine      stateMachine
	// pool is the state machine of a pool's key, and nil for all other keys.
	pool *scheduler.Pool
}

// stateMachine is what lives on a key, as callers see it. Its methods belong to the goroutine on which it lives.
type stateMachine interface {
	// IsOpen tells whether the key is led here.
	IsOpen() bool
	// commandFor gives the command of a verb, or nil if there is none.
	commandFor(verb wire.Verb) command
}

// startKey starts the runner of a key, if there is none yet.
func (m *Manager) startKey(key string, initialVoters []string) {
	if m.runners[key] != nil {
		return
	}
	engineMailbox := mailbox.New(engineMailboxSize)
	runner := &keyRunner{engineMailbox: engineMailbox, stateMailbox: engineMailbox}
	newEngine := func(machine replication.StateMachine, options ...replication.Option) *replication.Engine {
		transport := &peerTransport{manager: m, engineMailbox: engineMailbox, ctx: m.ctx}
		options = append(options, replication.WithInitialVoters(initialVoters), replication.WithLog(m.Log),
			replication.WithAnnounce(m.Node.AnnounceLeader), replication.WithMachineLosses(m.MachineLosses))
		return replication.NewEngine(key, m.disk, m.Name, m.Clock, transport, machine, m.disksInCluster, options...)
	}
	owner := mailbox.Owner{Every: tickInterval}
	var tickMachine func()
	switch {
	case key == configleader.Key:
		leader := configleader.New(m.Log, func(committed *wire.Configuration) { m.Configurations.Hold(committed) },
			configleader.WithStorageDisks(m.storageDisks, quorum.VotersFor(m.MachineLosses)), configleader.WithStandingKeys(m.standingKeys()),
			configleader.WithEvacuations(m.Node.AnnounceEvacuations))
		machine := configurationMachine{leader, m.rollouts}
		runner.machine, runner.engine = machine, newEngine(machine)
	case tenantcount.IsKey(key):
		machine := countMachine{countleader.New(key, m.Clock, m.Log, m.countPolicy)}
		runner.machine, runner.engine = machine, newEngine(machine, replication.WithPreferredLeader())
	case coordination.IsKey(key):
		machine := coordinationMachine{coordination.New(key, m.coordinationSurroundings())}
		runner.machine, runner.engine, tickMachine = machine, newEngine(machine, replication.WithPreferredLeader()), machine.Tick
	case lots.IsKey(key):
		host := m.startLots(key, runner)
		runner.engine = newEngine(host)
		owner.Settle = host.Flush
	default:
		host := m.startPool(key, runner)
		runner.engine = newEngine(host)
		owner.Settle = host.Flush
	}
	owner.Tick = runner.engine.Tick
	if tickMachine != nil {
		owner.Tick = func() { runner.engine.Tick(); tickMachine() }
	}
	m.runners[key] = runner
	go engineMailbox.Run(m.ctx, m.Clock, owner)
}

// startPool makes the pool of a key and runs it on a goroutine of its own.
func (m *Manager) startPool(key string, runner *keyRunner) *poolhost.Host {
	counter := &countCaller{manager: m, ctx: m.ctx}
	transfers := &transferSender{manager: m, ctx: m.ctx}
	options := append(slices.Clone(m.PoolOptions), scheduler.WithTenants(m.tenantPolicy), scheduler.WithCounter(counter),
		scheduler.WithEvacuations(m.Node.IsEvacuated), scheduler.WithRollouts(m.rolloutPolicy(key)), scheduler.WithTransfers(transfers))
	runner.pool = scheduler.New(key, m.Clock, m.Timing, m.Log, options...)
	runner.machine = poolMachine{runner.pool}
	host := poolhost.New(runner.pool, runner.engineMailbox)
	runner.stateMailbox = host.Mailbox()
	counter.mailbox, transfers.mailbox = runner.stateMailbox, runner.stateMailbox
	go runner.stateMailbox.Run(m.ctx, m.Clock, mailbox.Owner{Every: tickInterval, Tick: runner.pool.Tick, Settle: runner.pool.Flush, Pause: poolPause})
	return host
}

// startLots makes the part of a key with lots and runs it on a goroutine of its own.
func (m *Manager) startLots(key string, runner *keyRunner) *poolhost.Host {
	runItems := &lateRunner{}
	part := lots.New(key, lots.Surroundings{Clock: m.Clock, Log: m.Log, Runner: runItems, Route: m.routeOf, Executors: m.Lots.Executors,
		Retention: m.Lots.Retention})
	runner.machine = lotsMachine{part}
	host := poolhost.New(part, runner.engineMailbox)
	runner.stateMailbox = host.Mailbox()
	runItems.Runner = itemrunner.New(m.ctx, m.Clock, m.Lots.Client, runner.stateMailbox)
	go runner.stateMailbox.Run(m.ctx, m.Clock, mailbox.Owner{Every: tickInterval, Tick: part.Tick, Settle: part.Flush, Pause: poolPause})
	return host
}

// lateRunner is set once the mailbox to which its outcomes go is made, before anything is run.
type lateRunner struct{ *itemrunner.Runner }

// routeOf gives a route of the configuration in force, nil if there is none of that name.
func (m *Manager) routeOf(name string) *configuration.Route {
	if snapshot := m.Configurations.Current(); snapshot != nil {
		return snapshot.Matcher.ByName(name)
	}
	return nil
}

// command is what a state machine does for a client, an operator or a pool; it answers once.
type command func(*wire.ClientCall, func(wire.ClientAnswer))

// execute runs a command on the state machine. It must run on the state machine's goroutine.
func (r *keyRunner) execute(call *wire.ClientCall, answer func(wire.ClientAnswer)) {
	if !r.machine.IsOpen() {
		answer(wire.ClientAnswer{NotLeader: true})
		return
	}
	command := r.machine.commandFor(call.Verb)
	if command == nil {
		answer(wire.ClientAnswer{Status: http.StatusBadRequest, Reason: "unknown verb " + string(call.Verb)})
		return
	}
	command(call, answer)
}
