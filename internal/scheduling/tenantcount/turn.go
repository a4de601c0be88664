package tenantcount

import (
	"cmp"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/scheduling/placement"
)

// turnIdleTimeout is how long a turn lasts if its asker makes no calls, or could start the work that it waits for and doesn't.
const turnIdleTimeout = 2 * time.Second

// A turn lets one asker hold more of a tenant's limit than its fair share, so that work which is larger than that share can start. The work
// is the task or the gang that has waited longest in the asker's pool. A tenant has at most one turn at a time, for all resources together,
// and the askers that wait get turns in the order in which they began to wait. A turn ends when the asker has started the work, when it
// doesn't need the turn any more, or after turnIdleTimeout without calls or without use.
//
// So an asker waits for at most one turn of each other asker. Each lasts no longer than the longest run of the tenant that must end first,
// plus the time in which the pools return and receive grants, plus turnIdleTimeout. While a pool that holds grants has no leader, that time
// includes the takeover.
//
// Turns change only the targets by which grants are divided. They are not stored: a new leader of the partition begins without them.
type turn struct {
	asker string
	// id is the number of the asker's last call before the turn.
	id uint64
	// startableSince is the time since which the asker holds enough to start the work, if isStartable is set.
	startableSince time.Duration
	isStartable    bool
}

// waitState is what an asker has said about its waiting work in its last call of this leadership.
type waitState struct {
	has, used, lasting placement.Resources
	// nextNeed is what the work that has waited longest needs at once: a task, or all members of a gang. It is zero if no work waits.
	nextNeed placement.Resources
	// finishedTurn is the last turn in which the asker has started the work.
	finishedTurn uint64
	// since is the time since which the asker needs a turn, if needsTurn is set.
	since     time.Duration
	needsTurn bool
	// pausedUntil is the time before which the asker gets no other turn, since it didn't use the last one.
	pausedUntil time.Duration
}

// update stores what a call says.
func (w *waitState) update(demand *wire.TenantDemand) {
	w.has, w.used, w.finishedTurn = resourcesOf(demand.Has), resourcesOf(demand.Used), demand.FinishedTurn
	w.nextNeed, w.lasting = optionalResources(demand.NextNeed), optionalResources(demand.Lasting)
}

// exceeds reports whether the next work alone is larger than a limit. It is then a single task, and starts if the pool holds the whole limit
// and uses at most half of it.
func (w *waitState) exceeds(limit placement.Resources) bool { return !limit.Fits(w.nextNeed) }

// canStart reports whether the pool holds enough to start the next work.
func (w *waitState) canStart(limit placement.Resources) bool {
	return canStart(w.nextNeed, w.used, w.has, limit, w.has.Fits(onlyLimited(limit, limit)))
}

// canStart reports whether a pool can start work beside its runs, given the amount that it holds of a limit and whether that is all of it.
func canStart(need, used, held, limit placement.Resources, hasWholeLimit bool) bool {
	state := placement.Tenant{Allocated: used, Limit: allowedOf(held, limit).Min(limit), MayOvershoot: hasWholeLimit}
	return state.Admits(need, 1)
}

// allowedOf returns an amount with no limit in the resources that a limit does not limit.
func allowedOf(amount, limit placement.Resources) placement.Resources {
	return amount.Max(placement.Resources{CPU: unlimitedOnly(limit.CPU), Memory: unlimitedOnly(limit.Memory), GPU: unlimitedOnly(limit.GPU)})
}

func unlimitedOnly(amount int64) int64 {
	if amount == placement.Unlimited {
		return amount
	}
	return 0
}

// updateTurn ends the turn of a tenant if it is over, and begins the next one if an asker needs it. It must be called before the tenant's
// targets are used.
func (p *Part) updateTurn(tenant string, limit placement.Resources, now time.Duration) {
	askers := p.tenants[tenant]
	current := p.turns[tenant]
	if current != nil && p.isTurnOver(tenant, current, limit, now) {
		delete(p.turns, tenant)
		current = nil
	}
	for name, granted := range askers {
		if current == nil || current.asker != name {
			granted.updateNeedsTurn(p.needsTurn(tenant, name, limit, now), now)
		}
	}
	if current != nil {
		return
	}
	if next := p.nextTurn(tenant); next != "" {
		p.turns[tenant] = &turn{asker: next, id: p.lastCalls[next].number}
		p.turnsBegun++
	}
}

// updateNeedsTurn sets whether the asker needs a turn, and since when.
func (g *grant) updateNeedsTurn(needsTurn bool, now time.Duration) {
	if needsTurn && !g.wait.needsTurn {
		g.wait.since = now
	}
	g.wait.needsTurn = needsTurn
}

// isTurnOver reports whether a turn is over. If it is, the asker begins to wait anew.
func (p *Part) isTurnOver(tenant string, current *turn, limit placement.Resources, now time.Duration) bool {
	granted := p.tenants[tenant][current.asker]
	wait := &granted.wait
	isStartable := wait.canStart(limit)
	if isStartable && !current.isStartable {
		current.startableSince = now
	}
	current.isStartable = isStartable
	isUnused := isStartable && now-current.startableSince >= turnIdleTimeout
	isOver := wait.finishedTurn == current.id || wait.nextNeed == (placement.Resources{}) || !p.isAttainable(tenant, current.asker, limit) ||
		now-granted.lastCallAt > turnIdleTimeout || isUnused
	if isOver {
		wait.needsTurn = false
	}
	if isUnused {
		wait.pausedUntil = now + turnIdleTimeout
	}
	return isOver
}

// needsTurn reports whether an asker is waiting for work that it can't start without a turn: the work doesn't fit into the fair share of the
// limit, or the asker holds less than that share.
func (p *Part) needsTurn(tenant, asker string, limit placement.Resources, now time.Duration) bool {
	granted := p.tenants[tenant][asker]
	wait := &granted.wait
	if wait.nextNeed == (placement.Resources{}) || wait.canStart(limit) || now < wait.pausedUntil || now-granted.lastCallAt > turnIdleTimeout ||
		!p.isAttainable(tenant, asker, limit) {
		return false
	}
	share := p.fairShareOf(tenant, asker, limit, now)
	required := p.requiredFor(tenant, asker, limit)
	return !share.Fits(required) || !placement.CoversNeed(wait.has, share, wait.nextNeed)
}

// nextTurn returns the asker that has waited longest of those that need a turn, or an empty string if none does.
func (p *Part) nextTurn(tenant string) string {
	next := ""
	for name, granted := range p.tenants[tenant] {
		if !granted.wait.needsTurn {
			continue
		}
		if next == "" || cmp.Or(cmp.Compare(granted.wait.since, p.tenants[tenant][next].wait.since), cmp.Compare(name, next)) < 0 {
			next = name
		}
	}
	return next
}

// isAttainable reports whether an asker can start its next work once all runs of the tenant have ended but those that last.
func (p *Part) isAttainable(tenant, asker string, limit placement.Resources) bool {
	wait := &p.tenants[tenant][asker].wait
	var others placement.Resources
	for name, other := range p.tenants[tenant] {
		if name != asker {
			others = others.Plus(other.wait.lasting)
		}
	}
	if wait.exceeds(limit) {
		return others == (placement.Resources{}) && placement.CoversNeed(limit, wait.lasting.Plus(wait.lasting), wait.nextNeed)
	}
	return placement.CoversNeed(limit, others.Plus(wait.lasting).Plus(wait.nextNeed), wait.nextNeed)
}

// requiredFor returns how much of the limit an asker requires for its next work, in the resources that the work needs: the work and the
// asker's lasting runs. While all pools together use under half of the limit, it is the work and all runs of the asker, so that the work
// doesn't wait for them. Work above the limit requires the whole limit in all resources.
func (p *Part) requiredFor(tenant, asker string, limit placement.Resources) placement.Resources {
	wait := &p.tenants[tenant][asker].wait
	if wait.exceeds(limit) {
		return onlyLimited(limit, limit)
	}
	var used placement.Resources
	for _, other := range p.tenants[tenant] {
		used = used.Plus(other.wait.used)
	}
	required := wait.lasting.Plus(wait.nextNeed)
	isUnderHalf := placement.CoversNeed(limit, used.Plus(used).Plus(onePerResource), wait.nextNeed)
	if isUnderHalf {
		required = wait.used.Plus(wait.nextNeed)
	}
	return onlyLimited(onlyNeeded(required, wait.nextNeed).Min(limit), limit)
}

// onePerResource is the smallest amount of each resource.
var onePerResource = placement.Resources{CPU: 1, Memory: 1, GPU: 1}

// onlyNeeded returns an amount with 0 in each resource of which nothing is needed.
func onlyNeeded(amount, need placement.Resources) placement.Resources {
	if need.CPU <= 0 {
		amount.CPU = 0
	}
	if need.Memory <= 0 {
		amount.Memory = 0
	}
	if need.GPU <= 0 {
		amount.GPU = 0
	}
	return amount
}

// optionalResources converts an amount of a message, which is zero if it is missing.
func optionalResources(capacity *wire.Capacity) placement.Resources {
	if capacity == nil {
		return placement.Resources{}
	}
	return resourcesOf(*capacity)
}

// optionalCapacity converts an amount to its form in messages, in which zero is left out.
func optionalCapacity(resources placement.Resources) *wire.Capacity {
	if resources == (placement.Resources{}) {
		return nil
	}
	capacity := CapacityOf(resources)
	return &capacity
}
