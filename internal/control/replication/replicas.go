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
	// Bare says whether the disk was empty when it was opened.
	Bare() bool
	// Submit queues a write; done gets its outcome after the sync.
	Submit(write storage.Write, done func(storage.Outcome))
	// Heads are the states of all replicas on the disk, by key.
	Heads() (map[string]storage.ReplicaState, error)
	// Read gives the whole state of a replica.
	Read(key string) (wire.Snapshot, error)
}

type replica struct {
	state       storage.ReplicaState
	promising   uint64
	leaseUntil  time.Duration
	leaseDisk   string
	leaseLeader string
	released    bool
	releasedAt  time.Duration
	successor   string

	releasedEpoch uint64
	history       history
	chunks        chunkBuffer
	// isVotedOut tells that the leader has committed a voter set without this disk, which was leaving.
	isVotedOut bool
	// outgoing is the state as it was last read for a candidate that fetches it in chunks.
	outgoing *snapshotTransfer
}

// Replicas is the table of this disk's replicas: what it promised, holds and leases out.
type Replicas struct {
	box        *mailbox.Mailbox
	disk       Disk
	clock      clock.Clock
	lease      time.Duration
	quietUntil time.Duration
	keys       map[string]*replica
	isLeaving  bool
}

// NewReplicas makes the table of a disk's replicas; a disk that was used before promises nothing for a lease.
func NewReplicas(box *mailbox.Mailbox, disk Disk, clock clock.Clock, lease time.Duration) (*Replicas, error) {
	heads, err := disk.Heads()
	if err != nil {
		return nil, err
	}
	table := &Replicas{box: box, disk: disk, clock: clock, lease: lease, keys: map[string]*replica{}}
	for key, head := range heads {
		table.keys[key] = &replica{state: head, promising: head.Promised}
	}
	if !disk.Bare() {
		table.quietUntil = clock.Monotonic() + lease
	}
	return table, nil
}

// Box is the mailbox of the goroutine that owns the table.
func (r *Replicas) Box() *mailbox.Mailbox { return r.box }

func (r *Replicas) of(key string) *replica {
	one := r.keys[key]
	if one == nil {
		one = &replica{}
		r.keys[key] = one
	}
	return one
}

// Promise must run on the table's goroutine.
func (r *Replicas) Promise(call wire.PromiseCall, answer func(wire.PromiseAnswer)) {
	one, now := r.of(call.Key), r.clock.Monotonic()
	isLeased := now < one.leaseUntil && one.leaseDisk != call.Disk
	if isLeased || now < r.quietUntil || call.Epoch <= one.promising {
		answer(r.promiseAnswer(one.state, max(one.promising, one.state.Promised), false))
		return
	}
	if call.PreVote {
		answer(r.promiseAnswer(one.state, one.promising, true))
		return
	}
	one.promising = call.Epoch
	one.leaseUntil = 0
	r.disk.Submit(storage.Write{Key: call.Key, Epoch: call.Epoch, Promise: true}, func(outcome storage.Outcome) {
		r.box.Post(func() {
			r.learn(one, outcome)
			answer(r.promiseAnswer(outcome.Head, call.Epoch, outcome.Taken))
		})
	})
}

func (r *Replicas) promiseAnswer(head storage.ReplicaState, promised uint64, isGranted bool) wire.PromiseAnswer {
	return wire.PromiseAnswer{Granted: isGranted, Promised: promised, Last: head.Last, Set: head.Set, Disk: r.disk.Disk()}
}

func (r *Replicas) learn(one *replica, outcome storage.Outcome) {
	if outcome.Err == nil {
		if outcome.Head.Last != one.state.Last {
			one.outgoing = nil
		}
		one.state = outcome.Head
		one.promising = max(one.promising, outcome.Head.Promised)
	}
}

// Append must run on the table's goroutine.
func (r *Replicas) Append(call wire.AppendCall, answer func(wire.AppendAnswer)) {
	one, now := r.of(call.Key), r.clock.Monotonic()
	if call.Epoch < one.promising {
		answer(r.appendAnswer(one.state.Last, one.promising, false))
		return
	}
	// Also a call without changes ends all older epochs here; else an old leader could take the lease of this one.
	one.promising = call.Epoch
	if call.Release {
		one.release(now, call.Epoch, call.Successor)
		answer(r.appendAnswer(one.state.Last, one.promising, true))
		return
	}
	if call.VotedOut {
		one.isVotedOut = true
	}
	if call.Epoch > one.releasedEpoch {
		one.leaseUntil, one.leaseDisk, one.leaseLeader, one.released = now+r.lease, call.Disk, call.Owner, false
	}
	if call.Chunk != nil {
		one.chunks.take(call.Chunk)
		if !one.chunks.isWhole(call.Chunk) {
			told := r.appendAnswer(one.state.Last, one.promising, false)
			told.Chunks = one.chunks.count
			answer(told)
			return
		}
		call.Snapshot = &wire.Snapshot{Last: call.Chunk.At, Set: call.Chunk.Set, Pairs: one.chunks.pairs}
		one.chunks = chunkBuffer{}
	}
	if len(call.Changes) == 0 && call.Snapshot == nil {
		answer(r.appendAnswer(one.state.Last, one.promising, call.Epoch == one.state.Promised && one.state.Last == call.Prev))
		return
	}
	write := storage.Write{Key: call.Key, Epoch: call.Epoch, Prev: call.Prev, Changes: call.Changes, Snapshot: call.Snapshot}
	r.disk.Submit(write, func(outcome storage.Outcome) {
		r.box.Post(func() {
			r.learn(one, outcome)
			if outcome.Taken {
				one.history.take(call)
			}
			answer(r.appendAnswer(one.state.Last, one.promising, outcome.Taken))
		})
	})
}

// release ends the lease of an epoch; what its owner sent before and comes later brings no new one.
func (one *replica) release(now time.Duration, epoch uint64, heir string) {
	one.leaseUntil, one.released, one.releasedAt, one.releasedEpoch, one.successor = 0, true, now, epoch, heir
}

func (r *Replicas) appendAnswer(last wire.LogPosition, promised uint64, isTaken bool) wire.AppendAnswer {
	return wire.AppendAnswer{Taken: isTaken, Promised: promised, Last: last, Disk: r.disk.Disk(), WallMs: r.clock.WallMs(),
		Leaving: r.isLeaving}
}

// Leave lets each answer say that the process is about to end, so that leaders replace this disk as a voter. It must run
// on the table's goroutine.
func (r *Replicas) Leave() { r.isLeaving = true }

// VotingOn gives the voter sets of the keys in which this disk votes, as far as it knows. It must run on the table's
// goroutine.
func (r *Replicas) VotingOn() map[string]wire.VoterSet {
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
		if changes, isThere := recent.after(*call.From); isThere {
			answer.Found, answer.Changes = true, changes
			if call.Chunked {
				answer.Changes = changes[:mostInOneCall(changes)]
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
	r.box.TryPost(func() {
		if replica := r.of(key); replica.state.Last == outgoing.snapshot.Last {
			replica.outgoing = outgoing
		}
	})
}

// History gives the last changes that this disk took, one after the other, up to what it holds.
func (r *Replicas) History(key string) History {
	replica := r.of(key)
	return History{Base: replica.history.base, Changes: slices.Clone(replica.history.changes), outgoing: replica.outgoing}
}

// ReplicaStatus is what an engine asks before it seeks an epoch.
type ReplicaStatus struct {
	State    storage.ReplicaState
	Promised uint64
	LeaseEnd time.Duration
	Disk     string
	Leader   string
	Released bool
	// ReleasedAt and Heir belong to the release.
	ReleasedAt time.Duration
	Successor  string
}

// Status is what an engine has to know of a replica before it seeks an epoch.
func (r *Replicas) Status(key string) ReplicaStatus {
	one := r.of(key)
	return ReplicaStatus{State: one.state, Promised: one.promising, LeaseEnd: max(one.leaseUntil, r.quietUntil), Disk: one.leaseDisk,
		Leader: one.leaseLeader, Released: one.released, ReleasedAt: one.releasedAt, Successor: one.successor}
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
	return mailbox.Ask(r.box, ctx, func(answer func(wire.PromiseAnswer)) { r.Promise(call, answer) })
}

// AskAppend is Append for other goroutines; the answer carries the time that it took.
func (r *Replicas) AskAppend(ctx context.Context, call wire.AppendCall) (wire.AppendAnswer, error) {
	arrivedAt := r.clock.Monotonic()
	return mailbox.Ask(r.box, ctx, func(answer func(wire.AppendAnswer)) {
		r.Append(call, func(told wire.AppendAnswer) {
			told.DelayUs = max(1, (r.clock.Monotonic() - arrivedAt).Microseconds())
			answer(told)
		})
	})
}

// AskFetch is Fetch for other goroutines; it reads the disk on the caller's goroutine.
func (r *Replicas) AskFetch(ctx context.Context, call wire.FetchCall) (wire.FetchAnswer, error) {
	recent, err := mailbox.Ask(r.box, ctx, func(answer func(History)) { answer(r.History(call.Key)) })
	if err != nil {
		return wire.FetchAnswer{}, err
	}
	return r.Fetch(recent, call)
}

// AskStatus is Status for other goroutines.
func (r *Replicas) AskStatus(ctx context.Context, key string) (ReplicaStatus, error) {
	return mailbox.Ask(r.box, ctx, func(answer func(ReplicaStatus)) { answer(r.Status(key)) })
}
