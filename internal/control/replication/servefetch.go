package replication

import (
	"context"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/mailbox"
)

// AskFetch is Fetch with the current history of the key. It may run on any goroutine. It asks the table's goroutine for the history,
// and reads the disk on the caller's goroutine. It returns an error if ctx is done before, or if the disk can't be read.
func (r *Replicas) AskFetch(ctx context.Context, call wire.FetchCall) (wire.FetchAnswer, error) {
	recent, err := mailbox.Ask(ctx, r.mailbox, func(answer func(History)) { answer(r.History(call.Key)) })
	if err != nil {
		return wire.FetchAnswer{}, err
	}
	return r.Fetch(recent, call)
}

// Fetch returns the changes after a position if the history has them, else the snapshot on the disk or a chunk of it. It may run
// on any goroutine. It returns an error if the disk can't be read.
func (r *Replicas) Fetch(recent History, call wire.FetchCall) (wire.FetchAnswer, error) {
	answer := wire.FetchAnswer{Disk: r.disk.Disk()}
	if call.From != nil {
		if changes, isKept := recent.after(*call.From); isKept {
			answer.HasReplica, answer.Changes = true, changes
			if call.Chunked {
				answer.Changes = changes[:prefixForCall(changes)]
			}
			return answer, nil
		}
	}
	if call.Chunked {
		return r.fetchChunk(recent.outgoing, call, answer)
	}
	snapshot, err := r.disk.Read(call.Key)
	answer.HasReplica, answer.Snapshot = snapshot.Last != wire.LogPosition{}, snapshot
	return answer, err
}

// fetchChunk answers with a chunk of the outgoing snapshot. If outgoing is nil, it reads the snapshot from the disk and caches it.
func (r *Replicas) fetchChunk(outgoing *snapshotTransfer, call wire.FetchCall, answer wire.FetchAnswer) (wire.FetchAnswer, error) {
	if outgoing == nil {
		snapshot, err := r.disk.Read(call.Key)
		if err != nil {
			return answer, err
		}
		outgoing = newSnapshotTransfer(snapshot)
		r.cacheOutgoing(call.Key, outgoing)
	}
	answer.HasReplica = outgoing.snapshot.Last != wire.LogPosition{}
	answer.Chunk = outgoing.chunk(min(call.Number, outgoing.count()-1))
	return answer, nil
}

// cacheOutgoing keeps a snapshot for the next calls, so that they don't read the disk again. The replica drops it when its
// position changes.
func (r *Replicas) cacheOutgoing(key string, outgoing *snapshotTransfer) {
	r.mailbox.TryPost(func() {
		if replica := r.replicaOf(key); replica.state.Last == outgoing.snapshot.Last {
			replica.outgoing = outgoing
		}
	})
}
