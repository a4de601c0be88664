package storage

import "gannetline/internal/cluster/peerapi/wire"

// PairUpdate is what a write does to the pairs of its key, in this order.
type PairUpdate struct {
	// Clear removes all pairs first.
	Clear bool
	// Ops puts each pair, or removes it where the value is empty.
	Ops []wire.Op
}

// Decide works out whether a replica in this state takes a write, its state afterwards, and the update of its pairs.
// It is the only place where this is decided; the store and the simulated disks carry it out.
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

// isRefused tells whether a write comes from an epoch that is over, or does not follow on what the replica holds.
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
