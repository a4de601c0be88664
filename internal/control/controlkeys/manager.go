// Package controlkeys runs a replication engine for each key that this steward may lead. The keys are the configuration, a pool for each
// service, the partitions of the tenant count, the coordination partitions (locks, numbers and cells of applications) and the lots.
//
// A Manager runs one keyRunner for each key that its process keeps. In the process of a storage machine these are the lots. In any other
// steward they are the configuration's key and the other keys for which the configuration lists initial voters. The manager serves the calls
// of other processes to these keys and transfers their leadership when the process leaves the cluster.
package controlkeys

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"gannetline/internal/cluster/configcache"
	"gannetline/internal/cluster/leaderclient"
	"gannetline/internal/cluster/membership"
	"gannetline/internal/cluster/peerapi"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/configleader"
	"gannetline/internal/control/coordination"
	"gannetline/internal/control/lots"
	"gannetline/internal/control/replication"
	"gannetline/internal/control/rollouts"
	"gannetline/internal/control/storage"
	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/logging"
	"gannetline/internal/platform/mailbox"
	"gannetline/internal/scheduling/scheduler"
)

const (
	// tickInterval is the interval between the ticks of engines, pools and partitions.
	tickInterval = 50 * time.Millisecond
	// reconcileInterval is the interval at which the manager starts the runners that are missing.
	reconcileInterval = 200 * time.Millisecond
	// managerMailboxSize is how many calls may wait for the manager's goroutine.
	managerMailboxSize = 256
)

// Config holds the dependencies and settings of a Manager. Store and Replicas are nil on a machine without a disk. A steward without a disk
// leads no key and is no voter.
type Config struct {
	Clock clock.Clock
	Log   logging.Logger
	Store *storage.Store
	// IsDiskTemporary is set if the disk loses its contents with the machine's power.
	IsDiskTemporary bool
	// MachineLosses is the number of machines that may be lost at once without loss of data or of a quorum.
	MachineLosses  int
	Name           string
	Caller         *peerapi.Caller
	Node           *membership.Node
	Configurations *configcache.Cache
	Timing         scheduler.Timing
	Replicas       *replication.Replicas
	PoolOptions    []scheduler.Option
	// LeaderClient sends calls to leaders in other processes, such as the calls of pools to the tenant count. If it is nil, AskLeader tries
	// only this process.
	LeaderClient *leaderclient.Client
	// Lots holds the dependencies of lots, nil in a process that keeps no lots. A process keeps either the lots or all other keys.
	Lots *LotDependencies
	// Coordination holds the time limits of the coordination partitions, nil in a process that keeps none.
	Coordination *CoordinationTimes
}

// CoordinationTimes are the time limits of the partitions with locks, numbers and cells.
type CoordinationTimes struct {
	// History is how long a watcher may use a revision after it has received the answer that named it. Release is how long a lock may still
	// be refused to other holders after its hold time has ended.
	History, Release time.Duration
}

// LotDependencies holds the dependencies of lots partitions, apart from their keys.
type LotDependencies struct {
	// Executors returns the executors of a service.
	Executors func(service string) []wire.ExecutorRecord
	// Client calls executors.
	Client *http.Client
	// Retention is how long a lot is kept after it was accepted.
	Retention time.Duration
}

// Manager runs the keys that this process keeps. Its maps and flags belong to the goroutine of Run. The exported methods may be called from
// any goroutine.
type Manager struct {
	Config
	mailbox *mailbox.Mailbox
	// disk is the name of the disk. It is empty on a machine without a disk, where the manager runs no keys.
	disk string

	// ctx is the context of Run. The runners end with it.
	ctx     context.Context
	runners map[string]*keyRunner
	// initialVoters are the initial voters of the configuration's key. They are set only on the first start of the whole cluster.
	initialVoters []string
	// hasConfigurationReplica is set once the disk holds a replica of the configuration's key.
	hasConfigurationReplica bool
	isLeaving               bool
	// isRetiring is set while this storage machine is being emptied.
	isRetiring bool

	// rollouts drives the rollouts of the configuration while this process leads the configuration's key.
	rollouts *rollouts.Controller

	// tenantPolicy caches the tenant policy of the newest configuration.
	tenantPolicy atomic.Pointer[cachedTenantPolicy]
}

// New creates a manager without runners. Run starts them.
func New(config Config) *Manager {
	manager := &Manager{Config: config, mailbox: mailbox.New(managerMailboxSize), runners: map[string]*keyRunner{}}
	if config.Store != nil {
		manager.disk = config.Store.Disk()
	}
	manager.rollouts = manager.newRolloutController()
	return manager
}

// hasDisk reports whether this steward has a disk, persistent or temporary. Without a disk it leads no key and is no voter.
func (m *Manager) hasDisk() bool { return m.disk != "" }

// Run starts the runners that reconcile finds missing, until ctx is done. The runners end with ctx, too.
func (m *Manager) Run(ctx context.Context) error {
	if !m.hasDisk() {
		<-ctx.Done()
		return nil
	}
	m.ctx = ctx
	if m.Lots != nil {
		m.resumeRetiring()
	}
	m.mailbox.Run(ctx, m.Clock, mailbox.Owner{Every: reconcileInterval, Tick: m.reconcile})
	return nil
}

// RunRollouts drives the rollouts of the configuration until ctx is done. In a process that keeps lots or has no disk, it only waits for
// ctx.
func (m *Manager) RunRollouts(ctx context.Context) error {
	if !m.hasDisk() || m.Lots != nil {
		<-ctx.Done()
		return nil
	}
	return m.rollouts.Run(ctx)
}

// Bootstrap sets the initial voters of the configuration's key. It is called once the seeds have named their disks.
func (m *Manager) Bootstrap(voters []string) {
	m.mailbox.Post(func() {
		m.initialVoters = voters
		m.reconcile()
	})
}

// reconcile starts a runner for each key that should run but does not. Runners end only with the process, because the pool of a service
// without a route still answers calls about its jobs.
func (m *Manager) reconcile() {
	if m.isLeaving || !m.hasDisk() {
		return
	}
	m.checkConfigurationReplica()
	// A temporary disk that lost its contents has lost the promises that it gave, and must not vote again. So a steward with a temporary
	// disk starts runners only if the disk holds a replica of the configuration's key or is one of the initial voters.
	if m.IsDiskTemporary && !m.hasConfigurationReplica && !slices.Contains(m.initialVoters, m.disk) {
		return
	}
	if m.hasConfigurationReplica || len(m.initialVoters) > 0 {
		m.startKey(configleader.Key, m.initialVoters)
	}
	snapshot := m.Configurations.Current()
	if snapshot == nil {
		return
	}
	for _, initial := range snapshot.Committed.InitialVoters {
		key := initial.Key
		if key == "" {
			key = wire.PoolKey(initial.Service)
		}
		if m.isKeptHere(key) {
			m.startKey(key, initial.Voters)
		}
	}
}

// isKeptHere reports whether this process keeps keys of the same kind as this key. A process keeps either the lots or all other keys, but
// coordination partitions only if Config.Coordination is set.
func (m *Manager) isKeptHere(key string) bool {
	if coordination.IsKey(key) && m.Coordination == nil {
		return false
	}
	return lots.IsKey(key) == (m.Lots != nil)
}

// checkConfigurationReplica sets hasConfigurationReplica, asynchronously, once this disk holds a replica of the configuration's key.
func (m *Manager) checkConfigurationReplica() {
	if m.hasConfigurationReplica {
		return
	}
	m.Replicas.Mailbox().Post(func() {
		hasReplica := len(m.Replicas.Status(configleader.Key).State.Voters.Current) > 0
		m.mailbox.Post(func() { m.hasConfigurationReplica = m.hasConfigurationReplica || hasReplica })
	})
}

// findRunner returns the runner of a key, nil if this process has none or ctx is done first.
func (m *Manager) findRunner(ctx context.Context, key string) *keyRunner {
	if !m.hasDisk() {
		return nil
	}
	runner, err := mailbox.Ask(ctx, m.mailbox, func(answer func(*keyRunner)) { answer(m.runners[key]) })
	if err != nil {
		return nil
	}
	return runner
}

// listVoterCandidates returns the members from which an engine may choose voters: those that keep the same kind of keys and have a disk.
func (m *Manager) listVoterCandidates() []wire.Member {
	return filterWithDisks(filterByLots(m.Node.View().Stewards, m.Lots != nil))
}

// filterByLots returns either the stewards that keep lots or those that keep all other keys. Stewards that keep lots serve no operators and
// have no control address.
func filterByLots(stewards []wire.Member, keepsLots bool) []wire.Member {
	var members []wire.Member
	for _, steward := range stewards {
		if (steward.Control == "") == keepsLots {
			members = append(members, steward)
		}
	}
	return members
}

// listStorageDisks returns the disks of the live stewards that keep lots: one disk of each zone, then a second one of each zone, and so on.
func (m *Manager) listStorageDisks() []string {
	byDomain := map[string][]string{}
	for _, member := range filterWithDisks(filterByLots(m.Node.View().Stewards, true)) {
		if member.State == wire.StateAlive {
			byDomain[member.Domain] = append(byDomain[member.Domain], member.Disk)
		}
	}
	var disks []string
	for round := 0; ; round++ {
		count := len(disks)
		for _, domain := range slices.Sorted(maps.Keys(byDomain)) {
			if round < len(byDomain[domain]) {
				disks = append(disks, byDomain[domain][round])
			}
		}
		if len(disks) == count {
			return disks
		}
	}
}

// filterWithDisks returns the members with a persistent disk, or if there are none, those with a temporary disk. Disk is set in both cases.
func filterWithDisks(members []wire.Member) []wire.Member {
	var persistent, temporary []wire.Member
	for _, member := range members {
		if member.Disk != "" {
			persistent = append(persistent, member)
		}
		if member.TemporaryDisk != "" {
			member.Disk = member.TemporaryDisk
			temporary = append(temporary, member)
		}
	}
	if len(persistent) == 0 {
		return temporary
	}
	return persistent
}

// findAddress returns the address of the steward that has the disk, empty if no known steward has it.
func (m *Manager) findAddress(disk string) string {
	steward, _ := m.Node.View().StewardOf(disk)
	return steward.Address
}
