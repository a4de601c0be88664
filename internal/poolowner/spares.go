package poolowner

import (
	"slices"
	"time"

	"gannetline/internal/placetasks"
	"gannetline/internal/pulse"
)

const (
	doubtAfter   = 700 * time.Millisecond
	unansweredIn = 400 * time.Millisecond
	leastOverdue = 250 * time.Millisecond
	fewDone      = 3
	mostKnown    = 64
)

// typical is how long runs of this step take, once some have ended; the estimate is only a guess.
func (s *stepState) typical() (time.Duration, bool) {
	if len(s.lengths) < min(fewDone, max(1, len(s.tasks)/3)) {
		return 0, false
	}
	known := slices.Clone(s.lengths)
	slices.Sort(known)
	return known[len(known)/2], true
}

func (s *stepState) noteLength(home *life, length time.Duration) {
	if typical, isKnown := s.typical(); isKnown && typical > 0 {
		ratio := min(10, float64(length)/float64(typical))
		home.slow += (ratio - home.slow) / 6
	}
	if len(s.lengths) < mostKnown {
		s.lengths = append(s.lengths, length)
	}
}

// slowness is 0 for an executor that keeps up with the others.
func (l *life) slowness() float64 { return max(0, l.slow-1.6) * 0.4 }

// overdue is when a run takes so long that something is wrong with its executor.
func (s *stepState) overdue() time.Duration {
	if typical, isKnown := s.typical(); isKnown {
		return max(leastOverdue, 2*typical)
	}
	return max(2*leastOverdue, 4*pulse.Ms(s.step.EstimatedMs))
}

// doubtful gives the tasks of a redundant step whose only run may not come back in time.
func (p *Pool) doubtful(step *stepState, now time.Duration) []*task {
	if !step.step.Redundant || step.step.Gang {
		return nil
	}
	var found []*task
	for _, which := range step.tasks {
		if !which.isDone && len(which.runs) == 1 && p.isDoubtful(which.runs[0], now) {
			found = append(found, which)
		}
	}
	if step.step.Apart > 0 && len(found) > 0 {
		return p.oneApart(step, found, now)
	}
	return found
}

// oneApart lets a step with anti-affinity ask once in a turn, as what else is placed in the turn is not counted yet.
func (p *Pool) oneApart(step *stepState, found []*task, now time.Duration) []*task {
	if len(p.ready(step, now)) > 0 {
		return nil
	}
	return found[:1]
}

func (p *Pool) isDoubtful(one *run, now time.Duration) bool {
	switch home := one.life; {
	case one.state == runStopping:
		return false
	case now-home.contactAt > doubtAfter || home.isBlocked:
		return true
	case one.state == runLaunching:
		return one.sends > 0 && now-one.orderedAt > unansweredIn
	}
	return now-one.startedAt > one.task.step.overdue()
}

// spare asks for a second run of a task, anywhere but where the first one is.
func (p *Pool) spare(which *task, homes []*life) placetasks.Group {
	group := p.group(which.step, []*task{which}, homes)
	group.IsSpare = true
	if group.Barred == nil {
		group.Barred = make([]bool, len(homes))
	}
	for place, home := range homes {
		group.Barred[place] = group.Barred[place] || home == which.runs[0].life
	}
	return group
}
