package replication

import (
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
)

// considerCampaign starts a campaign if the key seems to be without a leader and it is this voter's turn.
func (e *Engine) considerCampaign() {
	if e.isAsking || e.isLeaving || e.clock.Monotonic() < e.nextTry {
		return
	}
	e.isAsking = true
	e.links.Status(e.key, func(status ReplicaStatus) {
		e.isAsking = false
		e.highest = max(e.highest, status.Promised)
		if status.Disk != e.disk && e.clock.Monotonic() < status.LeaseEnd {
			e.hasSteppedAside, e.fetched = false, chunkBuffer{}
		}
		voters := disksOf(status.State.Set)
		if len(voters) == 0 {
			voters = e.initialVoters
		}
		rank := slices.Index(e.ranked(voters), e.disk)
		if rank < 0 {
			e.nextTry = e.clock.Monotonic() + e.timing.Lease/4
		}
		if rank < 0 || e.phase != phaseIdle || e.isLeaving {
			return
		}
		wait := status.LeaseEnd + e.stagger(rank, len(voters))
		switch {
		case status.Disk == e.disk:
			wait = 0
		case status.Released:
			wait = status.ReleasedAt + e.afterRelease(rank, len(voters), status.Successor)
		}
		if now := e.clock.Monotonic(); now < wait {
			e.nextTry = min(wait, now+e.timing.Lease/4)
			return
		}
		e.replica = status.State
		e.campaign(voters)
	})
}

// stagger is how long a candidate lets those before it try; the last of any set waits as long as the last of three.
func (e *Engine) stagger(rank, voters int) time.Duration {
	return time.Duration(rank) * e.timing.Stagger * 2 / time.Duration(max(2, voters-1))
}

// ranked orders the voters by rendezvous hash, so that keys spread over stewards.
func (e *Engine) ranked(voters []string) []string {
	weigh := func(disk string) uint64 {
		sum := fnv.New64a()
		sum.Write([]byte(e.key + "/" + disk))
		return sum.Sum64()
	}
	order := slices.Clone(voters)
	slices.SortFunc(order, func(one, two string) int {
		if weigh(one) > weigh(two) {
			return -1
		}
		return 1
	})
	return order
}

// afterRelease lets the heir go first, if the owner has named one; it may look for a release as late as a quarter lease after.
func (e *Engine) afterRelease(rank, voters int, heir string) time.Duration {
	wait := e.stagger(rank, voters) / 4
	switch heir {
	case "":
		return wait
	case e.disk:
		return 0
	}
	return e.timing.Lease/4 + e.timing.Stagger + wait
}

// ask first tries whether a majority would promise, so that a steward that was cut off disturbs nobody.
func (e *Engine) campaign(voters []string) {
	e.phase = phaseCandidate
	e.attempt++
	epoch := e.highest + 1
	e.collectPromises(voters, epoch, true, func(granted map[string]wire.PromiseAnswer) bool {
		if _, isAgreed := e.best(granted); !isAgreed {
			return false
		}
		e.attempt++
		e.collectPromises(voters, epoch, false, func(granted map[string]wire.PromiseAnswer) bool {
			return e.tryLeading(epoch, granted)
		})
		return true
	})
}

// canvass asks all voters at once; enough is tried at each grant until it is satisfied.
func (e *Engine) collectPromises(voters []string, epoch uint64, isTrial bool, enough func(map[string]wire.PromiseAnswer) bool) {
	attempt, heard := e.attempt, 0
	granted := map[string]wire.PromiseAnswer{}
	for _, disk := range voters {
		call := wire.PromiseCall{Key: e.key, Epoch: epoch, Disk: e.disk, PreVote: isTrial}
		e.links.Promise(disk, call, func(answer wire.PromiseAnswer, err error) {
			heard++
			if e.attempt != attempt || e.phase != phaseCandidate {
				return
			}
			if err == nil {
				e.highest = max(e.highest, answer.Promised)
				if e.isOutvoted(answer) {
					e.backOff()
					e.nextTry = e.clock.Monotonic() + e.timing.LostAfter
					return
				}
				if answer.Granted {
					granted[answer.Disk] = answer
					if enough(granted) {
						return
					}
				}
			}
			if heard == len(voters) {
				e.backOff()
			}
		})
	}
}

// isOutvoted tells whether a sibling has a later state whose voters are others, so that this steward need not ask.
func (e *Engine) isOutvoted(answer wire.PromiseAnswer) bool {
	return e.replica.Last.Below(answer.Last) && !slices.Contains(disksOf(answer.Set), e.disk)
}

func (e *Engine) backOff() {
	e.phase = phaseIdle
	spread := fnv.New32a()
	spread.Write([]byte{byte(e.attempt), byte(e.highest)})
	spread.Write([]byte(e.disk))
	e.nextTry = e.clock.Monotonic() + e.timing.Stagger + time.Duration(spread.Sum32()%200)*time.Millisecond
}

// best is the furthest state among those who grant; isAgreed tells whether they are a majority of its voters.
func (e *Engine) best(granted map[string]wire.PromiseAnswer) (best wire.PromiseAnswer, isAgreed bool) {
	for _, disk := range slices.Sorted(maps.Keys(granted)) {
		answer := granted[disk]
		if best.Disk == "" || best.Last.Below(answer.Last) || best.Last == answer.Last && answer.Disk == e.disk {
			best = answer
		}
	}
	if len(best.Set.Now) == 0 {
		best.Set = wire.VoterSet{Now: e.initialVoters}
	}
	has := func(disk string) bool { _, isThere := granted[disk]; return isThere }
	return best, has(e.disk) && Agreed(best.Set, has)
}

// tryLeading takes the epoch once a majority of the voters of the furthest state has promised it: as soon as the own disk
// holds that state, the leader may open it.
func (e *Engine) tryLeading(epoch uint64, granted map[string]wire.PromiseAnswer) bool {
	best, isAgreed := e.best(granted)
	if !isAgreed {
		return false
	}
	e.phase, e.epoch, e.set = phaseFetching, epoch, best.Set
	e.followers, e.staleSince = map[string]*follower{}, e.clock.Monotonic()
	if best.Disk == e.disk {
		e.openWithHistory(best.Last)
	} else {
		e.fetchFrom(best, granted[e.disk].Last)
	}
	return true
}

// openWithHistory begins to lead from the state of the own disk, which is at that position.
func (e *Engine) openWithHistory(base wire.LogPosition) {
	e.phase = phaseOpening
	attempt := e.attempt
	e.links.History(e.key, func(recent History) {
		if e.attempt == attempt && e.phase == phaseOpening {
			e.open(base, recent)
		}
	})
}

// open takes the leadership over. It asks for the lease at once and keeps it while the state is being read, however long
// that takes; else another candidate would be promised the next epoch meanwhile, and fare no better.
func (e *Engine) open(base wire.LogPosition, recent History) {
	now := e.clock.Monotonic()
	e.last, e.committed, e.waiting = base, base.Index, nil
	e.inherit(base, recent)
	e.followers = map[string]*follower{}
	e.setIndex, e.reader = 0, stateReader{isReading: true, since: now, from: base.Index}
	e.staleSince, e.shortSince, e.isShortNoted, e.marks = now, now, false, nil
	e.openedAt, e.worseSince, e.wellSince, e.wasWell = now, now, now, false
	for _, disk := range disksOf(e.set) {
		e.send(e.follow(disk), true)
	}
	attempt := e.attempt
	e.links.ReadLocal(e.key, func(snapshot wire.Snapshot, err error) {
		if e.attempt != attempt || e.phase != phaseOpening {
			return
		}
		e.reader = stateReader{}
		if err != nil || snapshot.Last != base {
			e.release("the state on its own disk could not be read", "")
			return
		}
		e.offer(snapshot)
		e.takeOver(snapshot)
	})
}

// takeOver commits a first change under the new epoch, and then hands the state to the machine.
func (e *Engine) takeOver(snapshot wire.Snapshot) {
	opening := e.set
	attempt := e.attempt
	e.propose(nil, &opening, func(err error) {
		if err != nil || e.attempt != attempt || e.phase != phaseOpening {
			return
		}
		e.phase = phaseLeading
		e.leadership = newLeadership(e)
		e.log.Info("owner of key", "key", e.key, "epoch", e.epoch, "step", snapshot.Last.Index)
		if err := e.machine.Open(e.leadership, snapshot.Pairs); err != nil {
			e.log.Error(err, "the state of the key could not be taken over", "key", e.key)
			e.stepDown("unreadable state")
			return
		}
		e.announce(wire.LeaderFact{Key: e.key, Epoch: e.epoch, Name: e.name})
	})
}
