package replication

import (
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/replication/quorum"
)

// fetchTask describes a candidate's fetch of the most up-to-date state from the voter that has it.
type fetchTask struct {
	// source is the promise of the voter that has the most up-to-date state.
	source wire.PromiseAnswer
	// from is the position of the local disk.
	from wire.LogPosition
	// failures counts consecutive calls that failed or returned nothing new.
	failures int
}

const (
	// maxFetchFailures is the number of consecutive failures after which the candidate gives up.
	maxFetchFailures = 3
	// fetchTimeout limits the time since the won election, also while changes or chunks arrive. After it the candidate ends the campaign.
	// Chunks that it has received are kept for the next campaign.
	fetchTimeout = 2800 * time.Millisecond
)

// fetchFrom copies the most up-to-date state to the local disk and then opens the leadership from it. The missing changes are fetched
// in calls of limited size. If the source no longer has them, a snapshot is fetched in chunks. Chunks are kept across campaigns, and
// any voter at the same position can send the next one.
func (e *Engine) fetchFrom(source wire.PromiseAnswer, from wire.LogPosition) {
	e.renewCandidateLease()
	e.fetchNext(&fetchTask{source: source, from: from})
}

// renewCandidateLease asks all voters for a lease while the candidate fetches the few changes that it lacks. It is called at the
// start of the fetch and whenever changes arrive, but not for the chunks of a snapshot. A source that sends nothing, or a snapshot that
// takes long, thus blocks other candidates for at most one lease.
func (e *Engine) renewCandidateLease() {
	for _, disk := range quorum.Disks(e.voters.set) {
		e.renewLease(e.followerOf(disk))
	}
}

// checkFetchTimeout ends a campaign whose fetch has timed out.
func (e *Engine) checkFetchTimeout() {
	if e.clock.Monotonic()-e.lastLeaseAt > fetchTimeout {
		e.release("fetching the most up-to-date state timed out", "")
	}
}

// fetchNext asks the source for the changes that the local disk lacks, or for the next chunk of a snapshot if the source no longer
// has those changes.
func (e *Engine) fetchNext(fetch *fetchTask) {
	e.campaignState.fetchedChunks.start(fetch.source.Last)
	from, step := fetch.from, e.step()
	call := wire.FetchCall{Key: e.key, From: &from, Chunked: true, Number: e.campaignState.fetchedChunks.count}
	e.transport.Fetch(fetch.source.Disk, call, func(answer wire.FetchAnswer, err error) {
		switch {
		case e.step() != step:
		case err != nil:
			e.retryFetch(fetch)
		case answer.Chunk != nil:
			e.handleChunk(fetch, answer.Chunk)
		case len(answer.Changes) > 0:
			e.renewCandidateLease()
			call := e.newAppendCall(fetch.from)
			call.Changes = answer.Changes
			e.installFetched(fetch, call, answer.Changes[len(answer.Changes)-1].Position)
		default:
			e.installSnapshot(fetch, answer.Snapshot)
		}
	})
}

// retryFetch repeats a fetch that failed or returned nothing new. After maxFetchFailures consecutive failures it ends the campaign.
func (e *Engine) retryFetch(fetch *fetchTask) {
	if fetch.failures++; fetch.failures >= maxFetchFailures {
		e.release("fetching the most up-to-date state failed repeatedly", "")
		return
	}
	e.continueFetch(fetch)
}

// continueFetch fetches the next part. If the local replica has promised a higher epoch, it ends the campaign instead.
func (e *Engine) continueFetch(fetch *fetchTask) {
	step := e.step()
	e.transport.Status(e.key, func(status ReplicaStatus) {
		switch {
		case e.step() != step:
		case status.Promised > e.epoch:
			e.backOff()
		default:
			e.fetchNext(fetch)
		}
	})
}

// handleChunk stores a chunk of the fetched snapshot, and installs the snapshot once it is complete. After the first chunk of a larger
// snapshot the candidate yields to the source, unless it has yielded before.
func (e *Engine) handleChunk(fetch *fetchTask, chunk *wire.SnapshotChunk) {
	if chunk.At != fetch.source.Last {
		e.release("the source is at another position now", "")
		return
	}
	chunks := &e.campaignState.fetchedChunks
	countBefore := chunks.count
	chunks.add(chunk)
	switch {
	case chunks.isComplete(chunk):
		e.installSnapshot(fetch, wire.Snapshot{Last: chunk.At, Pairs: chunks.pairs})
	case !e.campaignState.hasYielded:
		e.yieldToSource(fetch)
	case chunks.count == countBefore:
		e.retryFetch(fetch)
	default:
		fetch.failures = 0
		e.continueFetch(fetch)
	}
}

// yieldToSource lets the voter with the most up-to-date state lead, as it has to fetch nothing. The candidate campaigns again one
// lease later, and then fetches the state if there is still no leader.
func (e *Engine) yieldToSource(fetch *fetchTask) {
	e.campaignState.hasYielded = true
	e.release("yielding to a more up-to-date voter", fetch.source.Disk)
	e.campaignState.nextAt = e.clock.Monotonic() + e.timing.Lease
}

// installSnapshot writes a fetched snapshot to the local disk, with the voter set from the source's promise.
func (e *Engine) installSnapshot(fetch *fetchTask, snapshot wire.Snapshot) {
	e.campaignState.fetchedChunks = chunkBuffer{}
	snapshot.Voters = fetch.source.Voters
	call := e.newAppendCall(wire.LogPosition{})
	call.Snapshot = &snapshot
	e.installFetched(fetch, call, snapshot.Last)
}

// installFetched writes fetched changes or a fetched snapshot to the local disk. It then opens the state, or fetches the changes
// that are still missing. reached is the position after the write.
func (e *Engine) installFetched(fetch *fetchTask, call wire.AppendCall, reached wire.LogPosition) {
	if fetch.source.Last.Below(reached) || !fetch.from.Below(reached) {
		e.release("the fetched state is not within the requested range", "")
		return
	}
	step := e.step()
	e.transport.InstallLocal(call, func(answer wire.AppendAnswer, err error) {
		switch {
		case e.step() != step:
		case err != nil || !answer.Taken:
			e.release("the local disk did not accept the fetched state", "")
		case reached == fetch.source.Last:
			e.openWithHistory(reached)
		case call.Snapshot != nil:
			e.release("the source is at another position now", "")
		default:
			fetch.from, fetch.failures = reached, 0
			e.continueFetch(fetch)
		}
	})
}
