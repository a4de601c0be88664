package replication

import (
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/storage"
	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/logging"
)

// Transport carries an engine's calls; each answer comes back on the engine's own goroutine.
type Transport interface {
	// Promise asks the disk's replica for a promise.
	Promise(disk string, call wire.PromiseCall, done func(wire.PromiseAnswer, error))
	// Append sends changes, a snapshot or a heartbeat to the disk's replica.
	Append(disk string, call wire.AppendCall, done func(wire.AppendAnswer, error))
	// Fetch asks the disk's replica for what it holds beyond a position.
	Fetch(disk string, call wire.FetchCall, done func(wire.FetchAnswer, error))
	// Status reads the state of the local replica.
	Status(key string, done func(ReplicaStatus))
	// History reads the changes that the local replica still has one by one.
	History(key string, done func(History))
	// ReadLocal reads the whole state of the local replica from its disk. The reading must not hold up the engine's
	// goroutine, which has leases to renew meanwhile; done is never called within the call.
	ReadLocal(key string, done func(wire.Snapshot, error))
	// InstallLocal brings the local replica to a fetched state.
	InstallLocal(call wire.AppendCall, done func(wire.AppendAnswer, error))
}

// StateMachine is what lives on a key while this steward owns it.
type StateMachine interface {
	// Open hands the key over with all its values; an error gives the leadership up.
	Open(leadership *Leadership, pairs []wire.Op) error
	// Close ends the leadership; commits that wait have failed by then.
	Close()
}

// MemberSource tells where disks are now: their members, alive or not.
type MemberSource func() []wire.Member

// Timing of the replication: the length of a lease, the pause between two heartbeats, the pause by which candidates
// keep out of each other's way, and the silence after which a voter counts as lost.
type Timing struct {
	Lease     time.Duration
	Heartbeat time.Duration
	Stagger   time.Duration
	LostAfter time.Duration
}

// DefaultTiming finds a new leader about a second after the old one has gone.
var DefaultTiming = Timing{Lease: 700 * time.Millisecond, Heartbeat: 175 * time.Millisecond,
	Stagger: 100 * time.Millisecond, LostAfter: 1500 * time.Millisecond}

const (
	leaseMargin  = 30 * time.Millisecond
	maxTailCount     = 20000
	maxTailBytes = 6 << 20
	maxChangesPerCall  = 2000

	maxBytesPerCall = 256 << 10
)

type phase int

const (
	phaseIdle phase = iota
	phaseCandidate
	// phaseFetching: a majority has promised, but the own disk lacks changes.
	phaseFetching
	// phaseOpening: the own disk holds the furthest state, of which the machine is not told yet.
	phaseOpening
	phaseLeading
)

// Engine owns one key's election, replication, lease and voter set. It has no goroutine of its own.
type Engine struct {
	key           string
	disk          string
	name          string
	initialVoters []string
	clock         clock.Clock
	transport         Transport
	machine       StateMachine
	members       MemberSource
	timing        Timing
	log           logging.Logger
	announce      func(fact wire.LeaderFact)

	phase      phase
	isStatusPending   bool
	ownState    storage.ReplicaState
	generation    uint64
	epoch      uint64
	highestEpochSeen    uint64
	nextCampaignAt    time.Duration
	recentBase wire.LogPosition
	last       wire.LogPosition
	commitIndex  uint64
	voters        wire.VoterSet
	votersIndex   uint64
	// fetchedChunks are the chunks of the furthest state that a candidate has so far, also across campaigns.
	fetchedChunks         chunkBuffer
	hasYielded bool
	followers       map[string]*followerProgress
	recent          []wire.Change
	recentSize      int
	pendingCommits         []pendingCommit
	leadership      *Leadership
	isLeaving       bool
	leaveDeadline         time.Duration
	lastLeaseAt      time.Duration
	snapshotReader          snapshotReader
	progress           progressHistory

	voterGoal         int
	shortSince   time.Duration
	isShortNoted bool

	openedAt   time.Duration
	worseSince time.Duration
	wellSince  time.Duration
	wasWell    bool
}

// Option changes how an engine is made.
type Option func(*Engine)

// WithInitialVoters names the disks that may bootstrap the key where none of them holds it yet.
func WithInitialVoters(voters []string) Option { return func(e *Engine) { e.initialVoters = voters } }

// WithMachineLosses sets how many disks a key must be able to lose at once; its voters grow to twice that and one.
func WithMachineLosses(losses int) Option {
	return func(e *Engine) { e.voterGoal = 2*max(1, losses) + 1 }
}

// WithLog gives the engine a logger; without it, it logs nothing.
func WithLog(log logging.Logger) Option { return func(e *Engine) { e.log = log } }

// WithAnnounce names the function that is told of each new leadership of this engine.
func WithAnnounce(announce func(wire.LeaderFact)) Option {
	return func(e *Engine) { e.announce = announce }
}

// NewEngine makes an engine for one key on the replica of one disk; it does nothing before the first Tick.
func NewEngine(key, disk, name string, clock clock.Clock, links Transport, machine StateMachine, members MemberSource, options ...Option) *Engine {
	engine := &Engine{key: key, disk: disk, name: name, clock: clock, transport: links, machine: machine, members: members,
		timing: DefaultTiming, voterGoal: 3, log: logging.Silent(), announce: func(wire.LeaderFact) {}}
	for _, option := range options {
		option(engine)
	}
	return engine
}

// IsLeader says whether the engine leads the key; whether it may answer for it is up to the lease.
func (e *Engine) IsLeader() bool { return e.phase == phaseLeading }

// Epoch is the epoch under which the engine leads the key, or last did.
func (e *Engine) Epoch() uint64 { return e.epoch }

// Belief is what the engine would tell an operator of its key.
func (e *Engine) Belief() wire.KeyBelief {
	return wire.KeyBelief{Key: e.key, Epoch: e.epoch, Last: e.last, Set: e.voters}
}

// Tick does all that falls due; it is called often.
func (e *Engine) Tick() {
	switch e.phase {
	case phaseIdle:
		e.maybeCampaign()
	case phaseFetching:
		e.checkFetchTimeout()
	case phaseLeading, phaseOpening:
		e.heartbeat()
	}
}

// stepDown ends a candidacy or a leadership; changes that are not yet committed get an unclear end.
func (e *Engine) stepDown(reason string) {
	if e.phase == phaseIdle {
		return
	}
	e.log.Info("no longer owner of key", "key", e.key, "epoch", e.epoch, "why", reason)
	wasLeader := e.phase == phaseLeading
	e.phase = phaseIdle
	e.generation++
	waiters := e.pendingCommits
	e.pendingCommits, e.recent, e.recentSize = nil, nil, 0
	if e.leadership != nil {
		e.leadership.isOver.Store(true)
		e.leadership = nil
	}
	e.backOff()
	for _, waiter := range waiters {
		waiter.done(ErrLeadershipLost)
	}
	if wasLeader {
		e.machine.Close()
	}
}

// Leave hands the key over to the follower that holds most, once no change is under way or a moment has passed; no
// campaign begins after it.
func (e *Engine) Leave() {
	e.isLeaving = true
	e.leaveDeadline = e.clock.Monotonic() + maxLeaveWait
	if e.phase == phaseCandidate {
		e.backOff()
	}
	e.maybeLeave()
}
