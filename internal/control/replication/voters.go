package replication

import (
	"slices"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
)

const (
	maxLag  = 200
	shortageLogDelay = 5 * time.Second
)

// maybeChangeVoters brings the voter set nearer to what is wanted: lost voters replaced, 2f+1 of them, spread over domains.
func (e *Engine) maybeChangeVoters() {
	if len(e.voters.Old) > 0 || e.votersIndex > e.commitIndex {
		return
	}
	members := e.members()
	choice := voterSelection{current: e.voters.Now, goal: e.voterGoal, isLost: func(disk string) bool { return e.isLost(members, disk) },
		domainOf: func(disk string) string { return domainOf(members, disk) }}
	candidates := e.fitForVoting(members)
	e.noteShortage(len(choice.kept()) + len(candidates))
	wanted := choice.next(candidates)
	if slices.Equal(wanted, e.voters.Now) {
		e.dropNonVoters()
		return
	}
	var ready []string
	for _, disk := range candidates {
		if !slices.Contains(wanted, disk) {
			continue
		}
		if learner := e.followerOf(disk); e.hasCaughtUp(learner) {
			ready = append(ready, disk)
		} else {
			e.sendAppend(learner, true)
		}
	}
	next := choice.next(ready)
	if slices.Equal(next, e.voters.Now) {
		return
	}
	e.log.Info("changing the voters of a key", "key", e.key, "from", e.voters.Now, "to", next)
	e.propose(nil, &wire.VoterSet{Old: e.voters.Now, Now: next}, func(error) {})
}

// hasCaughtUp tells whether a learner may become a voter: it lacks little, or follows within the time after which a voter
// would count as lost, however many changes that is. What it still lacks can only make the change of voters wait, as that
// counts once a majority of the old voters and one of the new hold it, and with it all changes before it.
func (e *Engine) hasCaughtUp(learner *followerProgress) bool {
	return e.isWithinLag(learner, e.timing.LostAfter)
}

// isWithinLag tells whether a follower lacks few changes, or none that is older than the given age.
func (e *Engine) isWithinLag(follower *followerProgress, age time.Duration) bool {
	if !follower.isPositionKnown || follower.acked.Epoch != e.epoch {
		return false
	}
	isNear := e.last.Index-follower.acked.Index <= maxLag
	return isNear || e.progress.hadReached(follower.acked.Index, e.clock.Monotonic()-age)
}

// leaveJoint proposes the new voters alone, once the joint set is committed.
func (e *Engine) leaveJoint() {
	if e.phase != phaseLeading || len(e.voters.Old) == 0 || e.votersIndex > e.commitIndex {
		return
	}
	final := wire.VoterSet{Now: e.voters.Now}
	e.propose(nil, &final, func(error) {})
}

// dropNonVoters ends the following of disks that are no voters; it runs once the voter set is committed.
func (e *Engine) dropNonVoters() {
	for _, outsider := range e.sortedFollowers() {
		if slices.Contains(disksOf(e.voters), outsider.disk) {
			continue
		}
		delete(e.followers, outsider.disk)
		e.publishLease()
		if outsider.isLeaving {
			call := e.appendCall()
			call.Prev, call.VotedOut = outsider.acked, true
			e.transport.Append(outsider.disk, call, func(wire.AppendAnswer, error) {})
		}
	}
}

// isLost tells whether a voter's machine came back with another disk, is leaving, or has not answered for long.
// It only matters once there is a learner to take its place, so a voter that is merely slow is kept elsewhere.
func (e *Engine) isLost(members []wire.Member, disk string) bool {
	if disk == e.disk {
		return false
	}
	voter := e.followerOf(disk)
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
	var candidates []string
	for _, member := range members {
		if member.Disk == "" || member.State != wire.StateAlive || slices.Contains(e.voters.Now, member.Disk) {
			continue
		}
		learner := e.followers[member.Disk]
		if learner != nil && (learner.isLeaving || e.clock.Monotonic()-learner.lastContact > e.timing.LostAfter) {
			continue
		}
		candidates = append(candidates, member.Disk)
	}
	return e.ranked(candidates)
}

// noteShortage says once an epoch that the losses to be borne ask for more disks than there are.
func (e *Engine) noteShortage(disks int) {
	now := e.clock.Monotonic()
	if disks >= e.voterGoal {
		e.shortSince = now
		return
	}
	if now-e.shortSince > shortageLogDelay && !e.isShortNoted {
		e.isShortNoted = true
		e.log.Info("too few disks for the losses to be borne", "key", e.key, "disks", disks, "wanted", e.voterGoal,
			"borne", (min(len(e.voters.Now), disks)-1)/2)
	}
}
