package quorum

import "slices"

// Selection works out which voters a key should have.
type Selection struct {
	// Current are the voters that the key has now.
	Current []string
	// Goal is how many voters the key should have; it is odd.
	Goal int
	// IsLost tells whether a current voter should be replaced.
	IsLost func(disk string) bool
	// DomainOf names the failure domain of a disk.
	DomainOf func(disk string) string
}

// Kept are the current voters that stay.
func (s Selection) Kept() []string {
	return slices.DeleteFunc(slices.Clone(s.Current), s.IsLost)
}

// Next gives the voters that the key should have if the candidates may become voters, the earlier the better. Candidates take
// the places of lost voters and fill up to the goal, spread over failure domains. The number of voters stays odd, a voter
// that is not lost never goes, and a lost one stays while nobody takes its place. The result is sorted.
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

// inRarestDomain is the index of the candidate whose failure domain holds the fewest of the voters.
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
