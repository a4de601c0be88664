package replication

import (
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/replication/quorum"
)

// fetchTask is how a candidate gets the state of the voter that is furthest.
type fetchTask struct {
	furthest wire.PromiseAnswer
	// from is where the own disk stands.
	from wire.LogPosition
	// failures counts the calls in a row that brought nothing.
	failures int
}

const (
	// maxFetchFailures is how many calls in a row may bring nothing before the candidate gives up.
	maxFetchFailures = 3
	// fetchTimeout is how long it waits for any state before it campaigns anew; chunks that have come are kept.
	fetchTimeout = 2800 * time.Millisecond
)

// fetchFrom brings the local disk to the furthest state, and opens it. The changes come in calls of limited size, a state
// that the changes no longer lead to in chunks; chunks are kept across campaigns, and whoever holds that very position
// may send the next.
func (e *Engine) fetchFrom(furthest wire.PromiseAnswer, from wire.LogPosition) {
	e.renewCandidateLease()
	e.fetchNext(&fetchTask{furthest: furthest, from: from})
}

// renewCandidateLease renews the lease that the candidate has by its promises, for the few calls that the changes it lacks take.
// It is asked for once at first, and again only as changes come: a voter that does not send what it has, or a transfer of a
// snapshot, keeps nobody out for longer than one lease.
func (e *Engine) renewCandidateLease() {
	for _, disk := range quorum.Disks(e.voters.set) {
		e.renewLease(e.followerOf(disk))
	}
}

// checkFetchTimeout ends a campaign for which no state comes.
func (e *Engine) checkFetchTimeout() {
	if e.clock.Monotonic()-e.lastLeaseAt > fetchTimeout {
		e.release("the furthest state does not come", "")
	}
}

// fetchNext asks for the changes that the own disk lacks, or for the next chunk of the state where changes don't lead to it.
func (e *Engine) fetchNext(fetch *fetchTask) {
	e.campaignState.fetchedChunks.start(fetch.furthest.Last)
	from, step := fetch.from, e.step()
	call := wire.FetchCall{Key: e.key, From: &from, Chunked: true, Number: e.campaignState.fetchedChunks.count}
	e.transport.Fetch(fetch.furthest.Disk, call, func(answer wire.FetchAnswer, err error) {
		switch {
		case e.step() != step:
		case err != nil:
			e.retryFetch(fetch)
		case answer.Chunk != nil:
			e.handleChunk(fetch, answer.Chunk)
		case len(answer.Changes) > 0:
			e.renewCandidateLease()
			call := e.appendCall(fetch.from)
			call.Changes = answer.Changes
			e.installFetched(fetch, call, answer.Changes[len(answer.Changes)-1].Position)
		default:
			e.installSnapshot(fetch, answer.Snapshot)
		}
	})
}

// retryFetch asks again after a call that brought nothing, unless the epoch is lost by now.
func (e *Engine) retryFetch(fetch *fetchTask) {
	if fetch.failures++; fetch.failures >= maxFetchFailures {
		e.release("the furthest state does not come", "")
		return
	}
	e.continueFetch(fetch)
}

// continueFetch goes on if no other candidate has a higher epoch here.
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

// handleChunk keeps a chunk of the furthest state, and installs the state once it is complete.
func (e *Engine) handleChunk(fetch *fetchTask, chunk *wire.SnapshotChunk) {
	if chunk.At != fetch.furthest.Last {
		e.release("the furthest state is another by now", "")
		return
	}
	chunks := &e.campaignState.fetchedChunks
	countBefore := chunks.count
	chunks.take(chunk)
	switch {
	case chunks.isComplete(chunk):
		e.installSnapshot(fetch, wire.Snapshot{Last: chunk.At, Pairs: chunks.pairs})
	case !e.campaignState.hasYielded:
		e.yieldToFurthest(fetch)
	case chunks.count == countBefore:
		e.retryFetch(fetch)
	default:
		fetch.failures = 0
		e.continueFetch(fetch)
	}
}

// yieldToFurthest lets the voter with the furthest state lead, as it needs no transfer; the candidate asks again a lease later,
// and fetches the state then if nobody leads.
func (e *Engine) yieldToFurthest(fetch *fetchTask) {
	e.campaignState.hasYielded = true
	e.release("standing aside for a voter that is ahead", fetch.furthest.Disk)
	e.campaignState.nextAt = e.clock.Monotonic() + e.timing.Lease
}

// installSnapshot writes a snapshot to the local disk, under the voters that were promised.
func (e *Engine) installSnapshot(fetch *fetchTask, snapshot wire.Snapshot) {
	e.campaignState.fetchedChunks = chunkBuffer{}
	snapshot.Voters = fetch.furthest.Voters
	call := e.appendCall(wire.LogPosition{})
	call.Snapshot = &snapshot
	e.installFetched(fetch, call, snapshot.Last)
}

// installFetched writes what was fetched to the local disk, and opens the state or fetches what is still missing.
func (e *Engine) installFetched(fetch *fetchTask, call wire.AppendCall, reached wire.LogPosition) {
	if fetch.furthest.Last.Below(reached) || !fetch.from.Below(reached) {
		e.release("what was fetched is not what was asked for", "")
		return
	}
	step := e.step()
	e.transport.InstallLocal(call, func(answer wire.AppendAnswer, err error) {
		switch {
		case e.step() != step:
		case err != nil || !answer.Taken:
			e.release("its own disk does not take what was fetched", "")
		case reached == fetch.furthest.Last:
			e.openWithHistory(reached)
		case call.Snapshot != nil:
			e.release("the furthest state is another by now", "")
		default:
			fetch.from, fetch.failures = reached, 0
			e.continueFetch(fetch)
		}
	})
}
