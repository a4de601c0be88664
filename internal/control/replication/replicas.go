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

// Disk is where replicas are kept; storage.Store is the real one.
type Disk interface {
	// Disk is the name of the disk.
	Disk() string
	// IsNew tells whether the disk was empty when it was opened.
	IsNew() bool
	// Submit queues a write; done gets its outcome after the sync.
	Submit(write storage.Write, done func(storage.Outcome))
	// ReplicaStates are the states of all replicas on the disk, by key.
	ReplicaStates() (map[string]storage.ReplicaState, error)
	// Read gives the snapshot of a replica.
	Read(key string) (wire.Snapshot, error)
}

// localReplica is what this process knows of one replica of its disk.
type localReplica struct {
	// state is what is synced; promised is the highest epoch that is promised or being promised, never below state.Promised.
	state    storage.ReplicaState
	promised uint64
	lease    grantedLease
	release  releasedLease
	history  history
	// incomingChunks are those of a snapshot that a leader sends.
	incomingChunks chunkBuffer
	// isVotedOut tells that the leader has committed a voter set without this disk, which was leaving.
	isVotedOut bool
	// outgoing is the state as it was last read for a candidate that fetches it in chunks.
	outgoing *snapshotTransfer
}

// grantedLease is the promise of a replica to a leader that no other disk is promised an epoch before the end.
type grantedLease struct {
	until      time.Duration
	holderDisk string
	holder     string
}

// releasedLease tells that the leader of an epoch gave the key back, and which disk should ask first.
type releasedLease struct {
	isReleased bool
	at         time.Duration
	epoch      uint64
	successor  string
}

// Replicas is the table of this disk's replicas: what each promised, holds and leases out. It belongs to the goroutine of its
// mailbox.
type Replicas struct {
	mailbox *mailbox.Mailbox
	disk    Disk
	clock   clock.Clock
	// lease is the length of the leases that it grants.
	lease time.Duration
	// promisesBlockedUntil ends the first lease after a restart: this process doesn't know what the one before it granted.
	promisesBlockedUntil time.Duration
	keys                 map[string]*localReplica
	isLeaving            bool
	log                  logging.Logger
}

// ReplicasOption changes how a table of replicas is made.
type ReplicasOption func(*Replicas)

// WithReplicasLog gives the table a logger; without it, it logs nothing.
func WithReplicasLog(log logging.Logger) ReplicasOption { return func(r *Replicas) { r.log = log } }

// NewReplicas makes the table of a disk's replicas; a disk that was used before promises nothing for a lease. The error is
// that of reading the disk.
func NewReplicas(inbox *mailbox.Mailbox, disk Disk, clock clock.Clock, lease time.Duration, options ...ReplicasOption) (*Replicas, error) {
	states, err := disk.ReplicaStates()
	if err != nil {
		return nil, err
	}
	table := &Replicas{mailbox: inbox, disk: disk, clock: clock, lease: lease, keys: map[string]*localReplica{}, log: logging.Silent()}
	for _, option := range options {
		option(table)
	}
	for key, state := range states {
		table.keys[key] = &localReplica{state: state, promised: state.Promised}
		table.logOpened(key, state)
	}
	if !disk.IsNew() {
		table.promisesBlockedUntil = clock.Monotonic() + lease
	}
	return table, nil
}

// Mailbox is that of the goroutine that owns the table.
func (r *Replicas) Mailbox() *mailbox.Mailbox { return r.mailbox }

// replicaOf gives the replica of a key, an empty one if the disk has none yet.
func (r *Replicas) replicaOf(key string) *localReplica {
	replica := r.keys[key]
	if replica == nil {
		replica = &localReplica{}
		r.keys[key] = replica
	}
	return replica
}

// Promise answers a candidate. It refuses while another disk holds the lease, and an epoch that is not above all that were
// promised; a promise is synced before it is given. It must run on the table's goroutine.
func (r *Replicas) Promise(call wire.PromiseCall, answer func(wire.PromiseAnswer)) {
	replica, now := r.replicaOf(call.Key), r.clock.Monotonic()
	isLeased := now < replica.lease.until && replica.lease.holderDisk != call.Disk
	if isLeased || now < r.promisesBlockedUntil || call.Epoch <= replica.promised {
		answer(r.promiseAnswer(replica.state, max(replica.promised, replica.state.Promised), false))
		return
	}
	if call.PreVote {
		answer(r.promiseAnswer(replica.state, replica.promised, true))
		return
	}
	replica.promised = call.Epoch
	replica.lease.until = 0
	r.disk.Submit(storage.Write{Key: call.Key, Epoch: call.Epoch, Promise: true}, func(outcome storage.Outcome) {
		r.mailbox.Post(func() {
			replica.applyOutcome(outcome)
			r.logPromise(call, outcome)
			answer(r.promiseAnswer(outcome.State, call.Epoch, outcome.Taken))
		})
	})
}

func (r *Replicas) promiseAnswer(state storage.ReplicaState, promised uint64, isGranted bool) wire.PromiseAnswer {
	return wire.PromiseAnswer{Granted: isGranted, Promised: promised, Last: state.Last, Voters: state.Voters, Disk: r.disk.Disk()}
}

// applyOutcome takes what a write has left on the disk; one that failed tells nothing.
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

// Append takes a leader's changes, snapshot, chunk, heartbeat or release, and grants it a lease; it refuses a leader whose
// epoch is below what was promised. The answer comes after the sync. It must run on the table's goroutine.
func (r *Replicas) Append(call wire.AppendCall, answer func(wire.AppendAnswer)) {
	replica, now := r.replicaOf(call.Key), r.clock.Monotonic()
	if call.Epoch < replica.promised {
		answer(r.appendAnswer(replica, false))
		return
	}
	// Also a call without changes ends all older epochs here; else an old leader could take the lease of this one.
	replica.promised = call.Epoch
	if call.Release {
		replica.noteRelease(now, call.Epoch, call.Successor)
		answer(r.appendAnswer(replica, true))
		return
	}
	if call.VotedOut {
		replica.isVotedOut = true
	}
	replica.grantLease(call, now+r.lease)
	if call.Chunk != nil && !replica.completeSnapshot(&call) {
		response := r.appendAnswer(replica, false)
		response.Chunks = replica.incomingChunks.count
		answer(response)
		return
	}
	if len(call.Changes) == 0 && call.Snapshot == nil {
		answer(r.appendAnswer(replica, call.Epoch == replica.state.Promised && replica.state.Last == call.Prev))
		return
	}
	r.write(replica, call, answer)
}

// write brings the changes or the snapshot of a call to the disk.
func (r *Replicas) write(replica *localReplica, call wire.AppendCall, answer func(wire.AppendAnswer)) {
	write := storage.Write{Key: call.Key, Epoch: call.Epoch, Prev: call.Prev, Changes: call.Changes, Snapshot: call.Snapshot}
	r.disk.Submit(write, func(outcome storage.Outcome) {
		r.mailbox.Post(func() {
			replica.applyOutcome(outcome)
			if outcome.Taken {
				replica.history.take(call)
			}
			answer(r.appendAnswer(replica, outcome.Taken))
		})
	})
}

// grantLease lets the leader of the call keep others out until that moment, unless it has released its epoch before: a call
// that it sent earlier and that comes later brings no new lease.
func (replica *localReplica) grantLease(call wire.AppendCall, until time.Duration) {
	if call.Epoch > replica.release.epoch {
		replica.lease = grantedLease{until: until, holderDisk: call.Disk, holder: call.Leader}
		replica.release.isReleased = false
	}
}

// noteRelease ends the lease of an epoch.
func (replica *localReplica) noteRelease(now time.Duration, epoch uint64, successor string) {
	replica.lease.until = 0
	replica.release = releasedLease{isReleased: true, at: now, epoch: epoch, successor: successor}
}

// completeSnapshot keeps the chunk of a call; once all chunks are here, the call carries the snapshot in its place.
func (replica *localReplica) completeSnapshot(call *wire.AppendCall) bool {
	replica.incomingChunks.take(call.Chunk)
	if !replica.incomingChunks.isComplete(call.Chunk) {
		return false
	}
	call.Snapshot = &wire.Snapshot{Last: call.Chunk.At, Voters: call.Chunk.Voters, Pairs: replica.incomingChunks.pairs}
	replica.incomingChunks = chunkBuffer{}
	return true
}

func (r *Replicas) appendAnswer(replica *localReplica, isTaken bool) wire.AppendAnswer {
	return wire.AppendAnswer{Taken: isTaken, Promised: replica.promised, Last: replica.state.Last, Disk: r.disk.Disk(),
		WallMs: r.clock.WallMs(), Leaving: r.isLeaving}
}

// Leave lets each answer say that the process is about to end, so that leaders replace this disk as a voter. It must run
// on the table's goroutine.
func (r *Replicas) Leave() { r.isLeaving = true }

// VotingKeys gives the voter sets of the keys in which this disk votes, as far as it knows. It must run on the table's
// goroutine.
func (r *Replicas) VotingKeys() map[string]wire.VoterSet {
	sets := map[string]wire.VoterSet{}
	for key, replica := range r.keys {
		if !replica.isVotedOut && quorum.Contains(replica.state.Voters, r.disk.Disk()) {
			sets[key] = replica.state.Voters
		}
	}
	return sets
}

// History gives the last changes that this disk took, one after the other, up to what it holds.
func (r *Replicas) History(key string) History {
	replica := r.replicaOf(key)
	return History{Base: replica.history.base, Changes: slices.Clone(replica.history.changes), outgoing: replica.outgoing}
}

// ReplicaStatus is what an engine asks before it seeks an epoch.
type ReplicaStatus struct {
	State storage.ReplicaState
	// Promised is the highest epoch that the replica has promised or is promising.
	Promised uint64
	// LeaseUntil is when the replica may promise again, on this process's monotonic clock; the holder is the leader it last
	// granted a lease.
	LeaseUntil      time.Duration
	LeaseHolderDisk string
	LeaseHolder     string
	// Released tells that the lease holder gave the key back, at ReleasedAt; Successor should ask first, if it is not empty.
	Released   bool
	ReleasedAt time.Duration
	Successor  string
}

// Status is what an engine has to know of a replica before it seeks an epoch.
func (r *Replicas) Status(key string) ReplicaStatus {
	replica := r.replicaOf(key)
	lease, release := replica.lease, replica.release
	return ReplicaStatus{State: replica.state, Promised: replica.promised, LeaseUntil: max(lease.until, r.promisesBlockedUntil),
		LeaseHolderDisk: lease.holderDisk, LeaseHolder: lease.holder, Released: release.isReleased, ReleasedAt: release.at,
		Successor: release.successor}
}

// Keys are the names of all replicas, in no order.
func (r *Replicas) Keys() []string {
	names := make([]string, 0, len(r.keys))
	for name := range r.keys {
		names = append(names, name)
	}
	return names
}

// AskPromise is Promise for other goroutines; the error says that ctx was done first.
func (r *Replicas) AskPromise(ctx context.Context, call wire.PromiseCall) (wire.PromiseAnswer, error) {
	return mailbox.Ask(ctx, r.mailbox, func(answer func(wire.PromiseAnswer)) { r.Promise(call, answer) })
}

// AskAppend is Append for other goroutines; the answer carries the time that it took.
func (r *Replicas) AskAppend(ctx context.Context, call wire.AppendCall) (wire.AppendAnswer, error) {
	arrivedAt := r.clock.Monotonic()
	return mailbox.Ask(ctx, r.mailbox, func(answer func(wire.AppendAnswer)) {
		r.Append(call, func(response wire.AppendAnswer) {
			response.DelayUs = max(1, (r.clock.Monotonic() - arrivedAt).Microseconds())
			answer(response)
		})
	})
}

// AskStatus is Status for other goroutines.
func (r *Replicas) AskStatus(ctx context.Context, key string) (ReplicaStatus, error) {
	return mailbox.Ask(ctx, r.mailbox, func(answer func(ReplicaStatus)) { answer(r.Status(key)) })
}
