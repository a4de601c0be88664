package scheduler

import (
	"slices"
	"time"

	"gannetline/internal/platform/clock"
	"gannetline/internal/scheduling/placement"
)

// What is too late for anything waits behind all else, but not for ever: after a while it counts as late again, and
// after a longer one it goes first.
const (
	resignedMs = 6000
	overdueMs  = 20000
)

// noteRests works out how long the chain from each step to the job's end is, as far as it is known beforehand.
func (t *jobTime) noteRests() {
	for _, step := range slices.Backward(t.steps) {
		step.restMs += step.step.EstimatedMs
		for _, earlier := range step.step.DependsOn {
			t.steps[earlier].restMs = max(t.steps[earlier].restMs, step.restMs)
		}
	}
}

// chanceTurns are the times of day, in ms, from which on a step is late, too late, late again, and first.
func (s *stepState) chanceTurns() [4]int64 {
	last := s.time.lastMs - s.restMs
	return [4]int64{s.time.aimMs - s.restMs, last, last + resignedMs, last + overdueMs}
}

func (p *Pool) chance(step *stepState) placement.Chance {
	if step.step.Lasting {
		return placement.ChanceInTime
	}
	chances := [4]placement.Chance{placement.ChanceLate, placement.ChanceTooLate, placement.ChanceLate, placement.ChanceInTime}
	now, chance := p.leadership.WallMs(), placement.ChanceInTime
	for place, turn := range step.chanceTurns() {
		if now >= turn {
			chance = chances[place]
		}
	}
	return chance
}

// chanceChanges is when the chance of a step is another one next.
func (p *Pool) chanceChanges(step *stepState, now time.Duration) time.Duration {
	if step.step.Lasting {
		return never
	}
	wall := p.leadership.WallMs()
	for _, turn := range step.chanceTurns() {
		if wall < turn {
			return now + clock.Milliseconds(turn-wall)
		}
	}
	return never
}
