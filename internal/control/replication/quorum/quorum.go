// Package quorum evaluates quorums of a key's voters. A voter set is either simple or joint. In a simple set a majority of the
// disks is a quorum. During a voter change the set is joint, and a quorum needs a majority of the old and a majority of the new
// voters, as in Raft's joint consensus. All functions are pure.
package quorum

import (
	"slices"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
)

// VotersFor returns the number of voters that a key needs to tolerate that many disk losses at once. It assumes at least one loss.
func VotersFor(losses int) int { return 2*max(1, losses) + 1 }

// Reached reports whether the disks for which has is true are a quorum of the set. An empty set has no quorum.
func Reached(set wire.VoterSet, has func(disk string) bool) bool {
	return len(set.Current) > 0 && isMajority(set.Current, has) && (!IsJoint(set) || isMajority(set.Old, has))
}

// IsJoint reports whether the set is joint, so that the old voters still vote.
func IsJoint(set wire.VoterSet) bool { return len(set.Old) > 0 }

// Disks returns the disks that vote, each once, those of the current list first.
func Disks(set wire.VoterSet) []string {
	disks := slices.Clone(set.Current)
	for _, disk := range set.Old {
		if !slices.Contains(disks, disk) {
			disks = append(disks, disk)
		}
	}
	return disks
}

// Contains reports whether a disk votes, as a current or an old voter.
func Contains(set wire.VoterSet, disk string) bool {
	return slices.Contains(set.Current, disk) || slices.Contains(set.Old, disk)
}

// LeaseEnd returns the end of the lease that a quorum of the set grants its leader. leaseOf returns the end of one disk's lease on
// the leader's monotonic clock. The result is 0 for an empty set.
func LeaseEnd(set wire.VoterSet, leaseOf func(disk string) time.Duration) time.Duration {
	end := majorityLease(set.Current, leaseOf)
	if IsJoint(set) {
		end = min(end, majorityLease(set.Old, leaseOf))
	}
	return end
}

// isMajority reports whether has is true for more than half of the voters.
func isMajority(voters []string, has func(disk string) bool) bool {
	count := 0
	for _, disk := range voters {
		if has(disk) {
			count++
		}
	}
	return 2*count > len(voters)
}

// majorityLease returns the median of the lease ends, the lower one of two. More than half of the leases last until then.
func majorityLease(voters []string, leaseOf func(disk string) time.Duration) time.Duration {
	if len(voters) == 0 {
		return 0
	}
	ends := make([]time.Duration, len(voters))
	for index, disk := range voters {
		ends[index] = leaseOf(disk)
	}
	slices.Sort(ends)
	return ends[(len(ends)-1)/2]
}
