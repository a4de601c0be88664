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

// HasQuorum tells whether the disks are a majority of the set, and of the old set while that still counts.
func HasQuorum(set wire.VoterSet, has func(disk string) bool) bool {
	return len(set.Now) > 0 && isMajority(set.Now, has) && (len(set.Old) == 0 || isMajority(set.Old, has))
}

func disksOf(set wire.VoterSet) []string {
	disks := slices.Clone(set.Now)
	for _, disk := range set.Old {
		if !slices.Contains(disks, disk) {
			disks = append(disks, disk)
		}
	}
	return disks
}

// voterSelection works out the voters that a key should have.
type voterSelection struct {
	current      []string
	goal     int
	isLost   func(disk string) bool
	domainOf func(disk string) string
}

func (c voterSelection) kept() []string {
	return slices.DeleteFunc(slices.Clone(c.current), c.isLost)
}

// next takes newcomers, the earlier the better, where voters are lost or missing; the number becomes odd, and no live voter goes.
func (c voterSelection) next(newcomers []string) []string {
	next := c.kept()
	goal := max(len(c.current), largestOdd(min(c.goal, len(next)+len(newcomers))))
	if len(c.current) > c.goal {
		goal = c.goal
	}
	rest := slices.Clone(newcomers)
	for len(next) < goal && len(rest) > 0 {
		index := c.leastCrowdedDomain(next, rest)
		next = append(next, rest[index])
		rest = slices.Delete(rest, index, index+1)
	}
	for _, disk := range c.current {
		if len(next) < goal && c.isLost(disk) {
			next = append(next, disk)
		}
	}
	slices.Sort(next)
	return next
}

// leastCrowdedDomain is the place of the newcomer whose domain holds the fewest of the voters.
func (c voterSelection) leastCrowdedDomain(voters, newcomers []string) int {
	count := map[string]int{}
	for _, disk := range voters {
		count[c.domainOf(disk)]++
	}
	best := 0
	for index, disk := range newcomers {
		if count[c.domainOf(disk)] < count[c.domainOf(newcomers[best])] {
			best = index
		}
	}
	return best
}

func largestOdd(count int) int { return count - 1 + count%2 }
