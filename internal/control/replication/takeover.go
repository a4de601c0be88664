package replication

import (
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/replication/quorum"
)

// openWithHistory begins to lead from the state of the own disk, which is at that position.
func (e *Engine) openWithHistory(last wire.LogPosition) {
	e.phase = phaseOpening
	step := e.step()
	e.transport.History(e.key, func(recent History) {
		if e.step() == step {
			e.openLeadership(last, recent)
		}
	})
}

// openLeadership takes the leadership over. It asks for the lease at once and keeps it while the state is being read, however
// long that takes; else another candidate would be promised the next epoch meanwhile, and fare no better.
func (e *Engine) openLeadership(last wire.LogPosition, recent History) {
	e.resetLeadership(last, recent)
	for _, disk := range quorum.Disks(e.voters.set) {
		e.sendAppend(e.followerOf(disk), true)
	}
	step := e.step()
	e.transport.ReadLocal(e.key, func(snapshot wire.Snapshot, err error) {
		if e.step() != step {
			return
		}
		e.snapshots = snapshotReader{}
		if err != nil || snapshot.Last != last {
			e.release("the state on its own disk could not be read", "")
			return
		}
		e.distributeSnapshot(snapshot)
		e.commitOpening(snapshot)
	})
}

// resetLeadership begins all that belongs to one leadership anew, from the position that the own disk holds.
func (e *Engine) resetLeadership(last wire.LogPosition, recent History) {
	now := e.clock.Monotonic()
	e.changes.restore(last, recent)
	e.commits = commitQueue{index: last.Index}
	e.voters.index = 0
	e.followers = map[string]*followerProgress{}
	e.lastLeaseAt = now
	e.snapshots = snapshotReader{isReading: true, startedAt: now, fromIndex: last.Index}
	e.progress = nil
	e.slowness = newSlownessWatch(now)
	e.shortage = shortageWatch{since: now}
	e.preferred = preferredWatch{}
}

// commitOpening commits a first change under the new epoch, and then hands the state to the machine. With that change all
// before it are committed too, also those of earlier epochs.
func (e *Engine) commitOpening(snapshot wire.Snapshot) {
	voters := e.voters.set
	step := e.step()
	e.propose(nil, &voters, func(err error) {
		if err != nil || e.step() != step {
			return
		}
		e.phase = phaseLeading
		e.leadership = newLeadership(e)
		e.log.Info("became leader", "key", e.key, "epoch", e.epoch, "index", snapshot.Last.Index)
		if err := e.machine.Open(e.leadership, snapshot.Pairs); err != nil {
			e.log.Error(err, "the state of the key can't be read", "key", e.key)
			e.stepDown("unreadable state")
			return
		}
		e.announce(wire.KeyLeader{Key: e.key, Epoch: e.epoch, Name: e.name})
	})
}
