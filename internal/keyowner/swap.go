package keyowner

import (
	"slices"

	"gannetline/internal/siblingwire"
)

// considerSwap replaces one lost voter by a learner that has caught up.
func (e *Engine) considerSwap() {
	if len(e.set.Old) > 0 || e.setStep > e.committed {
		return
	}
	lost := e.lostVoter()
	if lost == "" {
		return
	}
	learner := e.learner()
	if learner == "" {
		return
	}
	one := e.follow(learner)
	if !one.isKnown || one.acked.Epoch != e.epoch || e.last.Step-one.acked.Step > 200 {
		e.send(one, true)
		return
	}
	next := siblingwire.VoterSet{Old: e.set.Now, Now: swap(e.set.Now, lost, learner)}
	e.log.Info("swapping a lost voter for a learner", "key", e.key, "lost", lost, "learner", learner)
	e.submit(nil, &next, func(error) {})
}

func (e *Engine) finishSwap() {
	if e.phase != phaseOwner || len(e.set.Old) == 0 || e.setStep > e.committed {
		return
	}
	final := siblingwire.VoterSet{Now: e.set.Now}
	e.submit(nil, &final, func(err error) {
		if err != nil {
			return
		}
		for disk := range e.followers {
			if !slices.Contains(e.set.Now, disk) {
				delete(e.followers, disk)
			}
		}
	})
}

// lostVoter is a voter whose machine came back with another disk, or that has not answered for long.
// It only matters once there is a learner to take its place, so a voter that is merely slow is kept elsewhere.
func (e *Engine) lostVoter() string {
	now := e.clock.Steady()
	for _, disk := range e.set.Now {
		if disk != e.disk && (e.isReplaced(disk) || now-e.follow(disk).heardAt > e.timing.LostAfter) {
			return disk
		}
	}
	return ""
}

func (e *Engine) isReplaced(disk string) bool {
	for _, member := range e.members() {
		if slices.Contains(member.Past, disk) && member.Disk != disk {
			return true
		}
	}
	return false
}

func (e *Engine) learner() string {
	for _, member := range e.members() {
		if member.Disk != "" && member.State == siblingwire.StateAlive && !slices.Contains(e.set.Now, member.Disk) {
			return member.Disk
		}
	}
	return ""
}
