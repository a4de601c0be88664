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

// minCommitInterval is the minimum time between two commits of a busy pool or lots partition. Calls that arrive in between share one
// placement, one change, one sync and one call to each follower. Each start of a task waits for this interval about twice, which is short
// compared with the shortest tasks.
const minCommitInterval = 8 * time.Millisecond

// keyRunner runs one key: the replication engine on its goroutine, and the state machine that the engine replicates. Pools and lots run
// on a goroutine of their own. The configuration, the tenant count and the coordination partitions run on the engine's goroutine.
type keyRunner struct {
	engineMailbox *mailbox.Mailbox
	// stateMailbox belongs to the goroutine that runs the state machine. It is engineMailbox if that is the engine's goroutine.
	stateMailbox *mailbox.Mailbox
	engine       *replication.Engine
	stateMachine stateMachine
	// pool is the state machine of a pool's key, nil for all other keys.
	pool *scheduler.Pool
}

// stateMachine executes the commands of a key. Its methods must run on the goroutine of keyRunner.stateMailbox.
type stateMachine interface {
	// IsOpen reports whether this process leads the key.
	IsOpen() bool
	// commandFor returns the command for a verb, nil if the verb is unknown.
	commandFor(verb wire.Verb) command
}

// startKey starts the runner of a key, unless it runs already. It must run on the manager's goroutine.
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
		return replication.NewEngine(key, m.disk, m.Name, m.Clock, transport, machine, m.listVoterCandidates, options...)
	}
	owner := mailbox.Owner{Every: tickInterval}
	var tickStateMachine func()
	switch {
	case key == configleader.Key:
		leader := configleader.New(m.Log, func(committed *wire.Configuration) { m.Configurations.AdoptIfNewer(committed) },
			configleader.WithStorageDisks(m.listStorageDisks, quorum.VotersFor(m.MachineLosses)), configleader.WithFixedKeys(m.listFixedKeys()),
			configleader.WithEvacuations(m.Node.AnnounceEvacuations))
		machine := configurationStateMachine{leader, m.rollouts}
		runner.stateMachine, runner.engine = machine, newEngine(machine)
	case tenantcount.IsKey(key):
		machine := countStateMachine{countleader.New(key, m.Clock, m.Log, m.currentCountPolicy)}
		runner.stateMachine, runner.engine = machine, newEngine(machine, replication.WithPreferredLeader())
	case coordination.IsKey(key):
		machine := coordinationStateMachine{coordination.New(key, m.newCoordinationDependencies())}
		runner.stateMachine, runner.engine, tickStateMachine = machine, newEngine(machine, replication.WithPreferredLeader()), machine.Tick
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
	if tickStateMachine != nil {
		owner.Tick = func() { runner.engine.Tick(); tickStateMachine() }
	}
	m.runners[key] = runner
	if m.isRetiring {
		engineMailbox.Post(runner.engine.Retire)
	}
	go engineMailbox.Run(m.ctx, m.Clock, owner)
}

// startPool creates the pool of a key and runs it on a goroutine of its own.
func (m *Manager) startPool(key string, runner *keyRunner) *poolhost.Host {
	counter := &countCaller{manager: m, ctx: m.ctx}
	transfers := &transferSender{manager: m, ctx: m.ctx}
	options := append(slices.Clone(m.PoolOptions), scheduler.WithTenants(m.currentTenantPolicy), scheduler.WithCounter(counter),
		scheduler.WithEvacuations(m.Node.IsEvacuated), scheduler.WithRollouts(m.newRolloutPolicySource(key)),
		scheduler.WithQueueRouting(m.newQueueRoutingSource(key)), scheduler.WithTransfers(transfers))
	runner.pool = scheduler.New(key, m.Clock, m.Timing, m.Log, options...)
	runner.stateMachine = poolStateMachine{runner.pool}
	host := poolhost.New(runner.pool, runner.engineMailbox)
	runner.stateMailbox = host.Mailbox()
	counter.mailbox, transfers.mailbox = runner.stateMailbox, runner.stateMailbox
	go runner.stateMailbox.Run(m.ctx, m.Clock, mailbox.Owner{Every: tickInterval, Tick: runner.pool.Tick, Settle: runner.pool.Flush, Pause: minCommitInterval})
	return host
}

// startLots creates the lots partition of a key and runs it on a goroutine of its own.
func (m *Manager) startLots(key string, runner *keyRunner) *poolhost.Host {
	itemRunner := &lateBoundRunner{}
	part := lots.New(key, lots.Dependencies{Clock: m.Clock, Log: m.Log, Runner: itemRunner, Configuration: m.currentMatcher, Executors: m.Lots.Executors,
		Retention: m.Lots.Retention})
	runner.stateMachine = lotsStateMachine{part}
	host := poolhost.New(part, runner.engineMailbox)
	runner.stateMailbox = host.Mailbox()
	itemRunner.Runner = itemrunner.New(m.ctx, m.Clock, m.Lots.Client, runner.stateMailbox)
	go runner.stateMailbox.Run(m.ctx, m.Clock, mailbox.Owner{Every: tickInterval, Tick: part.Tick, Settle: part.Flush, Pause: minCommitInterval})
	return host
}

// lateBoundRunner breaks a cycle: a lots partition needs a runner when it is created, and the runner needs the mailbox of the partition's
// host. startLots sets Runner once the mailbox exists, before the partition runs any item.
type lateBoundRunner struct{ *itemrunner.Runner }

// currentMatcher returns the configuration in force, nil before the first.
func (m *Manager) currentMatcher() *configuration.Matcher {
	if snapshot := m.Configurations.Current(); snapshot != nil {
		return snapshot.Matcher
	}
	return nil
}

// command handles a call of a client, an operator or a pool. It calls the answer function exactly once, at once or later.
type command func(*wire.ClientCall, func(wire.ClientAnswer))

// execute runs the call's command. It must run on the state machine's goroutine.
func (r *keyRunner) execute(call *wire.ClientCall, answer func(wire.ClientAnswer)) {
	if !r.stateMachine.IsOpen() {
		answer(wire.ClientAnswer{NotLeader: true})
		return
	}
	command := r.stateMachine.commandFor(call.Verb)
	if command == nil {
		answer(wire.ClientAnswer{Status: http.StatusBadRequest, Reason: "unknown verb " + string(call.Verb)})
		return
	}
	command(call, answer)
}
