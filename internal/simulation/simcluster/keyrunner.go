package simcluster

import (
	"strings"
	"time"

	"gannetline/internal/cluster/configuration"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/configleader"
	"gannetline/internal/control/coordination"
	"gannetline/internal/control/countleader"
	"gannetline/internal/control/lots"
	"gannetline/internal/control/poolhost"
	"gannetline/internal/control/replication"
	"gannetline/internal/platform/mailbox"
	"gannetline/internal/scheduling/placement"
	"gannetline/internal/scheduling/scheduler"
	"gannetline/internal/scheduling/tenantcount"
)

// keyMailboxSize is how many messages may wait for an engine.
const keyMailboxSize = 4096

// keyRunner is the replication engine and the state machine of a key in one process.
type keyRunner struct {
	engine        *replication.Engine
	engineMailbox *mailbox.Mailbox
	machine       stateMachine
	// host is nil if the state machine runs on the goroutine of the engine.
	host *poolhost.Host
	// pool is the state machine of a pool's key, nil for all other keys.
	pool *scheduler.Pool
}

// stateMachine executes the calls for a key.
type stateMachine interface {
	// IsOpen reports whether this process leads the key.
	IsOpen() bool
	// execute handles a call. It may be called only while IsOpen returns true.
	execute(call *wire.ClientCall, answer func(wire.ClientAnswer))
	tick()
	flush()
}

// newKeyRunner creates the runner of a key in the current incarnation of the node.
func (n *Node) newKeyRunner(key string) *keyRunner {
	runner := &keyRunner{engineMailbox: mailbox.New(keyMailboxSize)}
	machine := n.newStateMachine(key, runner)
	runner.machine = n.cluster.answerFault.wrap(key, runner.machine)
	runner.engine = replication.NewEngine(key, n.disk.name, n.Name, n.cluster.Events.Clock, &transport{n, n.incarnation}, machine,
		n.cluster.members, replication.WithInitialVoters(n.cluster.initialVoters()), replication.WithLog(n.cluster.log))
	return runner
}

// newStateMachine creates the state machine of a key and returns it in the form in which the engine replicates it.
func (n *Node) newStateMachine(key string, runner *keyRunner) replication.StateMachine {
	clock, log, fault := n.cluster.Events.Clock, n.cluster.log, n.cluster.answerFault
	switch {
	case key == configleader.Key:
		leader := configleader.New(log, func(*wire.Configuration) {})
		runner.machine = configurationMachine{leader}
		return openedBy(leader.Close, func(leadership *replication.Leadership, pairs []wire.Op) error {
			return leader.Open(fault.leadershipFor(key, leadership), pairs)
		})
	case tenantcount.IsKey(key):
		leader := countleader.New(key, clock, log, countPolicy)
		runner.machine = countMachine{leader}
		return openedBy(leader.Close, func(leadership *replication.Leadership, pairs []wire.Op) error {
			return leader.Open(fault.leadershipFor(key, leadership), pairs)
		})
	case coordination.IsKey(key):
		part := coordination.New(key, coordination.Dependencies{Clock: clock, Log: log, HistoryTime: eventHistory, ReleaseTime: time.Second})
		runner.machine = coordinationMachine{part}
		return openedBy(part.Close, func(leadership *replication.Leadership, pairs []wire.Op) error {
			return part.Open(fault.leadershipFor(key, leadership), pairs)
		})
	case lots.IsKey(key):
		part := lots.New(key, lots.Dependencies{Clock: clock, Log: log, Runner: &itemRunner{n, n.incarnation}, Configuration: batchConfiguration,
			Executors: batchExecutors, Retention: time.Minute})
		runner.machine = lotsMachine{part}
		runner.host = poolhost.New(part, runner.engineMailbox)
		return runner.host
	}
	runner.pool = scheduler.New(key, clock, n.cluster.timing, log, n.cluster.poolOptions...)
	runner.machine = poolMachine{runner.pool}
	runner.host = poolhost.New(runner.pool, runner.engineMailbox)
	return runner.host
}

// poolOf returns the pool of a key, nil if the key is not that of a pool.
func (n *Node) poolOf(key string) *scheduler.Pool {
	if runner := n.runners[key]; runner != nil {
		return runner.pool
	}
	return nil
}

func (r *keyRunner) tick() {
	r.engine.Tick()
	r.machine.tick()
}

// drain runs the messages that wait for the engine and the state machine. It reports whether there were any.
func (r *keyRunner) drain() (wasBusy bool) {
	r.machine.flush()
	inboxes := []*mailbox.Mailbox{r.engineMailbox}
	if r.host != nil {
		inboxes = append(inboxes, r.host.Mailbox())
	}
	for _, inbox := range inboxes {
		for inbox.Step() {
			wasBusy = true
		}
		if r.host != nil {
			r.host.Flush()
		}
	}
	return wasBusy
}

// openedMachine is a replication.StateMachine of two functions.
type openedMachine struct {
	open  func(*replication.Leadership, []wire.Op) error
	close func()
}

func openedBy(closeMachine func(), open func(*replication.Leadership, []wire.Op) error) *openedMachine {
	return &openedMachine{open, closeMachine}
}

// Open implements replication.StateMachine.
func (m *openedMachine) Open(leadership *replication.Leadership, pairs []wire.Op) error {
	return m.open(leadership, pairs)
}

// Close implements replication.StateMachine.
func (m *openedMachine) Close() { m.close() }

type poolMachine struct{ *scheduler.Pool }

func (m poolMachine) execute(call *wire.ClientCall, answer func(wire.ClientAnswer)) {
	handlers := map[wire.Verb]func(*wire.ClientCall, func(wire.ClientAnswer)){
		wire.VerbSubmit: m.Submit, wire.VerbState: m.State, wire.VerbCancel: m.Cancel, wire.VerbCount: m.Count,
		wire.VerbTransfer: m.Transfer, wire.VerbTransferAgain: m.Transfer, wire.VerbRollouts: m.Rollouts}
	handlers[call.Verb](call, answer)
}

func (m poolMachine) tick()  { m.Tick() }
func (m poolMachine) flush() { m.Flush() }

type lotsMachine struct{ *lots.Part }

func (m lotsMachine) execute(call *wire.ClientCall, answer func(wire.ClientAnswer)) {
	m.CommandFor(call.Verb)(call, answer)
}

func (m lotsMachine) tick()  { m.Tick() }
func (m lotsMachine) flush() { m.Flush() }

type coordinationMachine struct{ *coordination.Part }

func (m coordinationMachine) execute(call *wire.ClientCall, answer func(wire.ClientAnswer)) {
	m.CommandFor(call.Verb)(call, answer)
}

func (m coordinationMachine) tick() { m.Tick() }
func (coordinationMachine) flush()  {}

type countMachine struct{ *countleader.Leader }

func (m countMachine) execute(call *wire.ClientCall, answer func(wire.ClientAnswer)) {
	if call.Verb == wire.VerbGrant {
		m.Grant(call, answer)
		return
	}
	m.Tenants(call, answer)
}

func (countMachine) tick()  {}
func (countMachine) flush() {}

type configurationMachine struct{ *configleader.Leader }

func (m configurationMachine) execute(call *wire.ClientCall, answer func(wire.ClientAnswer)) {
	switch call.Verb {
	case wire.VerbReplace:
		m.Replace(call, answer)
	case wire.VerbEvacuate:
		m.Evacuate(call, answer)
	case wire.VerbEvacuations:
		m.RetrieveEvacuations(answer)
	default:
		m.RetrieveVersion(answer)
	}
}

func (configurationMachine) tick()  {}
func (configurationMachine) flush() {}

// eventHistory is how long puts are kept for watchers.
const eventHistory = 20 * time.Second

// countPolicy is the policy of the tenant count: every tenant has the limit CountedLimit.
func countPolicy() countleader.Policy {
	return countleader.Policy{Version: 1, Limits: func(string) (placement.Resources, bool) {
		return placement.Resources{CPU: CountedLimit, Memory: placement.Unlimited, GPU: placement.Unlimited}, true
	}}
}

const (
	// CountedLimit is each tenant's limit in the tenant count, in cpu-units.
	CountedLimit = 1_000_000
	// BatchRoute is the route of all lots.
	BatchRoute = "batch"
	// itemTime is how long a run of an item takes.
	itemTime = 60 * time.Millisecond
)

func batchConfiguration() *configuration.Matcher {
	return configuration.NewMatcher(&configuration.Configuration{Version: 1, Routes: []configuration.Route{{Name: BatchRoute, Host: "h", PathPrefix: "/b/",
		Type: configuration.RouteBatch, Service: "s", MaxAttempts: 2, MaxQueueS: 40}}})
}

func batchExecutors(service string) []wire.ExecutorRecord {
	return []wire.ExecutorRecord{{ID: "b-1", Service: service, Address: "b:1", Slots: 4}}
}

// itemRunner completes each item of a lot after itemTime. It belongs to one incarnation of a node.
type itemRunner struct {
	node        *Node
	incarnation int
}

// Start implements lots.Runner.
func (r *itemRunner) Start(run lots.Run, done func(lots.Outcome, lots.Progress)) {
	r.node.cluster.Events.After(itemTime, func() {
		r.node.runIfAlive(r.incarnation, func() {
			done(lots.OutcomeCompleted, lots.Progress{Texts: []string{strings.ToUpper(run.ItemID)}})
		})
	})
}
