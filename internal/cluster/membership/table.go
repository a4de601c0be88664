// Package membership is the failure detector of the cluster, a variant of SWIM. Members are probed in turn, first directly and then
// through other members. A member that does not answer becomes suspect, and after a timeout gone, unless it refutes the suspicion with a
// higher incarnation. The same datagrams carry changed records, the leaders of keys, the version of the configuration and the list of
// evacuations. They also carry digests that show whether a peer lacks something, so that only lists that differ are compared in full.
//
// Local proxies are leaves of the network: no process lists or probes them. Each pings a few stewards, which push changes to it.
//
// Table holds the state, and has no goroutines or sockets. Node runs a Table on the internal port of the machine. View is the snapshot of
// the state that the rest of the process reads.
package membership

import (
	"math/rand/v2"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/clock"
)

// Member is the record of one process: its addresses, its role and its state.
type Member = wire.Member

// randomStream separates the random numbers of the table from those of other users of the same seed.
const randomStream = 7

// The roles that this package handles specially.
const (
	// RoleSteward is the role of the processes that may lead keys.
	RoleSteward = "steward"
	// RoleLocalProxy is the role of the process beside each executor.
	RoleLocalProxy = "local-proxy"
)

// Events are the callbacks of a Table to its owner. They run on the goroutine that calls the table.
type Events struct {
	// Send sends a datagram to an address. The datagram may be lost.
	Send func(address string, datagram wire.Datagram)
	// Publish replaces the view that the rest of the process reads.
	Publish func(*View)
	// ConfigurationAhead reports a peer that holds a newer configuration.
	ConfigurationAhead func(peer Member, version int64)
	// ListsDiffer reports a peer whose list should be compared with that of this table.
	ListsDiffer func(peer Member)
}

// Table is the state of the failure detector. It has no goroutine and is not safe for concurrent use; its owner calls it from one goroutine.
type Table struct {
	clock  clock.Clock
	timing Timing
	events Events
	random *rand.Rand

	memberList
	leaderList
	announcementState
	evacuationState
	prober
	leafServer
	leafClient
	publishState
	// pendingUpdates holds the names of the members whose records have changed recently, and how many datagrams still have to carry each.
	pendingUpdates map[string]int

	createdAt time.Duration
	lastTick  time.Duration
	// comparedAt is when this process last started to compare its list with that of a peer.
	comparedAt time.Duration
	ticks      int
}

// memberList holds the records of all members. The sorted lists and the sums are derived from the records. Only write and forget change
// the lists and sums, together with the records.
type memberList struct {
	self      Member
	ownRecord *record
	// records holds the records of all listed members except this process, by the result of Name. unhealthy holds the subset that is
	// suspect or gone.
	records   map[string]*record
	unhealthy map[string]*record
	members   sortedList
	stewards  sortedList
	// sums covers all members except local proxies. stewardSums covers the stewards, for comparisons with local proxies.
	sums        sums
	stewardSums sums
	// changedAt is when a record was last written or forgotten.
	changedAt time.Duration
}

// leaderList holds for each key the leader with the highest epoch that this process knows.
type leaderList struct {
	// leaders is shared with a published view while areLeadersPublished is set. It is then copied before the next change.
	leaders             map[string]wire.KeyLeader
	areLeadersPublished bool
	leaderSum           uint32
	// recentLeaders holds, by key, the number of ticks for which datagrams still carry a new leader.
	recentLeaders map[string]int
}

// announcementState is the state of the announcements of configuration versions and evacuations to other processes.
type announcementState struct {
	// configVersion is the version of the configuration that this process holds, or 0.
	configVersion int64
	// announceTicksLeft is the number of ticks in which a new configuration version or list of evacuations is still announced.
	announceTicksLeft int
}

// publishState tracks whether the table has changed since its last view was published.
type publishState struct {
	isDirty bool
	// leaderMovedSignal is the LeaderMoved channel of the published view. It is closed when a view with another leader of any key is
	// published.
	leaderMovedSignal chan struct{}
	hasLeaderMoved    bool
}

// NewTable creates a table that lists only its own process. The seed determines the random choices, such as the order of probes.
func NewTable(self Member, clock clock.Clock, timing Timing, seed uint64, events Events) *Table {
	now := clock.Monotonic()
	table := &Table{
		clock: clock, timing: timing, events: events, random: rand.New(rand.NewPCG(seed, randomStream)),
		memberList: memberList{self: self, ownRecord: &record{bucket: bucketOf(Name(self))}, records: map[string]*record{},
			unhealthy: map[string]*record{}},
		leaderList:     leaderList{leaders: map[string]wire.KeyLeader{}, recentLeaders: map[string]int{}},
		prober:         prober{probes: map[uint64]probe{}, relays: map[uint64]relay{}},
		leafServer:     leafServer{leaves: map[string]leaf{}},
		leafClient:     leafClient{pingPause: timing.LeafPingInterval, isPingAnswered: true},
		publishState:   publishState{isDirty: true, leaderMovedSignal: make(chan struct{})},
		pendingUpdates: map[string]int{},
		createdAt:      now, lastTick: now, comparedAt: now - 2*timing.Period - 1,
	}
	table.write(table.ownRecord, self)
	return table
}

// Name returns the unique name of a process: the name of its machine and its role.
func Name(member Member) string { return member.Name + "/" + member.Role }

// Self returns the record of this process.
func (t *Table) Self() Member { return t.self }

// Tick does the periodic work of the table. Its owner calls it twice per Timing.Period.
func (t *Table) Tick() {
	now := t.clock.Monotonic()
	if now-t.lastTick > 2*t.timing.Period {
		t.resumeAfterFreeze(now)
	}
	t.lastTick = now
	t.ticks++
	if isLeaf(t.self) {
		t.tickLeaf(now)
		t.ageRecentLeaders()
	} else {
		t.tickMember(now)
	}
	t.PublishIfChanged()
}

// tickMember does the periodic work of all processes except local proxies.
func (t *Table) tickMember(now time.Duration) {
	t.checkProbes(now)
	t.ageRecords(now)
	if t.announceTicksLeft > 0 {
		t.announceTicksLeft--
		t.announceDigest()
	}
	if t.ageRecentLeaders() {
		t.Broadcast()
	}
	if t.ticks%probeTicks == 0 {
		t.probeNext(now)
	}
	if t.ticks%leafTicks == 0 {
		t.forgetLeaves(now)
	}
}

// resumeAfterFreeze restarts all timeouts after a freeze of this process, which could not receive the messages of its peers meanwhile.
func (t *Table) resumeAfterFreeze(now time.Duration) {
	clear(t.probes)
	for _, known := range t.records {
		known.since = max(known.since, now)
		known.lastContactAt = now
	}
	for name, known := range t.leaves {
		known.lastContactAt = now
		t.leaves[name] = known
	}
	t.silentSince = now
}

// PublishIfChanged publishes a new view if the table has changed since the last one.
func (t *Table) PublishIfChanged() {
	if !t.isDirty {
		return
	}
	t.isDirty = false
	if isLeaf(t.self) && !t.stewards.isPublished {
		t.attach()
	}
	previousSignal := t.leaderMovedSignal
	if t.hasLeaderMoved {
		t.leaderMovedSignal = make(chan struct{})
	}
	t.areLeadersPublished = true
	t.events.Publish(&View{Self: t.self, Members: t.members.publish(), Stewards: t.stewards.publish(), Leaders: t.leaders,
		IsIsolated: t.isIsolated, LeaderMoved: t.leaderMovedSignal, Evacuations: t.evacuations, EvacuatedAt: t.evacuatedAt})
	if t.hasLeaderMoved {
		t.hasLeaderMoved = false
		close(previousSignal)
	}
}
