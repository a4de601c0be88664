// Package membership is the failure detector of the system's processes, in the manner of SWIM: members are probed in turn, directly
// and then through others; one that does not answer is suspect, and gone after a while unless it refutes with a higher
// incarnation. The same datagrams carry changed records, the leaders of keys and the version of the configuration, and digests
// that show what a peer lacks, so that lists are compared in full only where they differ.
//
// Local-proxies are leaves: nobody lists or probes them, and each attaches to a few stewards.
//
// Table is the state, without goroutines and sockets. Node runs it on the machine's internal ports. View is what the rest of the
// process reads.
package membership

import (
	"math/rand/v2"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/clock"
)

// Member is what is known of one process: where it is, what it does and whether it lives.
type Member = wire.Member

// randomStream tells the table's random numbers apart from others that begin with the same seed.
const randomStream = 7

// The roles of processes that this package treats in a way of their own.
const (
	// RoleSteward is the role of the processes that may lead keys.
	RoleSteward = "steward"
	// RoleLocalProxy is the role of the process beside each executor.
	RoleLocalProxy = "local-proxy"
)

// Events are what the table asks of its owner. They are called on the owner's goroutine.
type Events struct {
	// Send sends a datagram.
	Send func(address string, datagram wire.Datagram)
	// Publish replaces the view.
	Publish func(*View)
	// ConfigurationAhead tells of a peer that holds a newer configuration.
	ConfigurationAhead func(peer Member, version int64)
	// ListsDiffer tells of a peer whose list should be compared with this one.
	ListsDiffer func(peer Member)
}

// Table is the state of the failure detector. It has no goroutine of its own; its owner calls it.
type Table struct {
	clock  clock.Clock
	timing Timing
	events Events
	random *rand.Rand

	memberList
	leaderList
	configurationNotice
	evacuationNotice
	prober
	leafServer
	leafClient
	publication
	// changesToSend counts how often the record of a member is still sent along.
	changesToSend map[string]int

	createdAt time.Duration
	lastTick  time.Duration
	// comparedAt is when this process last compared its list with a peer's.
	comparedAt time.Duration
	ticks      int
}

// memberList holds the records of all members. The sorted lists and the sums are derived from the records, and change only
// together with them, in write and forget.
type memberList struct {
	self      Member
	ownRecord *record
	// records are those of all other members that this table lists, by name; unhealthy are those that are not alive.
	records   map[string]*record
	unhealthy map[string]*record
	members   sortedList
	stewards  sortedList
	// sums are of all members but local-proxies, stewardSums of stewards alone, for comparisons with local-proxies.
	sums        sums
	stewardSums sums
	changedAt   time.Duration
}

// leaderList holds the leaders of keys, each under the highest epoch that was heard of.
type leaderList struct {
	// leaders is part of a published view while areLeadersPublished, and copied before the next change then.
	leaders             map[string]wire.KeyLeader
	areLeadersPublished bool
	leaderSum           uint32
	// recentLeaders counts the ticks for which the leader of a key is still sent along with each datagram.
	recentLeaders map[string]int
}

// configurationNotice is what others are told of the configuration.
type configurationNotice struct {
	configVersion int64
	// versionRounds counts the ticks in which the configuration's version, or a new list of evacuations, is still announced to others.
	versionRounds int
}

// publication knows whether the published view is older than the table.
type publication struct {
	isDirty bool
	// leaderMovedSignal is closed with the next view if a key has another leader in it.
	leaderMovedSignal chan struct{}
	hasLeaderMoved    bool
}

// NewTable makes a table that knows only its own process. The seed decides whom it probes when.
func NewTable(self Member, clock clock.Clock, timing Timing, seed uint64, events Events) *Table {
	now := clock.Monotonic()
	table := &Table{
		clock: clock, timing: timing, events: events, random: rand.New(rand.NewPCG(seed, randomStream)),
		memberList: memberList{self: self, ownRecord: &record{bucket: bucketOf(Name(self))}, records: map[string]*record{},
			unhealthy: map[string]*record{}},
		leaderList:    leaderList{leaders: map[string]wire.KeyLeader{}, recentLeaders: map[string]int{}},
		prober:        prober{probes: map[uint64]probe{}, relays: map[uint64]relay{}},
		leafServer:    leafServer{leaves: map[string]leaf{}},
		leafClient:    leafClient{pingPause: timing.LeafPeriod, isPingAnswered: true},
		publication:   publication{isDirty: true, leaderMovedSignal: make(chan struct{})},
		changesToSend: map[string]int{},
		createdAt:     now, lastTick: now, comparedAt: now - 2*timing.Period - 1,
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
	t.PublishIfChanged()
}

// tickMember is the work of a tick for all processes but local-proxies.
func (t *Table) tickMember(now time.Duration) {
	t.followProbes(now)
	t.ageRecords(now)
	if t.versionRounds > 0 {
		t.versionRounds--
		t.announceVersion()
	}
	if t.ageLeaders() {
		t.Broadcast()
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

// PublishIfChanged publishes a view if anything has changed since the last one.
func (t *Table) PublishIfChanged() {
	if !t.isDirty {
		return
	}
	t.isDirty = false
	if isLeaf(t.self) && !t.stewards.isPublished {
		t.attach()
	}
	formerMoved := t.leaderMovedSignal
	if t.hasLeaderMoved {
		t.leaderMovedSignal = make(chan struct{})
	}
	t.areLeadersPublished = true
	t.events.Publish(&View{Self: t.self, Members: t.members.publish(), Stewards: t.stewards.publish(), Leaders: t.leaders,
		IsIsolated: t.isIsolated, LeaderMoved: t.leaderMovedSignal, Evacuations: t.evacuations, EvacuatedAt: t.evacuatedAt})
	if t.hasLeaderMoved {
		t.hasLeaderMoved = false
		close(formerMoved)
	}
}
