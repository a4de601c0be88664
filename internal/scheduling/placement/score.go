package placement

import "slices"

// The weights of a score. Health goes before locality, and locality before tight filling; avoided executors come last.
const (
	penaltyWeight = 10
	remoteScore   = 5
	memoryWeight  = 0.5
	avoidedScore  = 20
)

// scoreOf is lower for better executors.
func scoreOf(group *Group, executor *Executor, candidate *candidateState) float64 {
	score := fitScore(executor, candidate.free, group)
	if slices.Contains(group.Avoided, candidate.index) {
		score += avoidedScore
	}
	return score
}

// fitScore is lower for executors that suit a group better: sound ones first, then near the data, then tightly filled.
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
