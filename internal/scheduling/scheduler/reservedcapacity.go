package scheduler

import (
	"maps"
	"math"
	"slices"
	"time"

	"gannetline/internal/scheduling/placement"
)

// ReservedCapacity says how much capacity long work of a lower priority leaves free for more urgent work. Fractions are of
// the capacity of the executors that may get runs, except for FirstRunShare.
type ReservedCapacity struct {
	// MaxReserved is the most that is reserved for each priority. AlwaysAllowed is what long work of a priority and of all less urgent ones
	// may use regardless of reservations; method alwaysAllowed lowers it under overload and for expired work.
	MaxReserved   float64
	AlwaysAllowed float64
	// LongWork is the estimated run time above which work counts as long. Long-running work always does.
	LongWork time.Duration
	// FirstRunShare is a fraction of the CPU of all known executors. While less is in use, the first run of a step ignores soft limits.
	FirstRunShare float64
	// DemandHalfLife is the half-life of the remembered peak demand of urgent work. LullHalfLife applies instead while no such work runs or
	// is pending. With 0 the peak is dropped at once.
	DemandHalfLife time.Duration
	LullHalfLife   time.Duration
	// LowerShare is reserved for on-time work of the second of the priorities that have such work pending. Each further one gets half the
	// share of the one before it.
	LowerShare float64
	// ExpiredShare is reserved for expired work, which can't be of use to its client any more.
	ExpiredShare float64
}

// DefaultReservedCapacity reserves at most 60% of the capacity for each priority. It always leaves 30% to long work, which is work of more
// than 1.5 seconds, but less than 30% while a more urgent priority is overloaded. First runs ignore soft limits while less than 60% of the
// CPU is in use. They must be able to do so up to one half, and a run that has ended counts as running until its end is reported.
var DefaultReservedCapacity = ReservedCapacity{MaxReserved: 0.6, AlwaysAllowed: 0.3, LongWork: 1500 * time.Millisecond, FirstRunShare: 0.6,
	DemandHalfLife: 15 * time.Second, LullHalfLife: 2 * time.Second, LowerShare: 0.15, ExpiredShare: 0.05}

// capacityUse holds the allocations and the recent peak demand of each priority.
type capacityUse struct {
	// allocations sums up all runs that are not closed, by their counted priority. A priority without runs has no entry.
	allocations   map[int]allocation
	recentDemands map[int]*recentDemand
	shareAccounts shareAccounts
	// longWorkRemaining is how much more long work of each priority could start when the last placement began.
	longWorkRemaining map[int]placement.Resources
	// underusedSince is when the CPU in use fell below FirstRunShare, or the value never while it is not below.
	underusedSince time.Duration
}

func newCapacityUse() capacityUse {
	return capacityUse{allocations: map[int]allocation{}, recentDemands: map[int]*recentDemand{}, shareAccounts: shareAccounts{}, underusedSince: never}
}

// recentDemand is the recent peak demand of a priority or tenant. It decays exponentially from time at.
type recentDemand struct {
	cpu, memory float64
	at          time.Duration
}

// raise decays the peak up to now, and raises it to the present demand if that is higher. With a half-life of 0 nothing of the peak is left.
func (d *recentDemand) raise(cpu, memory float64, now, halfLife time.Duration) {
	decay := 0.0
	if halfLife > 0 {
		decay = math.Exp2(-float64(now-d.at) / float64(halfLife))
	}
	d.cpu, d.memory, d.at = max(cpu, d.cpu*decay), max(memory, d.memory*decay), now
}

// isNegligible reports whether less than one unit of each resource is left.
func (d *recentDemand) isNegligible() bool { return d.cpu < 1 && d.memory < 1 }

// demand is the total need of a priority's runs and its pending on-time requests, and the part of it that the runs are allocated.
type demand struct{ wanted, allocated placement.Resources }

// limits returns the limits for a placement now.
func (p *Pool) limits(now time.Duration) placement.Limits {
	p.longWorkRemaining = p.remainingByPriority(p.table.openCapacity, now)
	return placement.Limits{Remaining: maps.Clone(p.longWorkRemaining), FirstRunCPU: p.firstRunCPU(now), Shares: p.shares(now), Tenants: p.tenantLimits(now)}
}

// firstRunCPU is how much CPU first runs may take beyond soft limits: up to FirstRunShare of all known executors, once the CPU in use has
// been below that for maxIdleWait. Without the wait, the first runs of a backlog would fill the fleet in a short lull of urgent work and
// hold it until they end. Only runs on healthy executors count as using CPU. A run on a lost or draining executor may have ended already,
// and the executor's capacity then stays unused.
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

// remainingByPriority returns how much more the long work of each priority may take. It reserves capacity for more urgent jobs, also while
// none of them runs or is pending, so that they find capacity when they arrive. The most urgent priority has no limit and no entry.
func (p *Pool) remainingByPriority(total placement.Resources, now time.Duration) map[int]placement.Resources {
	demands := p.demands()
	p.updateRecentDemands(demands, total, now)
	remaining := map[int]placement.Resources{}
	var used placement.Resources
	for _, demand := range demands {
		used = used.Plus(demand.allocated)
	}
	// reservedNow counts only priorities that have demand now. Expired work leaves only this free: it ends soon, so it may use capacity
	// that the other priorities don't ask for at the moment.
	var reserved, reservedNow, moreUrgent placement.Resources
	for index, priority := range slices.Sorted(maps.Keys(p.recentDemands)) {
		demand, hasDemand := demands[priority]
		reservedForOthers := reserved
		if priority == placement.Background {
			reservedForOthers = reservedNow
		}
		if index > 0 {
			free := total.Minus(used).Minus(reservedForOthers)
			minimum := total.Times(p.alwaysAllowed(priority)).Minus(used.Minus(moreUrgent))
			remaining[priority] = free.Max(minimum)
		}
		unused := p.recentDemands[priority].unused(demand.allocated, total.Times(p.timing.ReservedCapacity.MaxReserved))
		reserved = reserved.Plus(unused)
		if hasDemand {
			reservedNow = reservedNow.Plus(unused)
		}
		moreUrgent = moreUrgent.Plus(demand.allocated)
	}
	return remaining
}

// updateRecentDemands lets the recent peaks decay and raises them to the present demands, at most to the total capacity. The peak of a
// priority without demand decays by LullHalfLife, and is deleted once it is negligible.
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
		if !exists && recent.isNegligible() {
			delete(p.recentDemands, priority)
		}
	}
}

// alwaysAllowed is the fraction of the capacity that long work of a priority and of all less urgent ones may take regardless of
// reservations. It is at most LowerShare while a more urgent priority is overloaded, and at most ExpiredShare for background work.
func (p *Pool) alwaysAllowed(priority int) float64 {
	reserved := &p.timing.ReservedCapacity
	switch {
	case priority == placement.Background:
		return min(reserved.AlwaysAllowed, reserved.ExpiredShare)
	case p.overload.isMoreUrgentOverloaded(priority):
		return min(reserved.AlwaysAllowed, reserved.LowerShare)
	}
	return reserved.AlwaysAllowed
}

// unused is the part of the recent peak, up to a limit, that is not in use now.
func (d *recentDemand) unused(used, limit placement.Resources) placement.Resources {
	return placement.Resources{CPU: max(0, min(int64(d.cpu), limit.CPU)-used.CPU), Memory: max(0, min(int64(d.memory), limit.Memory)-used.Memory)}
}

// allocation is the total resources of a number of runs or groups.
type allocation struct {
	resources placement.Resources
	count     int
}

// with returns the allocation with resources added, or subtracted if count is negative.
func (a allocation) with(resources placement.Resources, count int) allocation {
	if count < 0 {
		return allocation{a.resources.Minus(resources), a.count + count}
	}
	return allocation{a.resources.Plus(resources), a.count + count}
}

// allocate adds a run's resources to the allocation of its counted priority.
func (c *capacityUse) allocate(run *runState) { c.countRun(run, 1) }

// deallocate reverts allocate.
func (c *capacityUse) deallocate(run *runState) { c.countRun(run, -1) }

func (c *capacityUse) countRun(run *runState, count int) {
	priority := run.countedPriority()
	c.allocations[priority] = c.allocations[priority].with(run.task.step.need(), count)
	if c.allocations[priority].count == 0 {
		delete(c.allocations, priority)
	}
	c.shareAccounts.countRun(run, int64(count))
}

// countedPriority is the priority under which a run's allocation is counted. A run that had expired when it was placed is background work.
func (r *runState) countedPriority() int {
	if r.isExpired {
		return placement.Background
	}
	return r.task.step.priority()
}

// demands returns the demand of each priority. Background work always has an entry, though no request counts as its demand, so that it is
// limited from its first run on.
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
