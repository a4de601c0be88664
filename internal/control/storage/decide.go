package storage

import "gannetline/internal/cluster/peerapi/wire"

// PairUpdate is the effect of a write on the pairs of its key. Clear is applied before Ops.
type PairUpdate struct {
	// Clear removes all pairs of the key.
	Clear bool
	// Ops are applied in order. An op with an empty value deletes the pair, any other op sets it.
	Ops []wire.Op
}

// Decide decides whether a replica in the given state accepts a write, and returns the outcome with the new state and the update of the
// pairs. It has no side effects. The store and the simulated disks share this decision and only apply its result.
func Decide(state ReplicaState, write Write) (Outcome, PairUpdate) {
	if isRefused(state, write) {
		return Outcome{State: state}, PairUpdate{}
	}
	var update PairUpdate
	if write.Snapshot != nil && !write.Promise {
		state.Last, state.Voters = write.Snapshot.Last, write.Snapshot.Voters
		update = PairUpdate{Clear: true, Ops: write.Snapshot.Pairs}
	}
	for index, change := range write.Changes {
		if index == 0 && len(update.Ops) == 0 {
			update.Ops = change.Ops
		} else {
			update.Ops = append(update.Ops[:len(update.Ops):len(update.Ops)], change.Ops...)
		}
		state.Last = change.Position
		if change.Voters != nil {
			state.Voters = *change.Voters
		}
	}
	state.Promised = write.Epoch
	return Outcome{Taken: true, State: state}, update
}

// isRefused reports whether a write has a stale epoch, asks for a promise that was given already, or does not continue the replica's log.
// A snapshot is refused if it is older than what the replica holds.
func isRefused(state ReplicaState, write Write) bool {
	switch {
	case write.Epoch < state.Promised:
		return true
	case write.Promise:
		return write.Epoch == state.Promised
	case write.Snapshot != nil:
		return write.Snapshot.Last.Below(state.Last)
	}
	return write.Prev != state.Last
}
