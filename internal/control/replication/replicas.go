// Package replication elects one leader at a time for each control key and keeps its changes on a majority of
// disks. An Engine decides for one key, Replicas keep what one disk holds.
package replication

import (
	"context"
	"slices"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/storage"
	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/mailbox"
)

// Disk is where replicas are kept; storage.Store is the real one.
type Disk interface {
	// Disk is the name of the disk.
	Disk() string
	// IsNew says whether the disk was empty when it was opened.
	IsNew() bool
	// Submit queues a write; done gets its outcome after the sync.
	Submit(write storage.Write, done func(storage.Outcome))
	// ReplicaStates are the states of all replicas on the disk, by key.
	ReplicaStates() (map[string]storage.ReplicaState, error)
	// Read gives the whole state of a replica.
	Read(key string) (wire.Snapshot, error)
}

type localReplica struct {
	state       storage.ReplicaState
	promised   uint64
	leaseUntil  time.Duration
	leaseHolderDisk   string
	leaseHolder string
	released    bool
	releasedAt  time.Duration
	successor   string

	releasedEpoch uint64
	history       history
	incomingChunks        chunkBuffer
	// isRemoved tells that the leader has committed a voter set without this disk, which was leaving.
	isVotedOut bool
	// outgoing is the state as it was last read for a candidate that fetches it in chunks.
	outgoing *snapshotTransfer
}

// Replicas is the table of this disk's replicas: what it promised, holds and leases out.
type Replicas struct {
	mailbox        *mailbox.Mailbox
	disk       Disk
	clock      clock.Clock
	lease      time.Duration
	promisesBlockedUntil time.Duration
	keys       map[string]*localReplica
	isLeaving  bool
}

// NewReplicas makes the table of a disk's replicas; a disk that was used before promises nothing for a lease.
func NewReplicas(inbox *mailbox.Mailbox, disk Disk, clock clock.Clock, lease time.Duration) (*Replicas, error) {
	states, err := disk.ReplicaStates()
	if err != nil {
		return nil, err
	}
	table := &Replicas{mailbox: inbox, disk: disk, clock: clock, lease: lease, keys: map[string]*localReplica{}}
	for key, state := range states {
		table.keys[key] = &localReplica{state: state, promised: state.Promised}
	}
	if !disk.IsNew() {
		table.promisesBlockedUntil = clock.Monotonic() + lease
	}
	return table, nil
}

// Mailbox is the mailbox of the goroutine that owns the table.
func (r *Replicas) Mailbox() *mailbox.Mailbox { return r.mailbox }

func (r *Replicas) replicaOf(key string) *localReplica {
	replica := r.keys[key]
	if replica == nil {
		replica = &localReplica{}
		r.keys[key] = replica
	}
	return replica
}

// Promise must run on the table's goroutine.
func (r *Replicas) Promise(call wire.PromiseCall, answer func(wire.PromiseAnswer)) {
	replica, now := r.replicaOf(call.Key), r.clock.Monotonic()
	isLeased := now < replica.leaseUntil && replica.leaseHolderDisk != call.Disk
	if isLeased || now < r.promisesBlockedUntil || call.Epoch <= replica.promised {
		answer(r.promiseAnswer(replica.state, max(replica.promised, replica.state.Promised), false))
		return
	}
	if call.PreVote {
		answer(r.promiseAnswer(replica.state, replica.promised, true))
		return
	}
	replica.promised = call.Epoch
	replica.leaseUntil = 0
	r.disk.Submit(storage.Write{Key: call.Key, Epoch: call.Epoch, Promise: true}, func(outcome storage.Outcome) {
		r.mailbox.Post(func() {
			r.applyOutcome(replica, outcome)
			answer(r.promiseAnswer(outcome.Head, call.Epoch, outcome.Taken))
		})
	})
}

func (r *Replicas) promiseAnswer(state storage.ReplicaState, promised uint64, isGranted bool) wire.PromiseAnswer {
	return wire.PromiseAnswer{Granted: isGranted, Promised: promised, Last: state.Last, Set: state.Set, Disk: r.disk.Disk()}
}

func (r *Replicas) applyOutcome(replica *localReplica, outcome storage.Outcome) {
	if outcome.Err == nil {
		if outcome.Head.Last != replica.state.Last {
			replica.outgoing = nil
		}
		replica.state = outcome.Head
		replica.promised = max(replica.promised, outcome.Head.Promised)
	}
}

// Append must run on the table's goroutine.
func (r *Replicas) Append(call wire.AppendCall, answer func(wire.AppendAnswer)) {
	replica, now := r.replicaOf(call.Key), r.clock.Monotonic()
	if call.Epoch < replica.promised {
		answer(r.appendAnswer(replica.state.Last, replica.promised, false))
		return
	}
	// Also a call without changes ends all older epochs here; else an old leader could take the lease of this one.
	replica.promised = call.Epoch
	if call.Release {
		replica.noteRelease(now, call.Epoch, call.Successor)
		answer(r.appendAnswer(replica.state.Last, replica.promised, true))
		return
	}
	if call.VotedOut {
		replica.isVotedOut = true
	}
	if call.Epoch > replica.releasedEpoch {
		replica.leaseUntil, replica.leaseHolderDisk, replica.leaseHolder, replica.released = now+r.lease, call.Disk, call.Owner, false
	}
	if call.Chunk != nil {
		replica.incomingChunks.take(call.Chunk)
		if !replica.incomingChunks.isComplete(call.Chunk) {
			response := r.appendAnswer(replica.state.Last, replica.promised, false)
			response.Chunks = replica.incomingChunks.count
			answer(response)
			return
		}
		call.Snapshot = &wire.Snapshot{Last: call.Chunk.At, Set: call.Chunk.Set, Pairs: replica.incomingChunks.pairs}
		replica.incomingChunks = chunkBuffer{}
	}
	if len(call.Changes) == 0 && call.Snapshot == nil {
		answer(r.appendAnswer(replica.state.Last, replica.promised, call.Epoch == replica.state.Promised && replica.state.Last == call.Prev))
		return
	}
	write := storage.Write{Key: call.Key, Epoch: call.Epoch, Prev: call.Prev, Changes: call.Changes, Snapshot: call.Snapshot}
	r.disk.Submit(write, func(outcome storage.Outcome) {
		r.mailbox.Post(func() {
			r.applyOutcome(replica, outcome)
			if outcome.Taken {
				replica.history.take(call)
			}
			answer(r.appendAnswer(replica.state.Last, replica.promised, outcome.Taken))
		})
	})
}

// noteRelease ends the lease of an epoch; what its owner sent before and comes later brings no new one.
func (r *localReplica) noteRelease(now time.Duration, epoch uint64, successor string) {
	r.leaseUntil, r.released, r.releasedAt, r.releasedEpoch, r.successor = 0, true, now, epoch, successor
}

func (r *Replicas) appendAnswer(last wire.LogPosition, promised uint64, isTaken bool) wire.AppendAnswer {
	return wire.AppendAnswer{Taken: isTaken, Promised: promised, Last: last, Disk: r.disk.Disk(), WallMs: r.clock.WallMs(),
		Leaving: r.isLeaving}
}

// Leave lets each answer say that the process is about to end, so that leaders replace this disk as a voter. It must run
// on the table's goroutine.
func (r *Replicas) Leave() { r.isLeaving = true }

// VotingKeys gives the voter sets of the keys in which this disk votes, as far as it knows. It must run on the table's
// goroutine.
func (r *Replicas) VotingKeys() map[string]wire.VoterSet {
	sets := map[string]wire.VoterSet{}
	for key, replica := range r.keys {
		if !replica.isVotedOut && slices.Contains(disksOf(replica.state.Set), r.disk.Disk()) {
			sets[key] = replica.state.Set
		}
	}
	return sets
}

// Fetch gives the changes after a position if the history has them, else the state as the disk has it, or a chunk of it.
// It may run on any goroutine.
func (r *Replicas) Fetch(recent History, call wire.FetchCall) (wire.FetchAnswer, error) {
	answer := wire.FetchAnswer{Disk: r.disk.Disk()}
	if call.From != nil {
		if changes, isKept := recent.after(*call.From); isKept {
			answer.Found, answer.Changes = true, changes
			if call.Chunked {
				answer.Changes = changes[:countForOneCall(changes)]
			}
			return answer, nil
		}
	}
	if call.Chunked {
		return r.fetchChunk(recent.outgoing, call, answer)
	}
	snapshot, err := r.disk.Read(call.Key)
	answer.Found, answer.Snapshot = snapshot.Last != wire.LogPosition{}, snapshot
	return answer, err
}

func (r *Replicas) fetchChunk(outgoing *snapshotTransfer, call wire.FetchCall, answer wire.FetchAnswer) (wire.FetchAnswer, error) {
	if outgoing == nil {
		snapshot, err := r.disk.Read(call.Key)
		if err != nil {
			return answer, err
		}
		outgoing = newSnapshotTransfer(snapshot)
		r.keepOutgoing(call.Key, outgoing)
	}
	answer.Found = outgoing.snapshot.Last != wire.LogPosition{}
	answer.Chunk = outgoing.chunk(min(call.Number, outgoing.count()-1))
	return answer, nil
}

// keepOutgoing spares the next call the reading, as long as the replica stays at that position.
func (r *Replicas) keepOutgoing(key string, outgoing *snapshotTransfer) {
	r.mailbox.TryPost(func() {
		if replica := r.replicaOf(key); replica.state.Last == outgoing.snapshot.Last {
			replica.outgoing = outgoing
		}
	})
}

// History gives the last changes that this disk took, one after the other, up to what it holds.
func (r *Replicas) History(key string) History {
	replica := r.replicaOf(key)
	return History{Base: replica.history.base, Changes: slices.Clone(replica.history.changes), outgoing: replica.outgoing}
}

// ReplicaStatus is what an engine asks before it seeks an epoch.
type ReplicaStatus struct {
	State    storage.ReplicaState
	Promised uint64
	LeaseUntil time.Duration
	LeaseHolderDisk     string
	LeaseHolder   string
	Released bool
	// ReleasedAt and Heir belong to the release.
	ReleasedAt time.Duration
	Successor  string
}

// Status is what an engine has to know of a replica before it seeks an epoch.
func (r *Replicas) Status(key string) ReplicaStatus {
	replica := r.replicaOf(key)
	return ReplicaStatus{State: replica.state, Promised: replica.promised, LeaseUntil: max(replica.leaseUntil, r.promisesBlockedUntil), LeaseHolderDisk: replica.leaseHolderDisk,
		LeaseHolder: replica.leaseHolder, Released: replica.released, ReleasedAt: replica.releasedAt, Successor: replica.successor}
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
	return mailbox.Ask(r.mailbox, ctx, func(answer func(wire.PromiseAnswer)) { r.Promise(call, answer) })
}

// AskAppend is Append for other goroutines; the answer carries the time that it took.
func (r *Replicas) AskAppend(ctx context.Context, call wire.AppendCall) (wire.AppendAnswer, error) {
	arrivedAt := r.clock.Monotonic()
	return mailbox.Ask(r.mailbox, ctx, func(answer func(wire.AppendAnswer)) {
		r.Append(call, func(response wire.AppendAnswer) {
			response.DelayUs = max(1, (r.clock.Monotonic() - arrivedAt).Microseconds())
			answer(response)
		})
	})
}

// AskFetch is Fetch for other goroutines; it reads the disk on the caller's goroutine.
func (r *Replicas) AskFetch(ctx context.Context, call wire.FetchCall) (wire.FetchAnswer, error) {
	recent, err := mailbox.Ask(r.mailbox, ctx, func(answer func(History)) { answer(r.History(call.Key)) })
	if err != nil {
		return wire.FetchAnswer{}, err
	}
	return r.Fetch(recent, call)
}

// AskStatus is Status for other goroutines.
func (r *Replicas) AskStatus(ctx context.Context, key string) (ReplicaStatus, error) {
	return mailbox.Ask(r.mailbox, ctx, func(answer func(ReplicaStatus)) { answer(r.Status(key)) })
}
