package replication

import (
	"slices"
	"time"

	"gannetline/internal/peerapi"
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
		if one := e.follow(disk); e.hasCaughtUp(one) {
			ready = append(ready, disk)
		} else {
			e.send(one, true)
		}
	}
	next := choice.from(ready)
	if slices.Equal(next, e.set.Now) {
		return
	}
	e.log.Info("changing the voters of a key", "key", e.key, "from", e.set.Now, "to", next)
	e.propose(nil, &peerapi.VoterSet{Old: e.set.Now, Now: next}, func(error) {})
}

func (e *Engine) hasCaughtUp(one *follower) bool {
	return one.isKnown && one.acked.Epoch == e.epoch && e.last.Index-one.acked.Index <= mostBehind
}

func (e *Engine) finishSwap() {
	if e.phase != phaseLeading || len(e.set.Old) == 0 || e.setIndex > e.committed {
		return
	}
	final := peerapi.VoterSet{Now: e.set.Now}
	e.propose(nil, &final, func(error) {})
}

func (e *Engine) forgetOutsiders() {
	for disk := range e.followers {
		if !slices.Contains(disksOf(e.set), disk) {
			delete(e.followers, disk)
		}
	}
}

// isLost tells whether a voter's machine came back with another disk, or has not answered for long.
// It only matters once there is a learner to take its place, so a voter that is merely slow is kept elsewhere.
func (e *Engine) isLost(members []peerapi.Member, disk string) bool {
	return disk != e.disk && (isReplaced(members, disk) || e.clock.Steady()-e.follow(disk).lastContact > e.timing.LostAfter)
}

func isReplaced(members []peerapi.Member, disk string) bool {
	return slices.ContainsFunc(members, func(member peerapi.Member) bool {
		return member.Disk != disk && slices.Contains(member.Past, disk)
	})
}

func domainOf(members []peerapi.Member, disk string) string {
	for _, member := range members {
		if member.Disk == disk {
			return member.Domain
		}
	}
	return ""
}

// fitForVoting lists live disks that are no voters, in the key's own order; a learner that stays silent is left out.
func (e *Engine) fitForVoting(members []peerapi.Member) []string {
	var fit []string
	for _, member := range members {
		if member.Disk == "" || member.State != peerapi.StateAlive || slices.Contains(e.set.Now, member.Disk) {
			continue
		}
		if one := e.followers[member.Disk]; one != nil && e.clock.Steady()-one.lastContact > e.timing.LostAfter {
			continue
		}
		fit = append(fit, member.Disk)
	}
	return e.ranked(fit)
}

// noteShortage says once an epoch that the losses to be borne ask for more disks than there are.
func (e *Engine) noteShortage(disks int) {
	now := e.clock.Steady()
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
