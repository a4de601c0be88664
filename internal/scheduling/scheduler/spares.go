package scheduler

import (
	"slices"
	"time"

	"gannetline/internal/platform/clock"
	"gannetline/internal/scheduling/placement"
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
	return s.lengths[len(s.lengths)/2], true
}

func (p *Pool) noteLength(step *stepState, home *life, length time.Duration) {
	if ratio, isKnown := step.ratio(length); isKnown {
		spread := p.spreadOf(step)
		home.slow += (min(10, ratio*evenSpread/max(evenSpread, spread.ninth)) - home.slow) / 6
		spread.note(ratio)
	}
	if len(step.lengths) < mostKnown {
		place, _ := slices.BinarySearch(step.lengths, length)
		step.lengths = slices.Insert(step.lengths, place, length)
	}
	step.patience = max(2, pastSpread*p.spreadOf(step).ninth)
}

func (s *stepState) ratio(length time.Duration) (float64, bool) {
	typical, isKnown := s.typical()
	if !isKnown || typical <= 0 {
		return 0, false
	}
	return min(10, float64(length)/float64(typical)), true
}

// spread is how uneven the runs of a queue's steps are: the ratio to the step's median that nine of ten stay below.
type spread struct{ ninth float64 }

const (
	evenSpread = 4.0 / 3
	spreadStep = 0.05
	pastSpread = 1.5
)

// note moves the estimate up by nine parts or down by one, so that it rests where nine of ten are below it.
func (s *spread) note(ratio float64) {
	if ratio > s.ninth {
		s.ninth += 0.9 * spreadStep
		return
	}
	s.ninth = max(1, s.ninth-0.1*spreadStep)
}

func (p *Pool) spreadOf(step *stepState) *spread {
	queue := step.time.job.record.Entry
	one := p.spreads[queue]
	if one == nil {
		one = &spread{ninth: evenSpread}
		p.spreads[queue] = one
	}
	return one
}

// noteOvertaken counts a run that its spare overtook: it would have been longer still.
func (p *Pool) noteOvertaken(one *run) {
	if one.state != runRunning {
		return
	}
	if ratio, isKnown := one.task.step.ratio(p.clock.Monotonic() - one.startedAt); isKnown {
		p.spreadOf(one.task.step).note(ratio)
	}
}

// slowness is 0 for an executor that keeps up with the others.
func (l *life) slowness() float64 { return max(0, l.slow-1.6) * 0.4 }

// overdue is when a run takes so long that something is wrong with its executor.
func (s *stepState) overdue() time.Duration {
	if typical, isKnown := s.typical(); isKnown {
		return max(leastOverdue, time.Duration(s.patience*float64(typical)))
	}
	return max(2*leastOverdue, 4*clock.Milliseconds(s.step.EstimatedMs))
}

// doubtful gives the tasks of a redundant step whose only run may not come back in time, and when others may join them.
func (p *Pool) doubtful(step *stepState, now time.Duration) (found []*task, again time.Duration) {
	again = never
	if !step.step.Redundant || step.step.Gang {
		return nil, again
	}
	for _, which := range step.busy {
		switch {
		case which.isDone || len(which.runs) != 1:
		case p.isDoubtful(which.runs[0], now):
			found = append(found, which)
		default:
			again = min(again, doubtfulFrom(which.runs[0]))
		}
	}
	if step.step.Apart > 0 && len(found) > 0 {
		found = p.oneApart(step, found, now)
	}
	return found, again
}

// doubtfulFrom is when a run becomes doubtful if nothing is heard until then.
func doubtfulFrom(one *run) time.Duration {
	silent := one.life.contactAt + doubtAfter + 1
	switch {
	case one.state == runStopping:
		return never
	case one.state == runLaunching && one.sends == 0:
		return silent
	case one.state == runLaunching:
		return min(silent, one.orderedAt+unansweredIn+1)
	}
	return min(silent, one.startedAt+one.task.step.overdue()+1)
}

// doubtRuns has the spares of all that an executor runs worked out anew, as it is trusted more or less than before.
func (p *Pool) doubtRuns(home *life) {
	for _, one := range home.runs {
		p.touch(one.task)
	}
}

// oneApart lets a step with anti-affinity ask once in a turn, as what else is placed in the turn is not counted yet.
func (p *Pool) oneApart(step *stepState, found []*task, now time.Duration) []*task {
	if ready, _ := p.ready(step, now); len(ready) > 0 {
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
func (p *Pool) spare(which *task) placement.Group {
	group := p.group(which.step, []*task{which})
	group.IsSpare, group.Except = true, []int{which.runs[0].life.place}
	return group
}
