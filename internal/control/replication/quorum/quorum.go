// Package quorum knows which disks of a key must agree. A voter set is either simple, a list of disks of which a majority
// decides, or joint: while voters are being changed, a majority of the old list and one of the new list are both needed, as in
// Raft's joint consensus. Everything here is a pure function of its arguments.
package quorum

import (
	"slices"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
)

// VotersFor is how many voters a key needs to bear the loss of so many disks at once. At least one loss is always borne.
func VotersFor(losses int) int { return 2*max(1, losses) + 1 }

// Reached tells whether the disks for which has is true are a quorum of the set. An empty set has no quorum.
func Reached(set wire.VoterSet, has func(disk string) bool) bool {
	return len(set.Current) > 0 && isMajority(set.Current, has) && (!IsJoint(set) || isMajority(set.Old, has))
}

// IsJoint tells whether the old voters still count beside the new ones.
func IsJoint(set wire.VoterSet) bool { return len(set.Old) > 0 }

// Disks lists the disks that vote, those of the new list first, each once.
func Disks(set wire.VoterSet) []string {
	disks := slices.Clone(set.Current)
	for _, disk := range set.Old {
		if !slices.Contains(disks, disk) {
			disks = append(disks, disk)
		}
	}
	return disks
}

// Contains tells whether a disk votes.
func Contains(set wire.VoterSet, disk string) bool {
	return slices.Contains(set.Current, disk) || slices.Contains(set.Old, disk)
}

// LeaseEnd is the latest moment at which a quorum of the set still vouches for its leader; leaseOf tells until when one
// disk does, as a time on the leader's monotonic clock. It is 0 for an empty set.
func LeaseEnd(set wire.VoterSet, leaseOf func(disk string) time.Duration) time.Duration {
	end := majorityLease(set.Current, leaseOf)
	if IsJoint(set) {
		end = min(end, majorityLease(set.Old, leaseOf))
	}
	return end
}

// isMajority tells whether more than half of the voters have what is asked of them.
func isMajority(voters []string, has func(disk string) bool) bool {
	count := 0
	for _, disk := range voters {
		if has(disk) {
			count++
		}
	}
	return 2*count > len(voters)
}

// majorityLease is the median of the leases, the lower one of two: more than half of the voters vouch until then.
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
