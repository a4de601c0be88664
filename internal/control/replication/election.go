package replication

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/replication/quorum"
	"gannetline/internal/control/storage"
)

// maxBackOffJitter is how much longer than the stagger a candidate that failed waits at most.
const maxBackOffJitter = 200 * time.Millisecond

// campaignState is what an engine that does not lead knows of the key.
type campaignState struct {
	// isStatusPending tells that the own replica is being asked; nextAt is when the engine may ask it again.
	isStatusPending bool
	nextAt          time.Duration
	// highestEpochSeen is the highest epoch that this engine knows to be promised to anyone.
	highestEpochSeen uint64
	// ownState is that of the own replica as the campaign began.
	ownState storage.ReplicaState
	// fetchedChunks are the chunks of the furthest state that have come so far, also across campaigns.
	fetchedChunks chunkBuffer
	// hasYielded tells that this candidate once gave way to a voter that needs no transfer.
	hasYielded bool
}

// noteEpoch keeps the highest epoch that was seen.
func (c *campaignState) noteEpoch(epoch uint64) { c.highestEpochSeen = max(c.highestEpochSeen, epoch) }

// maybeCampaign starts a campaign if the key seems to be without a leader and it is this voter's turn.
func (e *Engine) maybeCampaign() {
	if e.campaignState.isStatusPending || e.leaving.isRequested || e.clock.Monotonic() < e.campaignState.nextAt {
		return
	}
	e.campaignState.isStatusPending = true
	e.transport.Status(e.key, func(status ReplicaStatus) {
		e.campaignState.isStatusPending = false
		e.considerStatus(status)
	})
}

// considerStatus decides by the state of the own replica whether to campaign now, or when to look again.
func (e *Engine) considerStatus(status ReplicaStatus) {
	now := e.clock.Monotonic()
	e.campaignState.noteEpoch(status.Promised)
	if status.LeaseHolderDisk != e.disk && now < status.LeaseUntil {
		e.campaignState.hasYielded, e.campaignState.fetchedChunks = false, chunkBuffer{}
	}
	voters := quorum.Disks(status.State.Voters)
	if len(voters) == 0 {
		voters = e.initialVoters
	}
	rank := slices.Index(e.ranked(voters), e.disk)
	if rank < 0 {
		e.campaignState.nextAt = now + e.timing.Lease/4
		return
	}
	if e.phase != phaseIdle || e.leaving.isRequested {
		return
	}
	if due := e.campaignDue(status, rank, len(voters)); now < due {
		e.campaignState.nextAt = min(due, now+e.timing.Lease/4)
		return
	}
	e.campaignState.ownState = status.State
	e.campaign(voters)
}

// campaignDue is when the candidate of a rank may campaign: at once under a lease of its own, after the release of a
// leader that gave the key back, and else when the lease that its replica has granted is over.
func (e *Engine) campaignDue(status ReplicaStatus, rank, voters int) time.Duration {
	switch {
	case status.LeaseHolderDisk == e.disk:
		return 0
	case status.Released:
		return status.ReleasedAt + e.delayAfterRelease(rank, voters, status.Successor)
	}
	return status.LeaseUntil + e.stagger(rank, voters)
}

// stagger is how long a candidate lets those before it campaign; the last of any set waits as long as the last of three.
func (e *Engine) stagger(rank, voters int) time.Duration {
	return time.Duration(rank) * e.timing.Stagger * 2 / time.Duration(max(2, voters-1))
}

// delayAfterRelease lets the successor go first, if the leader has named one; it may look for a release as late as a
// quarter of a lease after.
func (e *Engine) delayAfterRelease(rank, voters int, successor string) time.Duration {
	delay := e.stagger(rank, voters) / 4
	switch successor {
	case "":
		return delay
	case e.disk:
		return 0
	}
	return e.timing.Lease/4 + e.timing.Stagger + delay
}

// ranked orders disks by rendezvous hash, so that the leaders of many keys spread over stewards.
func (e *Engine) ranked(disks []string) []string {
	weight := func(disk string) uint64 {
		sum := fnv.New64a()
		sum.Write([]byte(e.key + "/" + disk))
		return sum.Sum64()
	}
	order := slices.Clone(disks)
	slices.SortFunc(order, func(a, b string) int { return cmp.Compare(weight(b), weight(a)) })
	return order
}

// campaign first asks by a pre-vote whether a quorum would promise, so that a steward that was cut off disturbs nobody, and
// then for the promises.
func (e *Engine) campaign(voters []string) {
	e.phase = phaseCandidate
	e.generation++
	epoch := e.campaignState.highestEpochSeen + 1
	e.collectPromises(voters, epoch, true, func(granted map[string]wire.PromiseAnswer) bool {
		if _, isQuorum := e.furthestGranted(granted); !isQuorum {
			return false
		}
		e.generation++
		e.collectPromises(voters, epoch, false, func(granted map[string]wire.PromiseAnswer) bool {
			return e.winCampaign(epoch, granted)
		})
		return true
	})
}

// collectPromises asks all voters at once; isEnough is tried at each grant until it is satisfied. If it never is, the
// candidate backs off.
func (e *Engine) collectPromises(voters []string, epoch uint64, isPreVote bool, isEnough func(map[string]wire.PromiseAnswer) bool) {
	step, answered := e.step(), 0
	granted := map[string]wire.PromiseAnswer{}
	for _, disk := range voters {
		call := wire.PromiseCall{Key: e.key, Epoch: epoch, Disk: e.disk, PreVote: isPreVote}
		e.transport.Promise(disk, call, func(answer wire.PromiseAnswer, err error) {
			answered++
			if e.step() != step {
				return
			}
			if err == nil {
				e.campaignState.noteEpoch(answer.Promised)
				if e.isSupersededBy(answer) {
					e.backOff()
					e.campaignState.nextAt = e.clock.Monotonic() + e.timing.LostAfter
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

// isSupersededBy tells whether a peer has a later state in which this disk is no voter, so that this steward need not ask.
func (e *Engine) isSupersededBy(answer wire.PromiseAnswer) bool {
	return e.campaignState.ownState.Last.Below(answer.Last) && !quorum.Contains(answer.Voters, e.disk)
}

// backOff ends a campaign; the next comes after a pause that differs from disk to disk.
func (e *Engine) backOff() {
	e.phase = phaseIdle
	jitter := fnv.New32a()
	jitter.Write([]byte{byte(e.generation), byte(e.campaignState.highestEpochSeen)})
	jitter.Write([]byte(e.disk))
	pause := time.Duration(jitter.Sum32()%uint32(maxBackOffJitter/time.Millisecond)) * time.Millisecond
	e.campaignState.nextAt = e.clock.Monotonic() + e.timing.Stagger + pause
}

// furthestGranted is the furthest state among those who grant, the own one where several are equal; isQuorum tells whether
// they are a quorum of its voters. Any change that was ever acknowledged is in it then, as two quorums share a disk.
func (e *Engine) furthestGranted(granted map[string]wire.PromiseAnswer) (furthest wire.PromiseAnswer, isQuorum bool) {
	for _, disk := range slices.Sorted(maps.Keys(granted)) {
		answer := granted[disk]
		if furthest.Disk == "" || furthest.Last.Below(answer.Last) || furthest.Last == answer.Last && answer.Disk == e.disk {
			furthest = answer
		}
	}
	if len(furthest.Voters.Current) == 0 {
		furthest.Voters = wire.VoterSet{Current: e.initialVoters}
	}
	hasGranted := func(disk string) bool {
		_, isGranted := granted[disk]
		return isGranted
	}
	return furthest, hasGranted(e.disk) && quorum.Reached(furthest.Voters, hasGranted)
}

// winCampaign takes the epoch once a quorum of the voters of the furthest state has promised it: as soon as the own disk
// holds that state, the leader may open it.
func (e *Engine) winCampaign(epoch uint64, granted map[string]wire.PromiseAnswer) bool {
	furthest, isQuorum := e.furthestGranted(granted)
	if !isQuorum {
		return false
	}
	e.phase, e.epoch, e.voters.set = phaseFetching, epoch, furthest.Voters
	e.followers, e.lastLeaseAt = map[string]*followerProgress{}, e.clock.Monotonic()
	if furthest.Disk == e.disk {
		e.openWithHistory(furthest.Last)
	} else {
		e.fetchFrom(furthest, granted[e.disk].Last)
	}
	return true
}
