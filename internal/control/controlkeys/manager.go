// Package controlkeys runs an engine of package replication for each key that this steward may lead: the configuration, a pool for
// each service, the parts of the tenants' count, and those with locks, numbers and cells of applications. A Manager keeps one keyRunner for each key that the configuration asks for; it serves the calls of
// other processes to those keys, and hands the keys on when the process leaves.
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
	// tickInterval is how often engines and pools do what falls due.
	tickInterval = 50 * time.Millisecond
	// reconcileInterval is how often the manager compares the keys there should be with those that run.
	reconcileInterval  = 200 * time.Millisecond
	managerMailboxSize = 256
)

// Config is what a manager needs. It has neither Store nor Replicas on a machine without a disk: such a steward leads no key
// and is no voter.
type Config struct {
	Clock clock.Clock
	Log   logging.Logger
	Store *storage.Store
	// IsDiskTemporary tells that the disk does not outlive the machine's power.
	IsDiskTemporary bool
	// MachineLosses is how many machines may be lost at once.
	MachineLosses  int
	Name           string
	Caller         *peerapi.Caller
	Node           *membership.Node
	Configurations *configcache.Cache
	Timing         scheduler.Timing
	Replicas       *replication.Replicas
	PoolOptions    []scheduler.Option
	// LeaderClient carries the calls of pools to the parts of the tenants' count.
	LeaderClient *leaderclient.Client
	// Lots is what the parts with lots need; it is nil on a process that keeps none. A process keeps either lots or all other keys.
	Lots *LotSurroundings
	// Coordination is what locks, numbers and cells of applications need; it is nil where they are not kept.
	Coordination *CoordinationTimes
}

// CoordinationTimes are the bounds of the parts with locks, numbers and cells.
type CoordinationTimes struct {
	// History is how long a revision that a watcher was given stays good, Release how long after its holder's time a lock may still
	// be refused to others.
	History, Release time.Duration
}

// LotSurroundings are what parts with lots need beyond their keys.
type LotSurroundings struct {
	// Executors gives the executors of a service, Client calls them.
	Executors func(service string) []wire.ExecutorRecord
	Client    *http.Client
	// Retention is how long a lot is kept after it was accepted.
	Retention time.Duration
}

// Manager keeps a runner for each key that is wanted. Its tables belong to the goroutine of Run; all methods may be called from
// any goroutine.
type Manager struct {
	Config
	mailbox *mailbox.Mailbox
	// disk is the name of the disk, empty on a machine without one; that is also how a manager without keys is known.
	disk string

	// ctx ends the runners.
	ctx     context.Context
	runners map[string]*keyRunner
	// initialVoters are those of the configuration's key, once they are known on the first start of the whole system.
	initialVoters []string
	// hasConfigurationReplica tells that the disk holds a replica of the configuration's key.
	hasConfigurationReplica bool
	isLeaving               bool

	// rollouts carries out the rollouts of the configuration while that is led here.
	rollouts *rollouts.Controller

	// policies holds what the newest configuration says of tenants.
	policies atomic.Pointer[cachedPolicy]
}

// New makes a manager without runners; Run starts them.
func New(config Config) *Manager {
	manager := &Manager{Config: config, mailbox: mailbox.New(managerMailboxSize), runners: map[string]*keyRunner{}}
	if config.Store != nil {
		manager.disk = config.Store.Disk()
	}
	manager.rollouts = manager.newRollouts()
	return manager
}

// hasDisk tells whether this steward may lead keys and vote.
func (m *Manager) hasDisk() bool { return m.disk != "" }

// Run keeps a runner for each key that the configuration asks for, until ctx is done.
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

// RunRollouts carries out the rollouts of the configuration until ctx is done. A process that keeps lots or no keys has none to carry out.
func (m *Manager) RunRollouts(ctx context.Context) error {
	if !m.hasDisk() || m.Lots != nil {
		<-ctx.Done()
		return nil
	}
	return m.rollouts.Run(ctx)
}

// Bootstrap sets the initial voters of the configuration's key, once the seeds have named their disks.
func (m *Manager) Bootstrap(voters []string) {
	m.mailbox.Post(func() {
		m.initialVoters = voters
		m.reconcile()
	})
}

// reconcile starts a runner for each key that should run and does not. No key ever ends but with the process: the pool of a
// service that no route leads to any more still answers for its jobs.
func (m *Manager) reconcile() {
	if m.isLeaving || !m.hasDisk() {
		return
	}
	m.checkConfigurationReplica()
	// A temporary disk takes part only if it was there from the beginning, as one that lost its votes must not vote anew.
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
		if m.keeps(key) {
			m.startKey(key, initial.Voters)
		}
	}
}

// keeps tells whether this process keeps keys of that kind.
func (m *Manager) keeps(key string) bool {
	if coordination.IsKey(key) && m.Coordination == nil {
		return false
	}
	return lots.IsKey(key) == (m.Lots != nil)
}

// checkConfigurationReplica notes when this disk holds a replica of the configuration's key.
func (m *Manager) checkConfigurationReplica() {
	if m.hasConfigurationReplica {
		return
	}
	m.Replicas.Mailbox().Post(func() {
		hasReplica := len(m.Replicas.Status(configleader.Key).State.Voters.Current) > 0
		m.mailbox.Post(func() { m.hasConfigurationReplica = m.hasConfigurationReplica || hasReplica })
	})
}

// runnerOf gives the runner of a key, or nil if there is none here or ctx is done first.
func (m *Manager) runnerOf(ctx context.Context, key string) *keyRunner {
	if !m.hasDisk() {
		return nil
	}
	runner, err := mailbox.Ask(ctx, m.mailbox, func(answer func(*keyRunner)) { answer(m.runners[key]) })
	if err != nil {
		return nil
	}
	return runner
}

// disksInCluster are the members that an engine may choose voters from: those that keep the same kind of keys.
func (m *Manager) disksInCluster() []wire.Member {
	return withDisks(membersFor(m.Node.View().Stewards, m.Lots != nil))
}

// membersFor lists the stewards that keep lots, which serve no operators, or those that keep all other keys.
func membersFor(stewards []wire.Member, keepsLots bool) []wire.Member {
	var members []wire.Member
	for _, steward := range stewards {
		if (steward.Control == "") == keepsLots {
			members = append(members, steward)
		}
	}
	return members
}

// storageDisks are the disks on which lots may be kept, one of each failure domain in turn.
func (m *Manager) storageDisks() []string {
	byDomain := map[string][]string{}
	for _, member := range withDisks(membersFor(m.Node.View().Stewards, true)) {
		if member.State == wire.StateAlive {
			byDomain[member.Domain] = append(byDomain[member.Domain], member.Disk)
		}
	}
	var disks []string
	for turn := 0; ; turn++ {
		count := len(disks)
		for _, domain := range slices.Sorted(maps.Keys(byDomain)) {
			if turn < len(byDomain[domain]) {
				disks = append(disks, byDomain[domain][turn])
			}
		}
		if len(disks) == count {
			return disks
		}
	}
}

// withDisks lists the members that have a disk; temporary ones count only if there is no other.
func withDisks(members []wire.Member) []wire.Member {
	var lasting, temporary []wire.Member
	for _, member := range members {
		if member.Disk != "" {
			lasting = append(lasting, member)
		}
		if member.TemporaryDisk != "" {
			member.Disk = member.TemporaryDisk
			temporary = append(temporary, member)
		}
	}
	if len(lasting) == 0 {
		return temporary
	}
	return lasting
}

// addressOf is where the steward of a disk is called, or empty if it is not known.
func (m *Manager) addressOf(disk string) string {
	steward, _ := m.Node.View().StewardOf(disk)
	return steward.Address
}
