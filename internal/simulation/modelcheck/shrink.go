package modelcheck

import "slices"

// The maximum number of candidates that are run while a schedule is shrunk.
const (
	maxShrinkRuns      = 3000
	maxShrinkRunsLarge = 150
)

func maxShrinkRunsOf(schedule Schedule) int {
	if schedule.Size == SizeLarge {
		return maxShrinkRunsLarge
	}
	return maxShrinkRuns
}

// Shrink removes steps from a failing schedule as long as it still breaks the same invariant first (delta debugging). It tries to remove
// half of the steps at a time, then smaller and smaller ranges, and at last single steps. It returns the smallest schedule found and its
// outcome. A schedule that breaks no invariant is returned unchanged.
func Shrink(model Model, failing Schedule) (Schedule, Outcome) {
	best, outcome, maxRuns := failing, model.Run(failing), maxShrinkRunsOf(failing)
	if len(outcome.Violations) == 0 {
		return best, outcome
	}
	oracle, runs := outcome.Violations[0].Oracle, 0
	for chunkSize := max(1, len(best.Steps)/2); chunkSize >= 1 && runs < maxRuns; {
		isSmaller := false
		for start := 0; start < len(best.Steps) && runs < maxRuns; {
			candidate := best
			candidate.Steps = slices.Delete(slices.Clone(best.Steps), start, min(start+chunkSize, len(best.Steps)))
			runs++
			candidateOutcome := model.Run(candidate)
			if len(candidateOutcome.Violations) > 0 && candidateOutcome.Violations[0].Oracle == oracle {
				best, outcome, isSmaller = candidate, candidateOutcome, true
				continue
			}
			start += chunkSize
		}
		if chunkSize > 1 {
			chunkSize /= 2
		} else if !isSmaller {
			break
		}
	}
	return best, outcome
}
