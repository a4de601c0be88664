package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// watchBrokenGang starts to watch a gang that has lost a member, for whatever reason. The remaining members can only wait.
func (p *Pool) watchBrokenGang(step *stepState) {
	if step.spec.Gang && step.hasRuns() && step.brokenAt == 0 {
		step.brokenAt = p.clock.Monotonic()
		p.brokenGangs[step] = true
	}
}

// endGangWatch ends the watch when a gang starts again, since its runs are then new ones.
func (p *Pool) endGangWatch(step *stepState) {
	step.brokenAt = 0
	delete(p.brokenGangs, step)
}

// tickBrokenGangs checks the gangs that lost a member, in the order of their names.
func (p *Pool) tickBrokenGangs(now time.Duration) {
	steps := slices.SortedFunc(maps.Keys(p.brokenGangs), func(a, b *stepState) int { return cmp.Compare(a.tasks[0].name, b.tasks[0].name) })
	for _, step := range steps {
		if step.remaining > 0 && step.occurrence.job.isOpen() {
			p.tickBrokenGang(step, now)
		}
		if step.brokenAt == 0 || step.remaining == 0 || !step.occurrence.job.isOpen() {
			delete(p.brokenGangs, step)
		}
	}
}

// tickBrokenGang stops the remaining members of a gang a second after it lost a member, unless they have ended by themselves.
func (p *Pool) tickBrokenGang(step *stepState, now time.Duration) {
	if !step.hasRuns() {
		step.brokenAt = 0
		p.needsPlacing = true
		return
	}
	if now-step.brokenAt > time.Second {
		p.stopStep(step)
	}
}
