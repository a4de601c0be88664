package replication

import (
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
)

// maybeCampaign starts a campaign if the key seems to be without a leader and it is this voter's turn.
func (e *Engine) maybeCampaign() {
	if e.isStatusPending || e.isLeaving || e.clock.Monotonic() < e.nextCampaignAt {
		return
	}
	e.isStatusPending = true
	e.transport.Status(e.key, func(status ReplicaStatus) {
		e.isStatusPending = false
		e.highestEpochSeen = max(e.highestEpochSeen, status.Promised)
		if status.LeaseHolderDisk != e.disk && e.clock.Monotonic() < status.LeaseUntil {
			e.hasYielded, e.fetchedChunks = false, chunkBuffer{}
		}
		voters := disksOf(status.State.Set)
		if len(voters) == 0 {
			voters = e.initialVoters
		}
		rank := slices.Index(e.ranked(voters), e.disk)
		if rank < 0 {
			e.nextCampaignAt = e.clock.Monotonic() + e.timing.Lease/4
		}
		if rank < 0 || e.phase != phaseIdle || e.isLeaving {
			return
		}
		wait := status.LeaseUntil + e.stagger(rank, len(voters))
		switch {
		case status.LeaseHolderDisk == e.disk:
			wait = 0
		case status.Released:
			wait = status.ReleasedAt + e.delayAfterRelease(rank, len(voters), status.Successor)
		}
		if now := e.clock.Monotonic(); now < wait {
			e.nextCampaignAt = min(wait, now+e.timing.Lease/4)
			return
		}
		e.ownState = status.State
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
	slices.SortFunc(order, func(a, b string) int {
		if weigh(a) > weigh(b) {
			return -1
		}
		return 1
	})
	return order
}

// delayAfterRelease lets the heir go first, if the owner has named one; it may look for a release as late as a quarter lease after.
func (e *Engine) delayAfterRelease(rank, voters int, successor string) time.Duration {
	wait := e.stagger(rank, voters) / 4
	switch successor {
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
	e.generation++
	epoch := e.highestEpochSeen + 1
	e.collectPromises(voters, epoch, true, func(granted map[string]wire.PromiseAnswer) bool {
		if _, isAgreed := e.furthestGranted(granted); !isAgreed {
			return false
		}
		e.generation++
		e.collectPromises(voters, epoch, false, func(granted map[string]wire.PromiseAnswer) bool {
			return e.winCampaign(epoch, granted)
		})
		return true
	})
}

// canvass asks all voters at once; enough is tried at each grant until it is satisfied.
func (e *Engine) collectPromises(voters []string, epoch uint64, isPreVote bool, isEnough func(map[string]wire.PromiseAnswer) bool) {
	attempt, answered := e.generation, 0
	granted := map[string]wire.PromiseAnswer{}
	for _, disk := range voters {
		call := wire.PromiseCall{Key: e.key, Epoch: epoch, Disk: e.disk, PreVote: isPreVote}
		e.transport.Promise(disk, call, func(answer wire.PromiseAnswer, err error) {
			answered++
			if e.generation != attempt || e.phase != phaseCandidate {
				return
			}
			if err == nil {
				e.highestEpochSeen = max(e.highestEpochSeen, answer.Promised)
				if e.isSupersededBy(answer) {
					e.backOff()
					e.nextCampaignAt = e.clock.Monotonic() + e.timing.LostAfter
					return
				}
				if answer.Granted {
					granted[answer.Disk] = answer
					if isEnough(granted) {
						return
					}
				}
			}
			if answered == len(voters) {
				e.backOff()
			}
		})
	}
}

// isSupersededBy tells whether a sibling has a later state whose voters are others, so that this steward need not ask.
func (e *Engine) isSupersededBy(answer wire.PromiseAnswer) bool {
	return e.ownState.Last.Below(answer.Last) && !slices.Contains(disksOf(answer.Set), e.disk)
}

func (e *Engine) backOff() {
	e.phase = phaseIdle
	jitter := fnv.New32a()
	jitter.Write([]byte{byte(e.generation), byte(e.highestEpochSeen)})
	jitter.Write([]byte(e.disk))
	e.nextCampaignAt = e.clock.Monotonic() + e.timing.Stagger + time.Duration(jitter.Sum32()%200)*time.Millisecond
}

// furthestGranted is the furthest state among those who grant; isAgreed tells whether they are a majority of its voters.
func (e *Engine) furthestGranted(granted map[string]wire.PromiseAnswer) (furthest wire.PromiseAnswer, isAgreed bool) {
	for _, disk := range slices.Sorted(maps.Keys(granted)) {
		answer := granted[disk]
		if furthest.Disk == "" || furthest.Last.Below(answer.Last) || furthest.Last == answer.Last && answer.Disk == e.disk {
			furthest = answer
		}
	}
	if len(furthest.Set.Now) == 0 {
		furthest.Set = wire.VoterSet{Now: e.initialVoters}
	}
	has := func(disk string) bool { _, isKept := granted[disk]; return isKept }
	return furthest, has(e.disk) && HasQuorum(furthest.Set, has)
}

// winCampaign takes the epoch once a majority of the voters of the furthest state has promised it: as soon as the own disk
// holds that state, the leader may open it.
func (e *Engine) winCampaign(epoch uint64, granted map[string]wire.PromiseAnswer) bool {
	furthest, isAgreed := e.furthestGranted(granted)
	if !isAgreed {
		return false
	}
	e.phase, e.epoch, e.voters = phaseFetching, epoch, furthest.Set
	e.followers, e.lastLeaseAt = map[string]*followerProgress{}, e.clock.Monotonic()
	if furthest.Disk == e.disk {
		e.openWithHistory(furthest.Last)
	} else {
		e.fetchFrom(furthest, granted[e.disk].Last)
	}
	return true
}

// openWithHistory begins to lead from the state of the own disk, which is at that position.
func (e *Engine) openWithHistory(base wire.LogPosition) {
	e.phase = phaseOpening
	attempt := e.generation
	e.transport.History(e.key, func(recent History) {
		if e.generation == attempt && e.phase == phaseOpening {
			e.openLeadership(base, recent)
		}
	})
}

// openLeadership takes the leadership over. It asks for the lease at once and keeps it while the state is being read, however long
// that takes; else another candidate would be promised the next epoch meanwhile, and fare no better.
func (e *Engine) openLeadership(base wire.LogPosition, recent History) {
	now := e.clock.Monotonic()
	e.last, e.commitIndex, e.pendingCommits = base, base.Index, nil
	e.restoreLog(base, recent)
	e.followers = map[string]*followerProgress{}
	e.votersIndex, e.snapshotReader = 0, snapshotReader{isReading: true, startedAt: now, fromIndex: base.Index}
	e.lastLeaseAt, e.shortSince, e.isShortNoted, e.progress = now, now, false, nil
	e.openedAt, e.worseSince, e.wellSince, e.wasWell = now, now, now, false
	for _, disk := range disksOf(e.voters) {
		e.sendAppend(e.followerOf(disk), true)
	}
	attempt := e.generation
	e.transport.ReadLocal(e.key, func(snapshot wire.Snapshot, err error) {
		if e.generation != attempt || e.phase != phaseOpening {
			return
		}
		e.snapshotReader = snapshotReader{}
		if err != nil || snapshot.Last != base {
			e.release("the state on its own disk could not be read", "")
			return
		}
		e.distributeSnapshot(snapshot)
		e.commitOpening(snapshot)
	})
}

// commitOpening commits a first change under the new epoch, and then hands the state to the machine.
func (e *Engine) commitOpening(snapshot wire.Snapshot) {
	openingVoters := e.voters
	attempt := e.generation
	e.propose(nil, &openingVoters, func(err error) {
		if err != nil || e.generation != attempt || e.phase != phaseOpening {
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
