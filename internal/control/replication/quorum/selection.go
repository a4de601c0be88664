package quorum

import "slices"

// Selection selects the voters that a key should have.
type Selection struct {
	// Current holds the current voters of the key.
	Current []string
	// Goal is the number of voters that the key should have; it is odd.
	Goal int
	// IsLost reports whether a current voter should be replaced.
	IsLost func(disk string) bool
	// DomainOf returns the zone of a disk.
	DomainOf func(disk string) string
}

// Kept returns the current voters that are not lost.
func (s Selection) Kept() []string {
	return slices.DeleteFunc(slices.Clone(s.Current), s.IsLost)
}

// Next returns the sorted voters that the key should have, given candidates in order of preference. Candidates replace lost voters
// and fill the set up to the goal, spread over zones. An odd number of voters stays odd, except that a set larger than the goal may
// shrink to any number above the goal. A voter that is not lost is never removed. A lost voter stays until a candidate
// replaces it, but a set larger than the goal drops lost voters without a replacement until its size is the goal.
func (s Selection) Next(candidates []string) []string {
	next := s.Kept()
	goal := max(len(s.Current), largestOdd(min(s.Goal, len(next)+len(candidates))))
	if len(s.Current) > s.Goal {
		goal = s.Goal
	}
	remaining := slices.Clone(candidates)
	for len(next) < goal && len(remaining) > 0 {
		index := s.inRarestDomain(next, remaining)
		next = append(next, remaining[index])
		remaining = slices.Delete(remaining, index, index+1)
	}
	for _, disk := range s.Current {
		if len(next) < goal && s.IsLost(disk) {
			next = append(next, disk)
		}
	}
	slices.Sort(next)
	return next
}

// inRarestDomain returns the index of the first candidate whose zone has the fewest voters.
func (s Selection) inRarestDomain(voters, candidates []string) int {
	votersByDomain := map[string]int{}
	for _, disk := range voters {
		votersByDomain[s.DomainOf(disk)]++
	}
	best := 0
	for index, disk := range candidates {
		if votersByDomain[s.DomainOf(disk)] < votersByDomain[s.DomainOf(candidates[best])] {
			best = index
		}
	}
	return best
}

func largestOdd(count int) int { return count - 1 + count%2 }
