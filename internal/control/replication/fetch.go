package replication

import (
	"time"

	"gannetline/internal/cluster/peerapi/wire"
)

// fetch is how a candidate gets the state of the voter that is furthest, from where its own disk stands.
type fetch struct {
	best     wire.PromiseAnswer
	from     wire.LogPosition
	failures int
}

const (
	// mostFetchFailures is how many calls in a row may bring nothing before the candidate gives up.
	mostFetchFailures = 3
	// mostFetching is how long it waits for any state before it campaigns anew; chunks that have come are kept.
	mostFetching = 2800 * time.Millisecond
)

// fetchFrom brings the local disk to the best state, and opens it. The changes come in calls of limited size, a state
// that the changes no longer lead to in chunks; chunks are kept across campaigns, and whoever holds that very position
// may send the next.
func (e *Engine) fetchFrom(best wire.PromiseAnswer, from wire.LogPosition) {
	e.holdOthersOff()
	e.fetchNext(&fetch{best: best, from: from})
}

// holdOthersOff renews the lease that the candidate has by its promises, for the few calls that the changes it lacks take.
// It is asked for once at first, and again only as changes come: a voter that does not send what it has, or a transfer of a
// whole state, keeps nobody out for longer than one lease.
func (e *Engine) holdOthersOff() {
	for _, disk := range disksOf(e.set) {
		e.renewLease(e.follow(disk))
	}
}

// considerFetching ends a campaign for which no state comes.
func (e *Engine) considerFetching() {
	if e.clock.Monotonic()-e.staleSince > mostFetching {
		e.release("the furthest state does not come", "")
	}
}

func (e *Engine) fetchNext(task *fetch) {
	e.fetched.start(task.best.Last)
	from, attempt := task.from, e.attempt
	call := wire.FetchCall{Key: e.key, From: &from, Chunked: true, Number: e.fetched.count}
	e.links.Fetch(task.best.Disk, call, func(answer wire.FetchAnswer, err error) {
		switch {
		case e.attempt != attempt || e.phase != phaseFetching:
		case err != nil:
			e.retryFetch(task)
		case answer.Chunk != nil:
			e.takeChunk(task, answer.Chunk)
		case len(answer.Changes) > 0:
			e.holdOthersOff()
			call := e.appendCall()
			call.Prev, call.Changes = task.from, answer.Changes
			e.installFetched(task, call, answer.Changes[len(answer.Changes)-1].Position)
		default:
			e.installSnapshot(task, answer.Snapshot)
		}
	})
}

// retryFetch asks again after a call that brought nothing, unless the epoch is lost by now.
func (e *Engine) retryFetch(task *fetch) {
	if task.failures++; task.failures >= mostFetchFailures {
		e.release("the furthest state does not come", "")
		return
	}
	e.continueFetch(task)
}

// continueFetch goes on if no other candidate has a higher epoch here.
func (e *Engine) continueFetch(task *fetch) {
	attempt := e.attempt
	e.links.Status(e.key, func(status ReplicaStatus) {
		switch {
		case e.attempt != attempt || e.phase != phaseFetching:
		case status.Promised > e.epoch:
			e.backOff()
		default:
			e.fetchNext(task)
		}
	})
}

func (e *Engine) takeChunk(task *fetch, chunk *wire.SnapshotChunk) {
	if chunk.At != task.best.Last {
		e.release("the furthest state is another by now", "")
		return
	}
	before := e.fetched.count
	e.fetched.take(chunk)
	switch {
	case e.fetched.isWhole(chunk):
		e.installSnapshot(task, wire.Snapshot{Last: chunk.At, Pairs: e.fetched.pairs})
	case !e.hasSteppedAside:
		e.stepAside(task)
	case e.fetched.count == before:
		e.retryFetch(task)
	default:
		task.failures = 0
		e.continueFetch(task)
	}
}

// stepAside lets the voter with the furthest state lead, as it needs no transfer; the candidate asks again a lease later,
// and fetches the state then if nobody leads.
func (e *Engine) stepAside(task *fetch) {
	e.hasSteppedAside = true
	e.release("standing aside for a voter that is ahead", task.best.Disk)
	e.nextTry = e.clock.Monotonic() + e.timing.Lease
}

func (e *Engine) installSnapshot(task *fetch, snapshot wire.Snapshot) {
	e.fetched = chunkBuffer{}
	snapshot.Set = task.best.Set
	call := e.appendCall()
	call.Snapshot = &snapshot
	e.installFetched(task, call, snapshot.Last)
}

// installFetched writes what was fetched to the local disk, and opens the state or fetches what is still missing.
func (e *Engine) installFetched(task *fetch, call wire.AppendCall, reached wire.LogPosition) {
	if task.best.Last.Below(reached) || !task.from.Below(reached) {
		e.release("what was fetched is not what was asked for", "")
		return
	}
	attempt := e.attempt
	e.links.InstallLocal(call, func(answer wire.AppendAnswer, err error) {
		switch {
		case e.attempt != attempt || e.phase != phaseFetching:
		case err != nil || !answer.Taken:
			e.release("its own disk does not take what was fetched", "")
		case reached == task.best.Last:
			e.openWithHistory(reached)
		case call.Snapshot != nil:
			e.release("the furthest state is another by now", "")
		default:
			task.from, task.failures = reached, 0
			e.continueFetch(task)
		}
	})
}
