package replication

import (
	"slices"

	"gannetline/internal/cluster/peerapi/wire"
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
func Agreed(set wire.VoterSet, has func(disk string) bool) bool {
	return len(set.Now) > 0 && isMajority(set.Now, has) && (len(set.Old) == 0 || isMajority(set.Old, has))
}

func disksOf(set wire.VoterSet) []string {
	all := slices.Clone(set.Now)
	for _, disk := range set.Old {
		if !slices.Contains(all, disk) {
			all = append(all, disk)
		}
	}
	return all
}

// voterChoice works out the voters that a key should have.
type voterChoice struct {
	set      []string
	size     int
	isLost   func(disk string) bool
	domainOf func(disk string) string
}

func (c voterChoice) kept() []string {
	return slices.DeleteFunc(slices.Clone(c.set), c.isLost)
}

// from takes newcomers, the earlier the better, where voters are lost or missing; the number becomes odd, and no live voter goes.
func (c voterChoice) from(newcomers []string) []string {
	next := c.kept()
	goal := max(len(c.set), largestOdd(min(c.size, len(next)+len(newcomers))))
	if len(c.set) > c.size {
		goal = c.size
	}
	rest := slices.Clone(newcomers)
	for len(next) < goal && len(rest) > 0 {
		place := c.loneliest(next, rest)
		next = append(next, rest[place])
		rest = slices.Delete(rest, place, place+1)
	}
	for _, disk := range c.set {
		if len(next) < goal && c.isLost(disk) {
			next = append(next, disk)
		}
	}
	slices.Sort(next)
	return next
}

// loneliest is the place of the newcomer whose domain holds the fewest of the voters.
func (c voterChoice) loneliest(voters, newcomers []string) int {
	held := map[string]int{}
	for _, disk := range voters {
		held[c.domainOf(disk)]++
	}
	best := 0
	for place, disk := range newcomers {
		if held[c.domainOf(disk)] < held[c.domainOf(newcomers[best])] {
			best = place
		}
	}
	return best
}

func largestOdd(count int) int { return count - 1 + count%2 }
