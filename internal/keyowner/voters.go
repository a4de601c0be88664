package keyowner

import (
	"slices"

	"gannetline/internal/siblingwire"
)

func isMajority(voters []string, has func(disk string) bool) bool {
	count := 0
	for _, disk := range voters {
		if has(disk) {
			count++
		}
	}
	return 2*count > len(voters)
}

// Agreed tells whether the disks are a majority of the set, and of the old set while that still counts.
func Agreed(set siblingwire.VoterSet, has func(disk string) bool) bool {
	return len(set.Now) > 0 && isMajority(set.Now, has) && (len(set.Old) == 0 || isMajority(set.Old, has))
}

func disksOf(set siblingwire.VoterSet) []string {
	all := slices.Clone(set.Now)
	for _, disk := range set.Old {
		if !slices.Contains(all, disk) {
			all = append(all, disk)
		}
	}
	return all
}

func swap(voters []string, lost, learner string) []string {
	next := slices.Clone(voters)
	next[slices.Index(next, lost)] = learner
	slices.Sort(next)
	return next
}
