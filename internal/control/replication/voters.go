package replication

import (
	"slices"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/replication/quorum"
)

const (
	// maxLag is the number of changes that a follower may lack and still count as caught up, however old they are.
	maxLag = 200
	// shortageLogDelay is how long a shortage of disks lasts before it is logged.
	shortageLogDelay = 5 * time.Second
)

// voterState is the current voter set and the index of the change that set it. A set takes effect when it is proposed, so it may not
// be committed yet. No other voter change is proposed while the set is joint or not committed.
type voterState struct {
	set   wire.VoterSet
	index uint64
}

func (v *voterState) isCommitted(commitIndex uint64) bool { return v.index <= commitIndex }

// voterShortage holds since when there have been too few disks, and whether this was logged.
type voterShortage struct {
	since    time.Duration
	isLogged bool
}

// maybeChangeVoters proposes a change towards the wanted voter set: lost voters are replaced, and 2f+1 voters are spread over
// zones. A change goes through a joint voter set, so that any two quorums share a disk at all times.
func (e *Engine) maybeChangeVoters() {
	if quorum.IsJoint(e.voters.set) || !e.voters.isCommitted(e.commits.index) {
		return
	}
	members := e.members()
	current := e.voters.set.Current
	selection := quorum.Selection{Current: current, Goal: e.voterGoal,
		IsLost:   func(disk string) bool { return e.isLost(members, disk) },
		DomainOf: func(disk string) string { return domainOf(members, disk) }}
	candidates := e.voterCandidates(members)
	e.trackVoterShortage(len(selection.Kept()) + len(candidates))
	wanted := selection.Next(candidates)
	if slices.Equal(wanted, current) {
		e.dropNonVoters()
		return
	}
	next := selection.Next(e.caughtUp(candidates, wanted))
	if slices.Equal(next, current) {
		return
	}
	e.log.Info("changing voters", "key", e.key, "from", current, "to", next)
	e.propose(nil, &wire.VoterSet{Old: current, Current: next}, func(error) {})
}

// caughtUp returns the wanted candidates that have caught up, and replicates to the other wanted ones as learners.
func (e *Engine) caughtUp(candidates, wanted []string) []string {
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
	return ready
}

// hasCaughtUp reports whether a learner may become a voter: it lacks at most maxLag changes, or lags by at most Timing.LostAfter,
// however many changes that is. Changes that it still lacks can only delay the voter change, which is committed once a majority of
// the old voters and a majority of the new ones hold it and all changes before it.
func (e *Engine) hasCaughtUp(learner *followerProgress) bool {
	return e.isWithinLag(learner, e.timing.LostAfter)
}

// leaveJoint proposes the new voters alone once the joint voter set is committed.
func (e *Engine) leaveJoint() {
	if e.phase != phaseLeading || !quorum.IsJoint(e.voters.set) || !e.voters.isCommitted(e.commits.index) {
		return
	}
	final := wire.VoterSet{Current: e.voters.set.Current}
	e.propose(nil, &final, func(error) {})
}

// dropNonVoters stops replicating to disks that are not voters. It is called while the voter set is committed and no change of it is
// wanted. A disk whose process is shutting down is notified that it has been removed, so that the process can exit.
func (e *Engine) dropNonVoters() {
	for _, follower := range e.sortedFollowers() {
		if quorum.Contains(e.voters.set, follower.disk) {
			continue
		}
		delete(e.followers, follower.disk)
		e.publishLease()
		if follower.isLeaving {
			call := e.newAppendCall(follower.acked)
			call.VotedOut = true
			e.transport.Append(follower.disk, call, func(wire.AppendAnswer, error) {})
		}
	}
}

// isLost reports whether a voter should be replaced: its machine has another disk now, its process is shutting down, or it has not
// answered for Timing.LostAfter. The leader's own disk never counts as lost. A lost voter stays until a learner can replace it, so a
// voter that is merely slow is kept meanwhile.
func (e *Engine) isLost(members []wire.Member, disk string) bool {
	if disk == e.disk {
		return false
	}
	voter := e.followerOf(disk)
	return isReplaced(members, disk) || e.isUnavailable(voter)
}

// isUnavailable reports whether a follower's process is shutting down or has not answered for Timing.LostAfter.
func (e *Engine) isUnavailable(follower *followerProgress) bool {
	return follower.isLeaving || e.clock.Monotonic()-follower.lastContact > e.timing.LostAfter
}

// isReplaced reports whether a member lists the disk among its former disks and now has another one.
func isReplaced(members []wire.Member, disk string) bool {
	return slices.ContainsFunc(members, func(member wire.Member) bool {
		return member.Disk != disk && slices.Contains(member.FormerDisks, disk)
	})
}

// domainOf returns the zone of a disk, or an empty string if no member has the disk.
func domainOf(members []wire.Member, disk string) string {
	for _, member := range members {
		if member.Disk == disk {
			return member.Domain
		}
	}
	return ""
}

// voterCandidates returns the disks of live members that are not voters, in the key's ranking. Unavailable learners are left out.
func (e *Engine) voterCandidates(members []wire.Member) []string {
	var candidates []string
	for _, member := range members {
		if member.Disk == "" || member.State != wire.StateAlive || slices.Contains(e.voters.set.Current, member.Disk) {
			continue
		}
		learner := e.followers[member.Disk]
		if learner != nil && e.isUnavailable(learner) {
			continue
		}
		candidates = append(candidates, member.Disk)
	}
	return e.rankDisks(candidates)
}

// trackVoterShortage is given the number of usable disks. It logs, once per leadership, that they have been fewer than voterGoal for
// shortageLogDelay.
func (e *Engine) trackVoterShortage(disks int) {
	now := e.clock.Monotonic()
	if disks >= e.voterGoal {
		e.shortage.since = now
		return
	}
	if now-e.shortage.since > shortageLogDelay && !e.shortage.isLogged {
		e.shortage.isLogged = true
		e.log.Info("too few disks for the losses to be borne", "key", e.key, "disks", disks, "wanted", e.voterGoal,
			"borne", (min(len(e.voters.set.Current), disks)-1)/2)
	}
}
