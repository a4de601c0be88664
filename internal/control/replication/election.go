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

// maxBackOffJitter limits the time that a failed candidate waits in addition to Timing.Stagger.
const maxBackOffJitter = 200 * time.Millisecond

// campaignState is the state that an engine keeps for its campaigns.
type campaignState struct {
	// isStatusPending is set while a status call to the local replica is in flight. nextAt is the earliest time of the next one.
	isStatusPending bool
	nextAt          time.Duration
	// highestEpochSeen is the highest promised epoch that this engine has seen, whoever the candidate was.
	highestEpochSeen uint64
	// ownState is the state of the local replica at the start of the campaign.
	ownState storage.ReplicaState
	// fetchedChunks holds the chunks of the most up-to-date state that have been received. They are kept across campaigns, until another
	// disk holds the lease.
	fetchedChunks chunkBuffer
	// hasYielded is set if this candidate has yielded to a more up-to-date voter, which can lead without fetching a snapshot. It is reset
	// when another disk holds the lease.
	hasYielded bool
}

// recordEpoch raises highestEpochSeen to an epoch that was seen.
func (c *campaignState) recordEpoch(epoch uint64) {
	c.highestEpochSeen = max(c.highestEpochSeen, epoch)
}

// maybeCampaign asks for the status of the local replica, and starts a campaign if the key has no known leader and it is this
// voter's turn.
func (e *Engine) maybeCampaign() {
	if e.campaignState.isStatusPending || e.leaving.isRequested || e.clock.Monotonic() < e.campaignState.nextAt {
		return
	}
	e.campaignState.isStatusPending = true
	e.transport.Status(e.key, func(status ReplicaStatus) {
		e.campaignState.isStatusPending = false
		e.campaignIfDue(status)
	})
}

// campaignIfDue starts a campaign if the status of the local replica allows one now. Otherwise it sets the time of the next check.
func (e *Engine) campaignIfDue(status ReplicaStatus) {
	now := e.clock.Monotonic()
	e.campaignState.recordEpoch(status.Promised)
	if status.LeaseHolderDisk != e.disk && now < status.LeaseUntil {
		e.campaignState.hasYielded, e.campaignState.fetchedChunks = false, chunkBuffer{}
	}
	voters := quorum.Disks(status.State.Voters)
	if len(voters) == 0 {
		voters = e.initialVoters
	}
	rank := slices.Index(e.rankDisks(voters), e.disk)
	if rank < 0 {
		e.campaignState.nextAt = now + e.timing.Lease/4
		return
	}
	if e.phase != phaseIdle || e.leaving.isRequested {
		return
	}
	if due := e.earliestCampaignTime(status, rank, len(voters)); now < due {
		e.campaignState.nextAt = min(due, now+e.timing.Lease/4)
		return
	}
	e.campaignState.ownState = status.State
	e.campaign(voters)
}

// earliestCampaignTime returns when the candidate of a rank may campaign. If the local replica granted its last lease to this disk, the
// candidate may campaign at once, even if that lease has not ended. Otherwise it waits for a delay after the release of the key or, if
// the key was not released, after the end of the lease. The candidate of a retiring machine always waits, and longer.
func (e *Engine) earliestCampaignTime(status ReplicaStatus, rank, voters int) time.Duration {
	switch {
	case status.LeaseHolderDisk == e.disk && !e.leaving.isRetiring:
		return 0
	case status.Released:
		return status.ReleasedAt + e.delayAfterRelease(rank, voters, status.Successor) + e.retiringDelay()
	}
	return status.LeaseUntil + e.staggerDelay(rank, voters) + e.retiringDelay()
}

// staggerDelay returns how long the candidate of a rank waits for those ranked before it. The delays shrink in larger voter sets, so
// that the last candidate never waits longer than the last of three.
func (e *Engine) staggerDelay(rank, voters int) time.Duration {
	return time.Duration(rank) * e.timing.Stagger * 2 / time.Duration(max(2, voters-1))
}

// delayAfterRelease returns how long the candidate of a rank waits after a release. A successor that the leader named goes first.
// The others wait a quarter of a lease and Timing.Stagger longer, since the successor may notice the release only a quarter of a
// lease after it.
func (e *Engine) delayAfterRelease(rank, voters int, successor string) time.Duration {
	delay := e.staggerDelay(rank, voters) / 4
	switch successor {
	case "":
		return delay
	case e.disk:
		return 0
	}
	return e.timing.Lease/4 + e.timing.Stagger + delay
}

// rankDisks orders disks by rendezvous hash with the key, so that the leaders of many keys spread over the stewards. This order is
// the key's ranking.
func (e *Engine) rankDisks(disks []string) []string {
	weight := func(disk string) uint64 {
		sum := fnv.New64a()
		sum.Write([]byte(e.key + "/" + disk))
		return sum.Sum64()
	}
	order := slices.Clone(disks)
	slices.SortFunc(order, func(a, b string) int { return cmp.Compare(weight(b), weight(a)) })
	return order
}

// campaign collects pre-votes, and then promises once a quorum has granted the pre-vote. A steward that comes back from a
// partition thus does not disrupt the leader.
func (e *Engine) campaign(voters []string) {
	e.phase = phaseCandidate
	e.generation++
	epoch := e.campaignState.highestEpochSeen + 1
	e.collectPromises(voters, epoch, true, func(granted map[string]wire.PromiseAnswer) bool {
		if _, isQuorum := e.latestGranted(granted); !isQuorum {
			return false
		}
		e.generation++
		e.collectPromises(voters, epoch, false, func(granted map[string]wire.PromiseAnswer) bool {
			return e.winCampaign(epoch, granted)
		})
		return true
	})
}

// collectPromises asks all voters at once and calls isEnough after each grant. It stops when isEnough returns true. The candidate backs
// off if all voters have answered before that, or if an answer shows that this disk is no longer a voter.
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
				e.campaignState.recordEpoch(answer.Promised)
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

// isSupersededBy reports whether a peer has a later state in which this disk is not a voter. The voters of that state should then
// elect the leader.
func (e *Engine) isSupersededBy(answer wire.PromiseAnswer) bool {
	return e.campaignState.ownState.Last.Below(answer.Last) && !quorum.Contains(answer.Voters, e.disk)
}

// backOff ends a campaign. The next one starts no earlier than after Timing.Stagger plus a jitter that differs from disk to disk.
func (e *Engine) backOff() {
	e.phase = phaseIdle
	hash := fnv.New32a()
	hash.Write([]byte{byte(e.generation), byte(e.campaignState.highestEpochSeen)})
	hash.Write([]byte(e.disk))
	jitter := time.Duration(hash.Sum32()%uint32(maxBackOffJitter/time.Millisecond)) * time.Millisecond
	e.campaignState.nextAt = e.clock.Monotonic() + e.timing.Stagger + jitter
}

// latestGranted returns the most up-to-date state among the granted promises, and prefers the local disk if several are equal.
// isQuorum reports whether the granting disks are a quorum of that state's voters and include the local disk. The state then
// contains every acknowledged change, since any two quorums share a disk.
func (e *Engine) latestGranted(granted map[string]wire.PromiseAnswer) (latest wire.PromiseAnswer, isQuorum bool) {
	for _, disk := range slices.Sorted(maps.Keys(granted)) {
		answer := granted[disk]
		if latest.Disk == "" || latest.Last.Below(answer.Last) || latest.Last == answer.Last && answer.Disk == e.disk {
			latest = answer
		}
	}
	if len(latest.Voters.Current) == 0 {
		latest.Voters = wire.VoterSet{Current: e.initialVoters}
	}
	hasGranted := func(disk string) bool {
		_, isGranted := granted[disk]
		return isGranted
	}
	return latest, hasGranted(e.disk) && quorum.Reached(latest.Voters, hasGranted)
}

// winCampaign takes the epoch once a quorum of the voters of the most up-to-date state has promised it. It then opens that state,
// after fetching it if the local disk lacks changes. It returns false if there is no quorum yet.
func (e *Engine) winCampaign(epoch uint64, granted map[string]wire.PromiseAnswer) bool {
	latest, isQuorum := e.latestGranted(granted)
	if !isQuorum {
		return false
	}
	e.phase, e.epoch, e.voters.set = phaseFetching, epoch, latest.Voters
	e.followers, e.lastLeaseAt = map[string]*followerProgress{}, e.clock.Monotonic()
	if latest.Disk == e.disk {
		e.openWithHistory(latest.Last)
	} else {
		e.fetchFrom(latest, granted[e.disk].Last)
	}
	return true
}
