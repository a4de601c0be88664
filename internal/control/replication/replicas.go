package replication

import (
	"context"
	"slices"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/replication/quorum"
	"gannetline/internal/control/storage"
	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/logging"
	"gannetline/internal/platform/mailbox"
)

// Disk stores replicas. The production implementation is storage.Store.
type Disk interface {
	// Disk returns the name of the disk.
	Disk() string
	// IsNew reports whether the disk was empty when it was opened.
	IsNew() bool
	// Submit queues a write. done gets the outcome after the sync.
	Submit(write storage.Write, done func(storage.Outcome))
	// ReplicaStates returns the states of all replicas on the disk, by key.
	ReplicaStates() (map[string]storage.ReplicaState, error)
	// Read returns the snapshot of a replica.
	Read(key string) (wire.Snapshot, error)
}

// localReplica is the in-memory state of one replica on the local disk.
type localReplica struct {
	// state is the synced state. promised is the highest epoch of a promise or of a leader's call, even if that epoch is not synced
	// yet. It is never below state.Promised.
	state    storage.ReplicaState
	promised uint64
	lease    grantedLease
	release  releasedLease
	history  history
	// incomingChunks holds the chunks of a snapshot that a leader is sending.
	incomingChunks chunkBuffer
	// isVotedOut is set once the leader has committed a voter set without this disk while the process is shutting down.
	isVotedOut bool
	// outgoing is the snapshot that was last read for a candidate that fetches it in chunks; nil if there is none.
	outgoing *snapshotTransfer
}

// grantedLease is a replica's lease to a leader. Until its end the replica grants no promise to another disk.
type grantedLease struct {
	until      time.Duration
	holderDisk string
	holder     string
}

// releasedLease records that the leader of an epoch released the key, and the disk that should campaign first.
type releasedLease struct {
	isReleased bool
	at         time.Duration
	epoch      uint64
	successor  string
}

// Replicas is the table of the local disk's replicas with their states, promises and granted leases. It belongs to the goroutine of
// its mailbox.
type Replicas struct {
	mailbox *mailbox.Mailbox
	disk    Disk
	clock   clock.Clock
	// lease is the duration of the leases that the replicas grant.
	lease time.Duration
	// promisesBlockedUntil is the end of the first lease duration after a restart. Until then no promise is granted, since the leases
	// that the previous process granted are unknown. It is 0 if the disk was new.
	promisesBlockedUntil time.Duration
	replicas             map[string]*localReplica
	isLeaving            bool
	log                  logging.Logger
}

// ReplicasOption changes an optional setting of a table of replicas.
type ReplicasOption func(*Replicas)

// WithReplicasLog sets the table's logger. Without it the table logs nothing.
func WithReplicasLog(log logging.Logger) ReplicasOption { return func(r *Replicas) { r.log = log } }

// NewReplicas returns the table of a disk's replicas. If the disk is not new, the table grants no promise for one lease. NewReplicas
// returns an error if the disk can't be read.
func NewReplicas(inbox *mailbox.Mailbox, disk Disk, clock clock.Clock, lease time.Duration, options ...ReplicasOption) (*Replicas, error) {
	states, err := disk.ReplicaStates()
	if err != nil {
		return nil, err
	}
	table := &Replicas{mailbox: inbox, disk: disk, clock: clock, lease: lease, replicas: map[string]*localReplica{}, log: logging.Silent()}
	for _, option := range options {
		option(table)
	}
	for key, state := range states {
		table.replicas[key] = &localReplica{state: state, promised: state.Promised}
		table.logOpened(key, state)
	}
	if !disk.IsNew() {
		table.promisesBlockedUntil = clock.Monotonic() + lease
	}
	return table, nil
}

// Mailbox returns the mailbox of the goroutine that owns the table.
func (r *Replicas) Mailbox() *mailbox.Mailbox { return r.mailbox }

// replicaOf returns the replica of a key. It adds an empty one if there is none yet.
func (r *Replicas) replicaOf(key string) *localReplica {
	replica := r.replicas[key]
	if replica == nil {
		replica = &localReplica{}
		r.replicas[key] = replica
	}
	return replica
}

// Promise answers a candidate's request for a promise or a pre-vote. It refuses while another disk holds the lease, for the duration
// of one lease after a restart, and if the epoch is not above all promised ones. A promise is synced before it is sent; a pre-vote changes
// nothing. Promise must run on the table's goroutine.
func (r *Replicas) Promise(call wire.PromiseCall, answer func(wire.PromiseAnswer)) {
	replica, now := r.replicaOf(call.Key), r.clock.Monotonic()
	isLeasedToOther := now < replica.lease.until && replica.lease.holderDisk != call.Disk
	if isLeasedToOther || now < r.promisesBlockedUntil || call.Epoch <= replica.promised {
		answer(r.newPromiseAnswer(replica.state, max(replica.promised, replica.state.Promised), false))
		return
	}
	if call.PreVote {
		answer(r.newPromiseAnswer(replica.state, replica.promised, true))
		return
	}
	replica.promised = call.Epoch
	replica.lease.until = 0
	r.disk.Submit(storage.Write{Key: call.Key, Epoch: call.Epoch, Promise: true}, func(outcome storage.Outcome) {
		r.mailbox.Post(func() {
			replica.applyOutcome(outcome)
			r.logPromise(call, outcome)
			answer(r.newPromiseAnswer(outcome.State, call.Epoch, outcome.Taken))
		})
	})
}

func (r *Replicas) newPromiseAnswer(state storage.ReplicaState, promised uint64, isGranted bool) wire.PromiseAnswer {
	return wire.PromiseAnswer{Granted: isGranted, Promised: promised, Last: state.Last, Voters: state.Voters, Disk: r.disk.Disk()}
}

// applyOutcome updates the replica from the outcome of a write. The outcome of a failed write is ignored, as its effect is unknown.
func (replica *localReplica) applyOutcome(outcome storage.Outcome) {
	if outcome.Err != nil {
		return
	}
	if outcome.State.Last != replica.state.Last {
		replica.outgoing = nil
	}
	replica.state = outcome.State
	replica.promised = max(replica.promised, outcome.State.Promised)
}

// Append processes a leader's changes, snapshot, chunk, heartbeat or release. It grants the leader a lease; a release ends it. A leader
// whose epoch is below the promised one is refused. Changes and a complete snapshot are synced before the answer.
// Append must run on the table's goroutine.
func (r *Replicas) Append(call wire.AppendCall, answer func(wire.AppendAnswer)) {
	replica, now := r.replicaOf(call.Key), r.clock.Monotonic()
	if call.Epoch < replica.promised {
		answer(r.newAppendAnswer(replica, false))
		return
	}
	// A call without changes also ends all older epochs. Otherwise an old leader could take over the lease of this one.
	replica.promised = call.Epoch
	if call.Release {
		replica.recordRelease(now, call.Epoch, call.Successor)
		answer(r.newAppendAnswer(replica, true))
		return
	}
	if call.VotedOut {
		replica.isVotedOut = true
	}
	replica.grantLease(call, now+r.lease)
	if call.Chunk != nil && !replica.completeSnapshot(&call) {
		response := r.newAppendAnswer(replica, false)
		response.Chunks = replica.incomingChunks.count
		answer(response)
		return
	}
	if len(call.Changes) == 0 && call.Snapshot == nil {
		answer(r.newAppendAnswer(replica, call.Epoch == replica.state.Promised && replica.state.Last == call.Prev))
		return
	}
	r.write(replica, call, answer)
}

// write submits the changes or the snapshot of a call to the disk, and answers after the sync.
func (r *Replicas) write(replica *localReplica, call wire.AppendCall, answer func(wire.AppendAnswer)) {
	write := storage.Write{Key: call.Key, Epoch: call.Epoch, Prev: call.Prev, Changes: call.Changes, Snapshot: call.Snapshot}
	r.disk.Submit(write, func(outcome storage.Outcome) {
		r.mailbox.Post(func() {
			replica.applyOutcome(outcome)
			if outcome.Taken {
				replica.history.add(call)
			}
			answer(r.newAppendAnswer(replica, outcome.Taken))
		})
	})
}

// grantLease grants the lease to the leader of a call until the given time, unless the epoch of the call has been released. So a call
// that the leader sent before its release but that arrives after it renews no lease.
func (replica *localReplica) grantLease(call wire.AppendCall, until time.Duration) {
	if call.Epoch > replica.release.epoch {
		replica.lease = grantedLease{until: until, holderDisk: call.Disk, holder: call.Leader}
		replica.release.isReleased = false
	}
}

// recordRelease ends the lease of an epoch and records the release.
func (replica *localReplica) recordRelease(now time.Duration, epoch uint64, successor string) {
	replica.lease.until = 0
	replica.release = releasedLease{isReleased: true, at: now, epoch: epoch, successor: successor}
}

// completeSnapshot stores the chunk of a call. Once all chunks have been received, it puts the whole snapshot into the call and
// returns true.
func (replica *localReplica) completeSnapshot(call *wire.AppendCall) bool {
	replica.incomingChunks.add(call.Chunk)
	if !replica.incomingChunks.isComplete(call.Chunk) {
		return false
	}
	call.Snapshot = &wire.Snapshot{Last: call.Chunk.At, Voters: call.Chunk.Voters, Pairs: replica.incomingChunks.pairs}
	replica.incomingChunks = chunkBuffer{}
	return true
}

func (r *Replicas) newAppendAnswer(replica *localReplica, isTaken bool) wire.AppendAnswer {
	return wire.AppendAnswer{Taken: isTaken, Promised: replica.promised, Last: replica.state.Last, Disk: r.disk.Disk(),
		WallMs: r.clock.WallMs(), Leaving: r.isLeaving}
}

// Leave marks all further answers of Append as answers of a process that is shutting down, so that leaders replace this disk as a
// voter. It must run on the table's goroutine.
func (r *Replicas) Leave() { r.isLeaving = true }

// VotingKeys returns the voter sets, by key, in which this disk votes according to its own replicas. It must run on the table's
// goroutine.
func (r *Replicas) VotingKeys() map[string]wire.VoterSet {
	sets := map[string]wire.VoterSet{}
	for key, replica := range r.replicas {
		if !replica.isVotedOut && quorum.Contains(replica.state.Voters, r.disk.Disk()) {
			sets[key] = replica.state.Voters
		}
	}
	return sets
}

// History returns the most recent changes that this disk accepted for a key. It must run on the table's goroutine.
func (r *Replicas) History(key string) History {
	replica := r.replicaOf(key)
	return History{Base: replica.history.base, Changes: slices.Clone(replica.history.changes), outgoing: replica.outgoing}
}

// ReplicaStatus is the state of a replica that an engine needs before it campaigns.
type ReplicaStatus struct {
	State storage.ReplicaState
	// Promised is the highest epoch of a promise or of a leader's call, even if that epoch is not synced yet.
	Promised uint64
	// LeaseUntil is when the replica may grant another disk a promise, on this process's monotonic clock: at the end of the granted lease,
	// and not before one lease after a restart. LeaseHolderDisk and LeaseHolder are the disk and the name of the leader that was last
	// granted a lease.
	LeaseUntil      time.Duration
	LeaseHolderDisk string
	LeaseHolder     string
	// Released is set if the lease holder released the key, at ReleasedAt. Successor is the disk that should campaign first, or empty.
	Released   bool
	ReleasedAt time.Duration
	Successor  string
}

// Status returns the status of the replica of a key. It must run on the table's goroutine.
func (r *Replicas) Status(key string) ReplicaStatus {
	replica := r.replicaOf(key)
	lease, release := replica.lease, replica.release
	return ReplicaStatus{State: replica.state, Promised: replica.promised, LeaseUntil: max(lease.until, r.promisesBlockedUntil),
		LeaseHolderDisk: lease.holderDisk, LeaseHolder: lease.holder, Released: release.isReleased, ReleasedAt: release.at,
		Successor: release.successor}
}

// Keys returns the keys of all replicas, in no particular order. It must run on the table's goroutine.
func (r *Replicas) Keys() []string {
	keys := make([]string, 0, len(r.replicas))
	for key := range r.replicas {
		keys = append(keys, key)
	}
	return keys
}

// AskPromise is Promise for other goroutines. It returns an error if ctx is done before the answer.
func (r *Replicas) AskPromise(ctx context.Context, call wire.PromiseCall) (wire.PromiseAnswer, error) {
	return mailbox.Ask(ctx, r.mailbox, func(answer func(wire.PromiseAnswer)) { r.Promise(call, answer) })
}

// AskAppend is Append for other goroutines. The answer contains the time since the arrival of the call. AskAppend returns an error if
// ctx is done before the answer.
func (r *Replicas) AskAppend(ctx context.Context, call wire.AppendCall) (wire.AppendAnswer, error) {
	arrivedAt := r.clock.Monotonic()
	return mailbox.Ask(ctx, r.mailbox, func(answer func(wire.AppendAnswer)) {
		r.Append(call, func(response wire.AppendAnswer) {
			response.DelayUs = max(1, (r.clock.Monotonic() - arrivedAt).Microseconds())
			answer(response)
		})
	})
}

// AskStatus is Status for other goroutines. It returns an error if ctx is done before the answer.
func (r *Replicas) AskStatus(ctx context.Context, key string) (ReplicaStatus, error) {
	return mailbox.Ask(ctx, r.mailbox, func(answer func(ReplicaStatus)) { answer(r.Status(key)) })
}
