// Package replication elects one leader at a time for each key and keeps the key's changes on a majority of disks. It is
// close to Raft, with these differences:
//
//   - A voter is a disk with a random name, not an address, so that a wiped disk is a new one and can't vote on what the old one knew.
//   - An epoch is what Raft calls a term. A vote is a promise, synced before it is given, to follow nobody of a lower epoch.
//   - A candidate that is elected without holding the furthest state fetches it from the voter that does, and then leads.
//   - A leader serves reads under a lease: voters that have answered it promise nobody else for Timing.Lease.
//   - Followers that are too far behind get a snapshot in chunks, and new disks are learners until they follow closely.
//
// Engine decides for one key; it has no goroutine, no socket and no clock of its own. Replicas is the table of what one disk
// holds, has promised and leases out. Package quorum counts majorities. Time comes through clock.Clock, calls go through
// Transport, and a StateMachine lives on the key while it is led here.
package replication

import (
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/clock"
)

// phase is how far an engine has come towards leading its key.
type phase int

const (
	// phaseIdle: another disk leads, or nobody.
	phaseIdle phase = iota
	// phaseCandidate: promises are being collected.
	phaseCandidate
	// phaseFetching: a majority has promised, but the own disk lacks changes.
	phaseFetching
	// phaseOpening: the own disk holds the furthest state, which the state machine does not have yet.
	phaseOpening
	// phaseLeading: the state machine is open.
	phaseLeading
)

// identity names the key, the disk on which the engine votes for it, and the process.
type identity struct {
	key  string
	disk string
	name string
}

// environment is all that an engine reaches beyond itself.
type environment struct {
	clock     clock.Clock
	transport Transport
	machine   StateMachine
	members   MemberSource
}

// Engine leads or seeks to lead one key. All methods belong to one goroutine, on which the answers of its calls come back too.
type Engine struct {
	identity
	environment
	options

	phase phase
	// generation rises whenever the engine begins a campaign, moves from pre-vote to vote, or steps down. An answer to a call
	// of an earlier generation is dropped, so that nothing of an ended leadership touches the next.
	generation uint64
	// epoch is that of the leadership, or of the last one. No other disk ever leads under the same.
	epoch         uint64
	campaignState campaignState

	// The fields from here on belong to a leadership, and begin anew with each in openLeadership.
	leadership *Leadership
	// changes ends with the last change that this leader has proposed; a follower's position is compared with it.
	changes changeLog
	commits commitQueue
	voters  voterState
	// followers are those the leader sends to, by disk: voters, learners and its own disk.
	followers map[string]*followerProgress
	// lastLeaseAt is when a quorum last vouched for this leader.
	lastLeaseAt time.Duration
	snapshots   snapshotReader
	progress    progressHistory
	slowness    slownessWatch
	shortage    shortageWatch
	preferred   preferredWatch

	leaving leaveRequest
}

// NewEngine makes an engine for one key on the replica of one disk; it does nothing before the first Tick.
func NewEngine(key, disk, name string, clock clock.Clock, transport Transport, machine StateMachine, members MemberSource, opts ...Option) *Engine {
	engine := &Engine{identity: identity{key: key, disk: disk, name: name}, options: defaultOptions(),
		environment: environment{clock: clock, transport: transport, machine: machine, members: members}}
	for _, option := range opts {
		option(&engine.options)
	}
	return engine
}

// IsLeader tells whether the engine leads the key; whether it may answer for it is up to the lease.
func (e *Engine) IsLeader() bool { return e.phase == phaseLeading }

// Epoch is the epoch under which the engine leads the key, or last did.
func (e *Engine) Epoch() uint64 { return e.epoch }

// Belief is what the engine would tell an operator of its key.
func (e *Engine) Belief() wire.KeyBelief {
	return wire.KeyBelief{Key: e.key, Epoch: e.epoch, Last: e.changes.last, Voters: e.voters.set}
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

// step is a phase within a generation. What is done after a call came back is only right if the engine is still in the step in
// which it made the call.
type step struct {
	generation uint64
	phase      phase
}

func (e *Engine) step() step { return step{e.generation, e.phase} }

// stepDown ends a candidacy or a leadership; changes that are not yet committed end with ErrLeadershipLost.
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
