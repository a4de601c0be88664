// Package membership is the failure detector of the system's processes: probes in turn, indirect probes, suspicion
// before removal. The same datagrams carry news of members, leaders and configurations, and digests that show gaps.
// Local-proxies are leaves: nobody lists or probes them, and they attach to a few stewards.
package membership

import (
	"math/rand/v2"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/clock"
)

// Member is what is known of one process: where it is, what it does and whether it lives.
type Member = wire.Member

const (
	// RoleSteward is the role of the processes that may lead keys.
	RoleSteward = "steward"
	// RoleLocalProxy is the role of the process beside each executor.
	RoleLocalProxy = "local-proxy"
)

// Events are what the table asks of its owner: to send a datagram, to publish a new view, to fetch a configuration
// that a peer holds already, and to compare lists with a peer whose list differs. They are called on the owner's
// goroutine.
type Events struct {
	Send      func(address string, datagram wire.Datagram)
	Show      func(*View)
	PlanAhead func(peer Member, version int64)
	Differ    func(peer Member)
}

// Table is the state of the failure detector. It has no goroutine of its own; its owner calls it.
type Table struct {
	self   Member
	clock  clock.Clock
	timing Timing
	events Events
	draw   *rand.Rand

	ownRecord   *record
	records     map[string]*record
	unhealthy   map[string]*record
	everyone    roster
	stewards    roster
	sums        sums
	stewardSums sums

	leaders        map[string]wire.KeyLeader
	isLeadersShown bool
	leaderSum      uint32
	// recentLeaders counts the ticks for which the leader of a key is still sent along with each datagram.
	recentLeaders map[string]int

	configurationVersion int64
	// versionRounds counts the ticks in which the configuration's version is still announced to others.
	versionRounds int

	probeOrder []string
	lastNumber uint64
	probes     map[uint64]probe
	relays     map[uint64]relay
	// newsToSend counts how often the record of a member is still sent along.
	newsToSend map[string]int

	leaves   map[string]leaf
	attached []Member
	pingTurn int
	// pingPause lies between two pings of a leaf while they are answered.
	pingPause      time.Duration
	pingedAt       time.Duration
	isPingAnswered bool
	isLonely       bool
	// silentSince is when the first of the pings went out that nobody has answered yet.
	silentSince time.Duration

	createdAt time.Duration
	lastTick  time.Duration
	changedAt time.Duration
	differAt  time.Duration
	ticks     int

	// isDirty is set while the published view is older than the table.
	isDirty        bool
	leaderMoved    chan struct{}
	hasLeaderMoved bool
}

// NewTable makes a table that knows only its own process. The seed decides whom it probes when.
func NewTable(self Member, clock clock.Clock, timing Timing, seed uint64, events Events) *Table {
	now := clock.Monotonic()
	table := &Table{
		self: self, clock: clock, timing: timing, events: events, draw: rand.New(rand.NewPCG(seed, 7)),
		ownRecord: &record{bucket: bucketOf(Name(self))}, records: map[string]*record{}, unhealthy: map[string]*record{},
		leaders: map[string]wire.KeyLeader{}, recentLeaders: map[string]int{},
		probes: map[uint64]probe{}, relays: map[uint64]relay{}, newsToSend: map[string]int{},
		leaves: map[string]leaf{}, pingPause: timing.LeafPeriod, isPingAnswered: true,
		createdAt: now, lastTick: now, differAt: now - 2*timing.Period - 1,
		isDirty: true, leaderMoved: make(chan struct{}),
	}
	table.write(table.ownRecord, self)
	return table
}

// Name tells the processes of one machine apart: the machine's name and the role.
func Name(member Member) string { return member.Name + "/" + member.Role }

// Self is the record of this process.
func (t *Table) Self() Member { return t.self }

// Tick is called a few times a period.
func (t *Table) Tick() {
	now := t.clock.Monotonic()
	if now-t.lastTick > 2*t.timing.Period {
		t.resumeAfterFreeze(now)
	}
	t.lastTick = now
	t.ticks++
	if isLeaf(t.self) {
		t.tickLeaf(now)
		t.ageLeaders()
	} else {
		t.tickMember(now)
	}
	t.Settle()
}

// tickMember is the work of a tick for all processes but local-proxies.
func (t *Table) tickMember(now time.Duration) {
	t.followProbes(now)
	t.ageRecords(now)
	if t.versionRounds > 0 {
		t.versionRounds--
		t.spreadVersion()
	}
	if t.ageLeaders() {
		t.Spread()
	}
	if t.ticks%probeTicks == 0 {
		t.probeNext(now)
	}
	if t.ticks%leafTicks == 0 {
		t.forgetLeaves(now)
	}
}

// resumeAfterFreeze follows a freeze of this process: nobody's silence counts.
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

// Settle publishes a view if anything has changed since the last one.
func (t *Table) Settle() {
	if !t.isDirty {
		return
	}
	t.isDirty = false
	if isLeaf(t.self) && !t.stewards.isShown {
		t.attach()
	}
	formerMoved := t.leaderMoved
	if t.hasLeaderMoved {
		t.leaderMoved = make(chan struct{})
	}
	t.isLeadersShown = true
	t.events.Show(&View{Self: t.self, Members: t.everyone.show(), Stewards: t.stewards.show(), Owners: t.leaders,
		IsLonely: t.isLonely, Moved: t.leaderMoved})
	if t.hasLeaderMoved {
		t.hasLeaderMoved = false
		close(formerMoved)
	}
}
