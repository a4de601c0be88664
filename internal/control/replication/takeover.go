package replication

import (
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/replication/quorum"
)

// openWithHistory opens the leadership from the state of the local disk, whose position is last, and its recent changes.
func (e *Engine) openWithHistory(last wire.LogPosition) {
	e.phase = phaseOpening
	step := e.step()
	e.transport.History(e.key, func(recent History) {
		if e.step() == step {
			e.openLeadership(last, recent)
		}
	})
}

// openLeadership opens the leadership. It asks for the lease at once and keeps it while the state is being read. Otherwise another
// candidate would be promised the next epoch during the read, and its own read would take as long.
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
			e.release("reading the state from its own disk failed", "")
			return
		}
		e.distributeSnapshot(snapshot)
		e.commitFirstChange(snapshot)
	})
}

// resetLeadership resets all state that belongs to one leadership, starting at the position of the local disk.
func (e *Engine) resetLeadership(last wire.LogPosition, recent History) {
	now := e.clock.Monotonic()
	e.changes.restore(last, recent)
	e.commits = commitQueue{index: last.Index}
	e.voters.index = 0
	e.followers = map[string]*followerProgress{}
	e.lastLeaseAt = now
	e.snapshots = snapshotReader{isReading: true, startedAt: now, fromIndex: last.Index}
	e.progress = nil
	e.slowness = newSlownessDetector(now)
	e.shortage = voterShortage{since: now}
	e.preferred = preferredVoter{}
}

// commitFirstChange commits a change without operations under the new epoch, like Raft's no-op entry, and then opens the state
// machine. This commits all earlier changes too, including those of earlier epochs.
func (e *Engine) commitFirstChange(snapshot wire.Snapshot) {
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
			e.log.Error(err, "opening the state machine of the key failed", "key", e.key)
			e.stepDown("the state machine could not open the key's state")
			return
		}
		e.announce(wire.KeyLeader{Key: e.key, Epoch: e.epoch, Name: e.name})
	})
}
