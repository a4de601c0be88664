package replication

import (
	"slices"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/storage"
	"gannetline/internal/platform/logging"
)

// logCommit logs the records of the changes that are being committed, whose indices are greater than above and at most upTo. It also logs
// the disks that hold all of these changes.
func (e *Engine) logCommit(above, upTo uint64) {
	log := e.log.V(logging.TraceVerbosity)
	if !log.Enabled() {
		return
	}
	var holders []string
	for _, follower := range e.sortedFollowers() {
		if follower.isPositionKnown && follower.acked.Epoch == e.epoch && follower.acked.Index >= upTo {
			holders = append(holders, follower.disk)
		}
	}
	log.Info("changes committed", "key", e.key, "epoch", e.epoch, "index", upTo, "disks", holders, "voters", e.voters.set,
		"records", recordNames(e.changes.entries, above, upTo))
}

// recordNames returns the names of the records that are written by the changes with an index greater than above and at most upTo.
func recordNames(changes []wire.Change, above, upTo uint64) []string {
	var names []string
	for _, change := range changes {
		if change.Position.Index <= above || change.Position.Index > upTo {
			continue
		}
		for _, op := range change.Ops {
			names = append(names, op.Name)
		}
	}
	return slices.Compact(names)
}

// logOpened logs the state of a replica at the start of the process.
func (r *Replicas) logOpened(key string, state storage.ReplicaState) {
	logState(r.log, "replica opened", key, state, "disk", r.disk.Disk())
}

// logPromise logs the answer to a candidate and the state of the replica.
func (r *Replicas) logPromise(call wire.PromiseCall, outcome storage.Outcome) {
	logState(r.log, "promise answered", call.Key, outcome.State, "disk", r.disk.Disk(), "candidate", call.Disk, "granted", outcome.Taken)
}

func logState(log logging.Logger, message, key string, state storage.ReplicaState, more ...any) {
	if log := log.V(logging.TraceVerbosity); log.Enabled() {
		log.Info(message, append([]any{"key", key, "last", state.Last, "promised", state.Promised, "voters", state.Voters}, more...)...)
	}
}
