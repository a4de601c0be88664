package replication

import (
	"slices"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
)

const (
	mostBehind  = 200
	shortageLog = 5 * time.Second
)

// considerVoters brings the voter set nearer to what is wanted: lost voters replaced, 2f+1 of them, spread over domains.
func (e *Engine) considerVoters() {
	if len(e.set.Old) > 0 || e.setIndex > e.committed {
		return
	}
	members := e.members()
	choice := voterChoice{set: e.set.Now, size: e.size, isLost: func(disk string) bool { return e.isLost(members, disk) },
		domainOf: func(disk string) string { return domainOf(members, disk) }}
	fit := e.fitForVoting(members)
	e.noteShortage(len(choice.kept()) + len(fit))
	wanted := choice.from(fit)
	if slices.Equal(wanted, e.set.Now) {
		e.forgetOutsiders()
		return
	}
	var ready []string
	for _, disk := range fit {
		if !slices.Contains(wanted, disk) {
			continue
		}
		if learner := e.follow(disk); e.hasCaughtUp(learner) {
			ready = append(ready, disk)
		} else {
			e.send(learner, true)
		}
	}
	next := choice.from(ready)
	if slices.Equal(next, e.set.Now) {
		return
	}
	e.log.Info("changing the voters of a key", "key", e.key, "from", e.set.Now, "to", next)
	e.propose(nil, &wire.VoterSet{Old: e.set.Now, Now: next}, func(error) {})
}

// hasCaughtUp tells whether a learner may become a voter: it lacks little, or follows within the time after which a voter
// would count as lost, however many changes that is. What it still lacks can only make the change of voters wait, as that
// counts once a majority of the old voters and one of the new hold it, and with it all changes before it.
func (e *Engine) hasCaughtUp(learner *follower) bool {
	return e.followsWithin(learner, e.timing.LostAfter)
}

// followsWithin tells whether a follower lacks few changes, or none that is older than the given age.
func (e *Engine) followsWithin(one *follower, age time.Duration) bool {
	if !one.isKnown || one.acked.Epoch != e.epoch {
		return false
	}
	isNear := e.last.Index-one.acked.Index <= mostBehind
	return isNear || e.marks.isPast(one.acked.Index, e.clock.Monotonic()-age)
}

// finishSwap proposes the new voters alone, once the joint set is committed.
func (e *Engine) finishSwap() {
	if e.phase != phaseLeading || len(e.set.Old) == 0 || e.setIndex > e.committed {
		return
	}
	final := wire.VoterSet{Now: e.set.Now}
	e.propose(nil, &final, func(error) {})
}

// forgetOutsiders ends the following of disks that are no voters; it runs once the voter set is committed.
func (e *Engine) forgetOutsiders() {
	for _, outsider := range e.inOrder() {
		if slices.Contains(disksOf(e.set), outsider.disk) {
			continue
		}
		delete(e.followers, outsider.disk)
		e.publish()
		if outsider.isLeaving {
			call := e.appendCall()
			call.Prev, call.VotedOut = outsider.acked, true
			e.links.Append(outsider.disk, call, func(wire.AppendAnswer, error) {})
		}
	}
}

// isLost tells whether a voter's machine came back with another disk, is leaving, or has not answered for long.
// It only matters once there is a learner to take its place, so a voter that is merely slow is kept elsewhere.
func (e *Engine) isLost(members []wire.Member, disk string) bool {
	if disk == e.disk {
		return false
	}
	voter := e.follow(disk)
	return isReplaced(members, disk) || voter.isLeaving || e.clock.Monotonic()-voter.lastContact > e.timing.LostAfter
}

func isReplaced(members []wire.Member, disk string) bool {
	return slices.ContainsFunc(members, func(member wire.Member) bool {
		return member.Disk != disk && slices.Contains(member.Past, disk)
	})
}

func domainOf(members []wire.Member, disk string) string {
	for _, member := range members {
		if member.Disk == disk {
			return member.Domain
		}
	}
	return ""
}

// fitForVoting lists live disks that are no voters, in the key's own order; a learner that stays silent is left out.
func (e *Engine) fitForVoting(members []wire.Member) []string {
	var fit []string
	for _, member := range members {
		if member.Disk == "" || member.State != wire.StateAlive || slices.Contains(e.set.Now, member.Disk) {
			continue
		}
		learner := e.followers[member.Disk]
		if learner != nil && (learner.isLeaving || e.clock.Monotonic()-learner.lastContact > e.timing.LostAfter) {
			continue
		}
		fit = append(fit, member.Disk)
	}
	return e.ranked(fit)
}

// noteShortage says once an epoch that the losses to be borne ask for more disks than there are.
func (e *Engine) noteShortage(disks int) {
	now := e.clock.Monotonic()
	if disks >= e.size {
		e.shortSince = now
		return
	}
	if now-e.shortSince > shortageLog && !e.isShortNoted {
		e.isShortNoted = true
		e.log.Info("too few disks for the losses to be borne", "key", e.key, "disks", disks, "wanted", e.size,
			"borne", (min(len(e.set.Now), disks)-1)/2)
	}
}
