// Package replication elects one leader at a time for each key and replicates the key's changes to a quorum of its voters.
// The protocol is close to Raft, with these differences:
//
//   - A voter is a disk with a random name, not an address. A wiped disk gets a new name, so it can't vote in place of the old one.
//   - An epoch is what Raft calls a term. A vote is a promise, synced before it is sent, to follow no leader of a lower epoch.
//   - A candidate may win without the most up-to-date state. It then fetches that state from the voter that has it before it leads.
//   - A leader serves reads under a lease: voters that have answered it grant no other disk a promise for Timing.Lease.
//   - Followers that lag too far behind get a snapshot in chunks. New disks are learners until they have caught up.
//
// Engine runs the protocol for one key; it has no goroutine, socket or clock of its own. Replicas is the table of one disk's
// replicas: their state, promises and granted leases. Package quorum evaluates quorums. Time comes from clock.Clock, calls
// go through Transport, and a StateMachine is open on the key while this engine leads it.
package replication

import (
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/clock"
)

// phase is the stage of an engine on the way to leading its key.
type phase int

const (
	// phaseIdle: another disk leads, or there is no leader.
	phaseIdle phase = iota
	// phaseCandidate: promises are being collected.
	phaseCandidate
	// phaseFetching: a quorum has promised, but the local disk lacks changes.
	phaseFetching
	// phaseOpening: the local disk holds the most up-to-date state, but the state machine is not open yet.
	phaseOpening
	// phaseLeading: the state machine is open.
	phaseLeading
)

// identity holds the key, the disk of the local replica, and the name of this process.
type identity struct {
	key  string
	disk string
	name string
}

// environment holds the external dependencies of an engine.
type environment struct {
	clock     clock.Clock
	transport Transport
	machine   StateMachine
	members   MemberSource
}

// Engine campaigns for and leads one key. All methods and all callbacks of its calls run on one goroutine.
type Engine struct {
	identity
	environment
	options

	phase phase
	// generation increases when the engine starts a campaign, moves from pre-vote to vote, or steps down. Answers to calls of an
	// earlier generation are dropped, so that an ended leadership can't affect the next one.
	generation uint64
	// epoch is the epoch of the current leadership, or of the last one. No other disk ever leads under the same epoch.
	epoch         uint64
	campaignState campaignState

	// The fields below belong to one leadership and are set anew for each. leadership is nil unless the engine leads.
	leadership *Leadership
	// changes ends with the last change that this leader proposed. Followers' positions are compared with it.
	changes changeLog
	commits commitQueue
	voters  voterState
	// followers holds the voters and learners by disk, including the leader's own disk.
	followers map[string]*followerProgress
	// lastLeaseAt is when this leader last held a lease from a quorum. Its first value is the time at which the election was won, and
	// then the time at which openLeadership was called.
	lastLeaseAt time.Duration
	snapshots   snapshotReader
	progress    progressHistory
	slowness    slownessDetector
	shortage    voterShortage
	preferred   preferredVoter

	leaving leaveRequest
}

// NewEngine returns an engine for one key and the local replica of it on disk. It does nothing before the first Tick.
func NewEngine(key, disk, name string, clock clock.Clock, transport Transport, machine StateMachine, members MemberSource, opts ...Option) *Engine {
	engine := &Engine{identity: identity{key: key, disk: disk, name: name}, options: defaultOptions(),
		environment: environment{clock: clock, transport: transport, machine: machine, members: members}}
	for _, option := range opts {
		option(&engine.options)
	}
	return engine
}

// IsLeader reports whether the engine leads the key. Reads also need a lease: see Leadership.HasLease.
func (e *Engine) IsLeader() bool { return e.phase == phaseLeading }

// Epoch returns the epoch of the engine's current leadership, or of its last one.
func (e *Engine) Epoch() uint64 { return e.epoch }

// Belief returns the engine's view of the key, for diagnostics.
func (e *Engine) Belief() wire.KeyBelief {
	return wire.KeyBelief{Key: e.key, Epoch: e.epoch, Last: e.changes.last, Voters: e.voters.set}
}

// Tick does the periodic work: campaigns, fetch timeouts and heartbeats. The owner calls it several times per heartbeat interval.
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

// step identifies one phase of one generation. A callback ignores its answer if the engine has left the step in which it made the call.
type step struct {
	generation uint64
	phase      phase
}

func (e *Engine) step() step { return step{e.generation, e.phase} }

// stepDown ends a campaign or a leadership. Pending commits fail with ErrLeadershipLost.
func (e *Engine) stepDown(reason string) {
	if e.phase == phaseIdle {
		return
	}
	e.log.Info("stepped down", "key", e.key, "epoch", e.epoch, "reason", reason)
	wasLeader := e.phase == phaseLeading
	e.phase = phaseIdle
	e.generation++
	pending := e.commits.takeAll()
	e.changes.clear()
	if e.leadership != nil {
		e.leadership.isOver.Store(true)
		e.leadership = nil
	}
	e.backOff()
	for _, commit := range pending {
		commit.done(ErrLeadershipLost)
	}
	if wasLeader {
		e.machine.Close()
	}
}
