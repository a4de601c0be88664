package modelcheck

import "slices"

// How often a schedule is run again at most while it is cut down.
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

// Shrink removes steps from a failing schedule as long as it goes on breaking the same invariant (delta debugging):
// first large parts, then ever smaller ones, at last single steps.
func Shrink(model Model, failing Schedule) (Schedule, Outcome) {
	best, outcome, limit := failing, model.Run(failing), maxShrinkRunsOf(failing)
	if len(outcome.Violations) == 0 {
		return best, outcome
	}
	oracle, runs := outcome.Violations[0].Oracle, 0
	for size := max(1, len(best.Steps)/2); size >= 1 && runs < limit; {
		isSmaller := false
		for start := 0; start < len(best.Steps) && runs < limit; {
			candidate := best
			candidate.Steps = slices.Delete(slices.Clone(best.Steps), start, min(start+size, len(best.Steps)))
			runs++
			tried := model.Run(candidate)
			if len(tried.Violations) > 0 && tried.Violations[0].Oracle == oracle {
				best, outcome, isSmaller = candidate, tried, true
				continue
			}
			start += size
		}
		if size > 1 {
			size /= 2
		} else if !isSmaller {
			break
		}
	}
	return best, outcome
}
