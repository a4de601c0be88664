package scheduler

import (
	"maps"
	"math"
	"time"

	"gannetline/internal/scheduling/placement"
)

const (
	trustHalfLife = 8 * time.Second
	mostPenalty   = 6.0
	forgotten     = 0.05
	sickPause     = 300 * time.Millisecond
	forgiven      = 0.5
	trusted       = 64
	mostHung      = 4
	// overdueIn is when an executor should have been heard again, as its proxy asks for orders every 300 ms. One that was
	// not is chosen last among equals, as an order may wait there in vain until it counts as silent.
	overdueIn     = 450 * time.Millisecond
	overdueWeight = 0.4
	// strange weighs a failure of a task that failed on another executor as well.
	strange = 0.2
)

// trust is what an executor's machine lost by falling silent, refusing or dying, whatever life it is in now.
type trust struct {
	penalty float64
	at      time.Duration
}

// penaltyAt halves with time, so that trust comes back by degrees.
func (t *trust) penaltyAt(now time.Duration) float64 {
	return t.penalty * math.Exp2(-float64(now-t.at)/float64(trustHalfLife))
}

func (t *trust) lose(now time.Duration) {
	t.penalty, t.at = min(mostPenalty, t.penaltyAt(now)+1), now
}

func (p *Pool) penaltyOf(machine string, now time.Duration) float64 {
	if one := p.trusts[machine]; one != nil {
		return one.penaltyAt(now)
	}
	return 0
}

// mistrust notes that an executor died or hung; what comes next there begins with one run at once.
func (p *Pool) mistrust(home *life) {
	p.penalize(home)
	home.atOnce = 1
}

func (p *Pool) penalize(home *life) {
	now := p.clock.Monotonic()
	one := p.trusts[home.proxy]
	if one == nil {
		maps.DeleteFunc(p.trusts, func(_ string, other *trust) bool { return other.penaltyAt(now) < forgotten })
		one = &trust{at: now}
		p.trusts[home.proxy] = one
	}
	one.lose(now)
	home.penalty = one.penaltyAt(now)
}

// learnPenalty lets a machine that lost trust begin with one run at a time, in a new life as well.
func (l *life) learnPenalty(penalty float64) {
	if !l.isKnown && penalty >= forgiven {
		l.atOnce = 1
	}
	if penalty < forgiven {
		l.atOnce = 0
	}
	l.penalty = penalty
}

// earn doubles what may run at once, as each success gives some trust back.
func (l *life) earn() {
	l.atOnce *= 2
	if l.atOnce >= trusted {
		l.atOnce = 0
	}
}

// most is how many runs may be added, as placement counts them.
func (l *life) most() int {
	switch {
	case l.atOnce == 0:
		return 0
	case len(l.runs) >= l.atOnce:
		return placement.NoMore
	}
	return l.atOnce - len(l.runs)
}

// silence weighs that an executor should have been heard again.
func (l *life) silence(now time.Duration) float64 {
	if now-l.contactAt > overdueIn {
		return overdueWeight
	}
	return 0
}

// penalizeUnlessResting counts the refusals of one moment once.
func (p *Pool) penalizeUnlessResting(home *life) {
	if p.clock.Monotonic() >= home.sickUntil {
		p.penalize(home)
	}
}

// moveStuck stops a run that makes no progress, so that its task starts elsewhere. A task that hangs wherever it is, is left to it.
func (p *Pool) moveStuck(one *run) {
	which, home := one.task, one.life
	if !one.isStuck || one.state != runRunning || which.step.step.Lasting || which.step.step.Gang || which.timesHung >= mostHung {
		return
	}
	p.log.Info("run makes no progress", "task", which.name, "run", one.number, "executor", home.id)
	p.mistrust(home)
	home.fails++
	which.timesHung++
	which.avoid = home.id
	p.stopRun(one)
}

// blame weighs a failure against its executor, less where the same task failed on another one before.
func (p *Pool) blame(which *task, home *life) {
	switch {
	case which.failedAt == nil:
		which.failedAt = home
		home.fails++
	case which.failedAt == home:
		home.fails++
	default:
		home.fails += strange
		p.excuse(which)
	}
}

// excuse gives back what the first executor was blamed for, once another one shows that the task itself fails.
func (p *Pool) excuse(which *task) {
	first := which.failedAt
	if !which.isExcused && p.lives[first.id] == first {
		first.fails = max(0, first.fails-(1-strange))
		p.roster.note(first)
	}
	which.isExcused = true
}
