package placement

import "slices"

// The weights and additions of a score. Health counts more than locality, and locality more than tight packing. Avoided executors come last.
const (
	penaltyWeight = 10
	remoteScore   = 5
	memoryWeight  = 0.5
	avoidedScore  = 20
)

// scoreOf returns the score of an executor for a group; the lowest score wins.
func scoreOf(group *Group, executor *Executor, candidate *candidateState) float64 {
	score := fitScore(executor, candidate.free, group)
	if slices.Contains(group.Avoided, candidate.index) {
		score += avoidedScore
	}
	return score
}

// fitScore returns the score without the addition for avoided executors. It prefers healthy executors, then those near the data, then those
// with the least free capacity after the task is placed.
func fitScore(executor *Executor, free Resources, group *Group) float64 {
	score := executor.Penalty * penaltyWeight
	if len(group.Locality) > 0 && !IsLocal(executor.Labels, group.Locality) {
		score += remoteScore
	}
	remaining := free.Minus(group.Need)
	if executor.Total.CPU > 0 {
		score += float64(remaining.CPU) / float64(executor.Total.CPU)
	}
	if executor.Total.Memory > 0 {
		score += memoryWeight * float64(remaining.Memory) / float64(executor.Total.Memory)
	}
	return score
}
