package scheduler

import (
	"time"

	"gannetline/internal/scheduling/placement"
)

// nextWork is the task or the gang of a tenant whose step has waited longest for a launch, of those that there is room for. If pools share the tenant's limit,
// the pool asks the tenant count for a turn to hold what this work needs at once. During the turn, smaller work leaves that free (see
// placement.Tenant). After the turn, the other steps of the tenant come first.
type nextWork struct {
	// step is nil if no work waits.
	step *stepState
	need placement.Resources
	// turn is the pool's turn for the tenant at the last tick, 0 if there was none.
	turn uint64
	// startableSince is the time since which the tenant's limit allows the work to start, if isStartable is set.
	startableSince time.Duration
	isStartable    bool
}

// waitsSince returns the time by which the step's place among the tenant's waiting work is decided: since when it has launched nothing, or
// since its last turn.
func (s *stepState) waitsSince() time.Duration { return max(s.openedAt, s.lastLaunchAt, s.turnEndedAt) }

// maxUnusedTime is how long work stays the next work that the tenant's limit allows to start, but that isn't placed for another reason.
const maxUnusedTime = 2 * time.Second

// chooseNextWork chooses the next work of each tenant, if pools share their limits.
func (p *Pool) chooseNextWork(now time.Duration) {
	p.endTurns(now)
	formerSteps := make([]*stepState, len(p.tenants.byIndex))
	for index, tenant := range p.tenants.byIndex {
		formerSteps[index] = tenant.nextWork.step
		tenant.nextWork.step, tenant.nextWork.need = nil, placement.Resources{}
	}
	if p.tenants.hasOtherPools {
		p.findNextWork(now)
	}
	for index, tenant := range p.tenants.byIndex {
		p.updateStartable(tenant, formerSteps[index], now)
	}
}

// updateStartable updates since when the limit of a tenant allows its next work to start.
func (p *Pool) updateStartable(tenant *tenantState, former *stepState, now time.Duration) {
	next := &tenant.nextWork
	limit, mayOvershoot := p.limitOf(tenant)
	state := placement.Tenant{Allocated: tenant.allocated.resources, Limit: limit, MayOvershoot: mayOvershoot}
	isStartable := next.step != nil && state.Admits(next.need, 1)
	if !next.isStartable || next.step != former {
		next.startableSince = now
	}
	next.isStartable = isStartable
}

// findNextWork sets the next work of each tenant that has a limit.
func (p *Pool) findNextWork(now time.Duration) {
	executors := p.placementView(now)
	for index, request := range p.open.first.requests {
		step, group := request.step, p.open.first.groups[index]
		tenant := step.tenant()
		if tenant.index == 0 || tenant.terms.Limit == placement.NoLimit || !isOlder(step, tenant.nextWork.step) {
			continue
		}
		if canEverStart(step, tenant) && hasRoom(step, executors, group, now) {
			tenant.nextWork.step, tenant.nextWork.need = step, step.needAtOnce()
		}
	}
}

// roomCheckInterval is the time between two searches for room for a step that had none.
const roomCheckInterval = 500 * time.Millisecond

// hasRoom reports whether the executors have room for the work of a step. It searches at most once in roomCheckInterval if there is none.
func hasRoom(step *stepState, executors []placement.Executor, group *placement.Group, now time.Duration) bool {
	if now < step.noRoomUntil {
		return false
	}
	if placement.HasRoom(executors, group) {
		return true
	}
	step.noRoomUntil = now + roomCheckInterval
	return false
}

// endTurns moves the next work of each tenant behind the tenant's other work if its turn has ended, or if it isn't placed though it could
// start.
func (p *Pool) endTurns(now time.Duration) {
	for _, tenant := range p.tenants.byIndex[1:] {
		turn, former := p.accounts.Turn(tenant.name), &tenant.nextWork
		isTurnOver := former.turn != 0 && former.turn != turn
		isUnused := former.isStartable && now-former.startableSince >= maxUnusedTime
		if former.step != nil && (isTurnOver || isUnused) {
			former.step.turnEndedAt = now
		}
		former.turn = turn
	}
}

// isOlder reports whether a step has waited longer than another one, which may be nil.
func isOlder(step, other *stepState) bool {
	return other == nil || step.waitsSince() < other.waitsSince()
}

// canEverStart reports whether a step fits into its tenant's limit beside the runs that don't end by themselves. A single task that is larger
// than the limit can start while those runs use at most half of it. A gang must fit as a whole.
func canEverStart(step *stepState, tenant *tenantState) bool {
	need, lasting, limit := step.needAtOnce(), tenant.lastingAllocated.resources, tenant.terms.Limit
	if placement.CoversNeed(limit, lasting.Plus(need), need) {
		return true
	}
	return !step.spec.Gang && placement.CoversNeed(limit, lasting.Plus(lasting), need)
}

// maxPassedOverTime is how long smaller work of a tenant may start before its next work, if the pool holds enough for the next work.
const maxPassedOverTime = 2 * time.Second

// reservedFor returns what a tenant's smaller work must leave free in this pool: the need of its next work, during a turn or after
// maxPassedOverTime.
func (p *Pool) reservedFor(tenant *tenantState, now time.Duration) placement.Resources {
	next := &tenant.nextWork
	if next.step == nil {
		return placement.Resources{}
	}
	allowance, hasWholeLimit := p.limitOf(tenant)
	isHeld := hasWholeLimit || placement.CoversNeed(allowance, tenant.lastingAllocated.resources.Plus(next.need), next.need)
	isPassedOver := now-next.step.waitsSince() > maxPassedOverTime
	if isHeld && isPassedOver || p.accounts.Turn(tenant.name) != 0 {
		return next.need
	}
	return placement.Resources{}
}

// noteLaunch puts a step behind the tenant's other waiting work. It ends the tenant's turn, if there is one and the step's work is as large as
// the work that the turn is for.
func (p *Pool) noteLaunch(step *stepState) {
	step.lastLaunchAt = p.clock.Monotonic()
	tenant := step.tenant()
	if next := tenant.nextWork; p.accounts != nil && next.step != nil && step.needAtOnce().Fits(next.need) {
		p.accounts.FinishTurn(tenant.name)
	}
}
