package scheduler

import (
	"maps"
	"slices"
	"time"

	"gannetline/internal/scheduling/placement"
)

// TenantPolicy is what a version of the configuration says of tenants; it is never changed after it was made.
type TenantPolicy struct {
	Version int64
	// Terms are those of each tenant, by its name.
	Terms map[string]TenantTerms
	// HasOtherPools tells that other pools may run work of the same tenants.
	HasOtherPools bool
}

// TenantTerms are what a configuration grants a tenant.
type TenantTerms struct {
	// Weight is the tenant's share once everything is full, and the jobs a second that it may expect to be done; 0 counts as 1.
	Weight float64
	// Limit is what the tenant may have running over all pools; placement.Unlimited where there is no limit.
	Limit placement.Resources
}

// WithTenants gives a pool what the configuration in force says of tenants. Without it no tenant is limited.
func WithTenants(policy func() TenantPolicy) Option {
	return func(p *Pool) { p.policyInForce = policy }
}

func noTenantPolicy() TenantPolicy { return TenantPolicy{} }

// tenantTable holds what the pool knows of each tenant. It is made anew with each leadership.
type tenantTable struct {
	byName map[string]*tenantState
	// sorted has them by their index, which a tenant keeps; the first stands for jobs without a tenant.
	sorted []*tenantState
	// version is that of the configuration whose terms the tenants have.
	version       int64
	hasOtherPools bool
}

// tenantState is what one tenant has in this pool.
type tenantState struct {
	name  string
	index int
	// terms are the last that a configuration had for it; a tenant that was taken out keeps them until its jobs are over.
	terms TenantTerms
	// allocated is what its runs take, until each has certainly ended or can't start any more.
	allocated allocation
	// longAllocated is the part of it that long work takes which has to leave room for urgent work.
	longAllocated allocation
	// urgentDemand is what its other work asked for at its peak; it fades.
	urgentDemand recentDemand
	// openSteps counts its steps in the queue, so that shares are divided among those who have work.
	openSteps int
	rate      submissionRate
	// surplusJobs counts its jobs under way that are beyond its rate.
	surplusJobs int
}

func newTenantTable() tenantTable {
	none := &tenantState{terms: unlimitedTerms}
	return tenantTable{byName: map[string]*tenantState{"": none}, sorted: []*tenantState{none}}
}

// unlimitedTerms are those of a tenant of which nothing is known.
var unlimitedTerms = TenantTerms{Weight: 1, Limit: placement.NoLimit}

// tenantOf gives the state of a tenant, and makes it at its first job or with the first configuration that has it.
func (p *Pool) tenantOf(name string) *tenantState {
	tenant := p.tenants.byName[name]
	if tenant == nil {
		tenant = &tenantState{name: name, index: len(p.tenants.sorted), terms: unlimitedTerms}
		p.tenants.byName[name] = tenant
		p.tenants.sorted = append(p.tenants.sorted, tenant)
	}
	return tenant
}

// updateTerms takes the terms of the configuration in force, if it is another one than before. A tenant that no configuration had
// since this leader took over may use what the pool was granted for it, and no more.
func (p *Pool) updateTerms() {
	policy := p.policyInForce()
	if policy.Version == p.tenants.version {
		return
	}
	p.tenants.version, p.tenants.hasOtherPools = policy.Version, policy.HasOtherPools
	for _, name := range slices.Sorted(maps.Keys(policy.Terms)) {
		terms := policy.Terms[name]
		if terms.Weight <= 0 {
			terms.Weight = 1
		}
		p.tenantOf(name).terms = terms
	}
	p.needsPlacing = true
}

// atLimitPart is the part of its limit from which on a tenant counts as being at it: most tasks need less than the rest.
const atLimitPart = 0.9

// isAtLimit tells whether a tenant has, as good as, all that it may have, so that it waits for itself and not for the fleet.
func (t *tenantTable) isAtLimit(index int) bool {
	tenant := t.sorted[index]
	return tenant.terms.Limit != placement.NoLimit && tenant.allocated.resources.DominantShareOf(tenant.terms.Limit) >= atLimitPart
}

// countTenantRun adds a run to what its tenant has, or takes it out with a negative count. A run counts from before its order leaves
// until it has certainly ended or can't start any more, so that what executors run is never more than what is counted.
func (p *Pool) countTenantRun(run *runState, count int) {
	tenant := run.task.step.tenant()
	tenant.allocated = tenant.allocated.with(run.task.step.need(), count)
	if p.leavesRoom(run.task.step) {
		tenant.longAllocated = tenant.longAllocated.with(run.task.step.need(), count)
	}
}

// leavesRoom tells whether a step is long work that has to leave room for what is more urgent.
func (p *Pool) leavesRoom(step *stepState) bool {
	group := placement.Group{IsLong: p.isLong(step), IsLasting: step.spec.LongRunning, Priority: step.priority()}
	return group.CountsAsLong()
}

// maxUrgentRoom is the part of a tenant's limit that its long work leaves to its other work at the most.
const maxUrgentRoom = 0.4

// longLimit is what long work of a tenant may take: its limit less what its other work has lately asked for.
func (p *Pool) longLimit(tenant *tenantState, limit placement.Resources, now time.Duration) placement.Resources {
	asked := p.open.first.urgentDemand[tenant.index].resources.Plus(tenant.allocated.resources).Minus(tenant.longAllocated.resources)
	tenant.urgentDemand.raise(float64(asked.CPU), float64(asked.Memory), now, p.timing.ReservedCapacity.DemandHalfLife)
	most := limit.Times(maxUrgentRoom)
	return limit.Minus(placement.Resources{CPU: min(most.CPU, int64(tenant.urgentDemand.cpu)), Memory: min(most.Memory, int64(tenant.urgentDemand.memory))})
}

// tenantLimits gives what each tenant has and may have, by its index.
func (p *Pool) tenantLimits(now time.Duration) []placement.Tenant {
	p.updateTerms()
	limits := make([]placement.Tenant, len(p.tenants.sorted))
	weights := p.weightsOfWork()
	for index, tenant := range p.tenants.sorted {
		limit, mayOverhang := p.limitOf(tenant)
		limits[index] = placement.Tenant{Allocated: tenant.allocated.resources, Limit: limit, MayOvershoot: mayOverhang,
			LongAllocated: tenant.longAllocated.resources, LongLimit: p.longLimit(tenant, limit, now), Share: placement.NoLimit}
		if index > 0 && tenant.hasWork() {
			limits[index].Share = p.table.openCapacity.Times(tenant.terms.Weight / weights)
			limits[index].IsAboveShare = !limits[index].Share.Fits(limits[index].Allocated)
		}
	}
	return limits
}

// limitOf is what a tenant may have running here, and whether its last run may reach beyond that: only where no other pool starts
// anything under the same limit.
func (p *Pool) limitOf(tenant *tenantState) (limit placement.Resources, mayOverhang bool) {
	if p.accounts == nil || tenant.index == 0 {
		return tenant.terms.Limit, true
	}
	allowance, hasWholeLimit := p.accounts.Allowance(tenant.name, p.countPolicy())
	return allowedOf(tenant.terms.Limit, allowance), hasWholeLimit
}

// allowedOf is what is allowed of a limit: nothing is counted, and all is allowed, of a resource without one.
func allowedOf(limit, allowance placement.Resources) placement.Resources {
	if limit.CPU != placement.Unlimited {
		limit.CPU = min(limit.CPU, allowance.CPU)
	}
	if limit.Memory != placement.Unlimited {
		limit.Memory = min(limit.Memory, allowance.Memory)
	}
	if limit.GPU != placement.Unlimited {
		limit.GPU = min(limit.GPU, allowance.GPU)
	}
	return limit
}

// weightsOfWork is the sum of the weights of all tenants that have work.
func (p *Pool) weightsOfWork() float64 {
	weights := 0.0
	for _, tenant := range p.tenants.sorted[1:] {
		if tenant.hasWork() {
			weights += tenant.terms.Weight
		}
	}
	return weights
}

// hasWork tells whether the tenant has anything that runs or waits.
func (t *tenantState) hasWork() bool { return t.openSteps > 0 || t.allocated.count > 0 }

// isWithinRate counts a job that a tenant hands in, and tells whether it is among those that the tenant may expect to be done.
func (p *Pool) isWithinRate(tenant *tenantState) bool {
	return tenant.index == 0 || tenant.rate.take(tenant.terms.Weight, p.timing.RateWindow, p.clock.Monotonic())
}

// A tenant may have surplusSeconds' worth of jobs under way that are beyond its rate, and minSurplusJobs at least.
const (
	surplusSeconds = 10
	minSurplusJobs = 20
)

// isFlooding tells whether a tenant has so many jobs beyond its rate that no more of them are taken.
func (t *tenantState) isFlooding() bool {
	return t.index > 0 && t.surplusJobs >= max(minSurplusJobs, int(surplusSeconds*t.terms.Weight))
}

// submissionRate tells which of a tenant's jobs are beyond its weight a second: a token bucket that holds what it may send in
// a window of time.
type submissionRate struct {
	tokens float64
	at     time.Duration
	isSeen bool
}

// take counts a job that comes now, and tells whether it is within the rate, in jobs a second over a window.
func (r *submissionRate) take(perSecond float64, window, now time.Duration) bool {
	burst := max(1, perSecond*window.Seconds())
	if !r.isSeen {
		r.tokens, r.isSeen = burst, true
	}
	r.tokens, r.at = min(burst, r.tokens+(now-r.at).Seconds()*perSecond), now
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}
