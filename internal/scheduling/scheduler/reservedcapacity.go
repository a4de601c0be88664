package scheduler

import (
	"maps"
	"math"
	"slices"
	"time"

	"gannetline/internal/scheduling/placement"
)

// ReservedCapacity is what long work of lower priority leaves to the urgent: at most MaxReserved of all capacity, and always
// AlwaysAllowed of it to long work, which is work over LongWork. FirstRunShare is the part of all CPU up to which no soft
// limit keeps a step from its first run. DemandHalfLife is how fast it is forgotten what the urgent asked for, and LullHalfLife how fast
// while none of it runs or waits; 0 forgets it at once.
type ReservedCapacity struct {
	MaxReserved    float64
	AlwaysAllowed  float64
	LongWork       time.Duration
	FirstRunShare  float64
	DemandHalfLife time.Duration
	LullHalfLife   time.Duration
	// LowerShare is kept for what is on time of the second priority, and half as much for each one after the one before it;
	// ExpiredShare is kept for what is of no use any more.
	LowerShare   float64
	ExpiredShare float64
}

// DefaultReservedCapacity keeps at most 60% of the capacity free for the urgent and always lets long work have 30%; long is over
// 1.5 s. First runs go past soft limits up to 60%: over half, as runs that have ended count as running until that is reported.
var DefaultReservedCapacity = ReservedCapacity{MaxReserved: 0.6, AlwaysAllowed: 0.3, LongWork: 1500 * time.Millisecond, FirstRunShare: 0.6,
	DemandHalfLife: 15 * time.Second, LullHalfLife: 2 * time.Second, LowerShare: 0.15, ExpiredShare: 0.05}

// capacityUse is what the runs of each priority take, and what each priority asked for at its peak.
type capacityUse struct {
	// allocations are of all runs that are not closed, by the priority that they count as; a priority without runs has no entry.
	allocations   map[int]allocation
	recentDemands map[int]*recentDemand
	shareAccounts shareAccounts
	// longWorkRemaining is what long work of a priority could still take at the last placement.
	longWorkRemaining map[int]placement.Resources
	// underusedSince is when less came into use than first runs may fill up; it is never while more is.
	underusedSince time.Duration
}

func newCapacityUse() capacityUse {
	return capacityUse{allocations: map[int]allocation{}, recentDemands: map[int]*recentDemand{}, shareAccounts: shareAccounts{}, underusedSince: never}
}

// recentDemand is the most that a priority asked for lately, of what there is; it fades.
type recentDemand struct {
	cpu, memory float64
	at          time.Duration
}

func (k *recentDemand) raise(cpu, memory float64, now, halfLife time.Duration) {
	fade := 0.0
	if halfLife > 0 {
		fade = math.Exp2(-float64(now-k.at) / float64(halfLife))
	}
	k.cpu, k.memory, k.at = max(cpu, k.cpu*fade), max(memory, k.memory*fade), now
}

// hasFaded tells whether less than a unit of each resource is left.
func (k *recentDemand) hasFaded() bool { return k.cpu < 1 && k.memory < 1 }

type demand struct{ wanted, allocated placement.Resources }

// limits are the soft limits of a placement now.
func (p *Pool) limits(now time.Duration) placement.Limits {
	p.longWorkRemaining = p.remainingByPriority(p.table.openCapacity, now)
	return placement.Limits{Remaining: maps.Clone(p.longWorkRemaining), FirstRunCPU: p.firstRunCPU(now), Shares: p.shares(now), Tenants: p.tenantLimits(now)}
}

// firstRunCPU is how much CPU first runs may take past soft limits: up to their share of all known executors, once less than that has
// been in use for a while. In a short lull of urgent work the first runs of a backlog would fill the fleet for as long as they last.
// Of what runs take only that on executors in order counts: on a lost or leaving one it may be over already, and its capacity then
// stands empty.
func (p *Pool) firstRunCPU(now time.Duration) int64 {
	unused := int64(p.timing.ReservedCapacity.FirstRunShare*float64(p.table.totalCapacity.CPU)) - p.table.usedCPU
	if unused <= 0 {
		p.underusedSince = never
		return 0
	}
	p.underusedSince = min(p.underusedSince, now)
	if now-p.underusedSince < maxIdleWait {
		return 0
	}
	return unused
}

// remainingByPriority gives each priority what it may still take, so that urgent jobs find capacity when they come: also in a moment
// in which none of them runs or waits.
func (p *Pool) remainingByPriority(total placement.Resources, now time.Duration) map[int]placement.Resources {
	demands := p.demands()
	p.updateRecentDemands(demands, total, now)
	remaining := map[int]placement.Resources{}
	var used placement.Resources
	for _, demand := range demands {
		used = used.Plus(demand.allocated)
	}
	// keptNow is what is kept for priorities that have demand now: expired work is soon over, and may use a lull of the others.
	var kept, keptNow, above placement.Resources
	for index, priority := range slices.Sorted(maps.Keys(p.recentDemands)) {
		demand, hasDemand := demands[priority]
		leaves := kept
		if priority == placement.Background {
			leaves = keptNow
		}
		if index > 0 {
			free := total.Minus(used).Minus(leaves)
			minimum := total.Times(p.alwaysAllowed(priority)).Minus(used.Minus(above))
			remaining[priority] = free.Max(minimum)
		}
		unused := p.recentDemands[priority].unused(demand.allocated, total.Times(p.timing.ReservedCapacity.MaxReserved))
		kept = kept.Plus(unused)
		if hasDemand {
			keptNow = keptNow.Plus(unused)
		}
		above = above.Plus(demand.allocated)
	}
	return remaining
}

// updateRecentDemands takes the demands of now, of no more than there is, and lets the others fade until nothing is left of them.
func (p *Pool) updateRecentDemands(demands map[int]demand, total placement.Resources, now time.Duration) {
	for priority := range demands {
		if p.recentDemands[priority] == nil {
			p.recentDemands[priority] = &recentDemand{}
		}
	}
	for priority, recent := range p.recentDemands {
		demand, exists := demands[priority]
		wanted, halfLife := demand.wanted.Min(total), p.timing.ReservedCapacity.DemandHalfLife
		if !exists {
			halfLife = p.timing.ReservedCapacity.LullHalfLife
		}
		recent.raise(float64(wanted.CPU), float64(wanted.Memory), now, halfLife)
		if !exists && recent.hasFaded() {
			delete(p.recentDemands, priority)
		}
	}
}

// alwaysAllowed is the part of the capacity that long work of a priority and all below it may take whatever is reserved. While a more
// urgent priority is overloaded it is no more than the share of one priority.
func (p *Pool) alwaysAllowed(priority int) float64 {
	reserved := &p.timing.ReservedCapacity
	switch {
	case priority == placement.Background:
		return min(reserved.AlwaysAllowed, reserved.ExpiredShare)
	case p.overload.isAnyOverloaded(priority):
		return min(reserved.AlwaysAllowed, reserved.LowerShare)
	}
	return reserved.AlwaysAllowed
}

func (k *recentDemand) unused(used, limit placement.Resources) placement.Resources {
	return placement.Resources{CPU: max(0, min(int64(k.cpu), limit.CPU)-used.CPU), Memory: max(0, min(int64(k.memory), limit.Memory)-used.Memory)}
}

// allocation is what so many runs, or groups, of one priority take.
type allocation struct {
	resources placement.Resources
	count     int
}

func (u allocation) with(resources placement.Resources, count int) allocation {
	if count < 0 {
		return allocation{u.resources.Minus(resources), u.count + count}
	}
	return allocation{u.resources.Plus(resources), u.count + count}
}

// allocate counts a run that takes resources.
func (c *capacityUse) allocate(run *runState) { c.countRun(run, 1) }

// deallocate is the end of what allocate counted.
func (c *capacityUse) deallocate(run *runState) { c.countRun(run, -1) }

func (c *capacityUse) countRun(run *runState, count int) {
	priority := run.countedPriority()
	c.allocations[priority] = c.allocations[priority].with(run.task.step.need(), count)
	if c.allocations[priority].count == 0 {
		delete(c.allocations, priority)
	}
	c.shareAccounts.countRun(run, int64(count))
}

// countedPriority is the priority that a run's allocation counts as: what had expired when it was placed is background work.
func (r *runState) countedPriority() int {
	if r.isExpired {
		return placement.Background
	}
	return r.task.step.priority()
}

// demands returns by priority what runs hold and what they and the open requests want together. Background work, which wants nothing
// more, is always among them, so that it is limited from its first run on.
func (p *Pool) demands() map[int]demand {
	demands := map[int]demand{placement.Background: {}}
	for priority, allocation := range p.allocations {
		demands[priority] = demand{allocation.resources, allocation.resources}
	}
	for _, list := range []*requests{&p.open.first, &p.open.speculative} {
		for priority, allocation := range list.demand {
			former := demands[priority]
			demands[priority] = demand{former.wanted.Plus(allocation.resources), former.allocated}
		}
	}
	return demands
}
