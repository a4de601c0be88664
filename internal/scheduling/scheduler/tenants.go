package scheduler

import (
	"maps"
	"slices"
	"time"

	"gannetline/internal/scheduling/placement"
)

// TenantPolicy holds the tenants of one configuration version. It is immutable.
type TenantPolicy struct {
	Version int64
	// Terms holds the terms of each tenant by its name.
	Terms map[string]TenantTerms
	// HasOtherPools is set if other pools may run work of the same tenants.
	HasOtherPools bool
}

// TenantTerms are a tenant's weight and limit in a configuration.
type TenantTerms struct {
	// Weight is the tenant's relative share of the capacity when it is scarce, and its rate in jobs per second. Jobs above this rate are
	// surplus. 0 counts as 1.
	Weight float64
	// Limit is the most that the tenant's runs may take in all pools together. A resource without a limit is placement.Unlimited.
	Limit placement.Resources
}

// WithTenants sets the source of the tenants of the current configuration. Without it no tenant is limited.
func WithTenants(policy func() TenantPolicy) Option {
	return func(p *Pool) { p.tenantPolicy = policy }
}

func noTenantPolicy() TenantPolicy { return TenantPolicy{} }

// tenantTable holds the state of each tenant. Each new leader creates its own.
type tenantTable struct {
	byName map[string]*tenantState
	// byIndex holds the tenants by index. A tenant's index never changes, and index 0 stands for jobs without a tenant.
	byIndex []*tenantState
	// version is the configuration version that the terms come from.
	version       int64
	hasOtherPools bool
}

// tenantState is the state of one tenant in this pool.
type tenantState struct {
	name  string
	index int
	// terms come from the last configuration that has the tenant. A tenant that was removed from the configuration keeps them as long as this
	// process leads the key. The next leader knows only the limit that openAccounts sets.
	terms TenantTerms
	// allocated is the total of the tenant's runs. A run counts until it has certainly ended or can't start any more.
	allocated allocation
	// longAllocated is the part of allocated that is taken by long work which must leave room for urgent work.
	longAllocated allocation
	// lastingAllocated is the part of allocated that is taken by runs which don't end by themselves.
	lastingAllocated allocation
	// nextWork is the tenant's work that has waited longest. It is set only if pools share the tenant's limit.
	nextWork nextWork
	// urgentDemand is the recent peak demand of the tenant's other work.
	urgentDemand recentDemand
	// openSteps counts the tenant's steps in the queue. Shares are divided among the tenants that have work.
	openSteps int
	rate      submissionRate
	// surplusJobs counts the tenant's open jobs that were submitted above its rate.
	surplusJobs int
}

func newTenantTable() tenantTable {
	noTenant := &tenantState{terms: unlimitedTerms}
	return tenantTable{byName: map[string]*tenantState{"": noTenant}, byIndex: []*tenantState{noTenant}}
}

// unlimitedTerms are the terms of a tenant that no configuration had so far.
var unlimitedTerms = TenantTerms{Weight: 1, Limit: placement.NoLimit}

// tenantOf returns the state of a tenant. It creates the state at the tenant's first job or the first configuration that has the tenant.
func (p *Pool) tenantOf(name string) *tenantState {
	tenant := p.tenants.byName[name]
	if tenant == nil {
		tenant = &tenantState{name: name, index: len(p.tenants.byIndex), terms: unlimitedTerms}
		p.tenants.byName[name] = tenant
		p.tenants.byIndex = append(p.tenants.byIndex, tenant)
	}
	return tenant
}

// updateTerms applies the terms of the current configuration if its version has changed. If no configuration since the takeover has had a
// tenant, the tenant keeps the limit that openAccounts has set, which is what the pool was granted for it.
func (p *Pool) updateTerms() {
	policy := p.tenantPolicy()
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

// atLimitFraction is the fraction of its limit from which on a tenant counts as at its limit. Most tasks need less than the remaining 10%.
const atLimitFraction = 0.9

// isAtLimit reports whether a tenant has nearly reached its limit. Its work then waits for its own runs and not for capacity of the fleet.
func (t *tenantTable) isAtLimit(index int) bool {
	tenant := t.byIndex[index]
	return tenant.terms.Limit != placement.NoLimit && tenant.allocated.resources.DominantShareOf(tenant.terms.Limit) >= atLimitFraction
}

// countTenantRun adds a run to its tenant's allocation. A negative count removes it. A run counts from before its launch order is sent
// until it has certainly ended or can't start any more, so executors never run more than is counted.
func (p *Pool) countTenantRun(run *runState, count int) {
	tenant := run.task.step.tenant()
	tenant.allocated = tenant.allocated.with(run.task.step.need(), count)
	if p.countsAsLong(run.task.step) {
		tenant.longAllocated = tenant.longAllocated.with(run.task.step.need(), count)
	}
	if run.task.step.spec.LongRunning {
		tenant.lastingAllocated = tenant.lastingAllocated.with(run.task.step.need(), count)
	}
	if count > 0 {
		p.noteLaunch(run.task.step)
	}
}

// countsAsLong reports whether a step is long work that must leave room for more urgent work.
func (p *Pool) countsAsLong(step *stepState) bool {
	group := placement.Group{IsLong: p.isLong(step), IsLasting: step.spec.LongRunning, Priority: step.priority()}
	return group.CountsAsLong()
}

// maxUrgentFraction is the largest fraction of a tenant's limit that is reserved for its urgent work.
const maxUrgentFraction = 0.4

// longLimit returns the limit of a tenant's long work: the tenant's limit minus the recent peak demand of its other work. At most
// maxUrgentFraction of the limit is subtracted. It updates this peak.
func (p *Pool) longLimit(tenant *tenantState, limit placement.Resources, now time.Duration) placement.Resources {
	present := p.open.first.urgentDemand[tenant.index].resources.Plus(tenant.allocated.resources).Minus(tenant.longAllocated.resources)
	tenant.urgentDemand.raise(float64(present.CPU), float64(present.Memory), now, p.timing.ReservedCapacity.DemandHalfLife)
	maxReserved := limit.Times(maxUrgentFraction)
	return limit.Minus(placement.Resources{CPU: min(maxReserved.CPU, int64(tenant.urgentDemand.cpu)), Memory: min(maxReserved.Memory, int64(tenant.urgentDemand.memory))})
}

// tenantLimits returns the allocation and the limits of each tenant, by index.
func (p *Pool) tenantLimits(now time.Duration) []placement.Tenant {
	p.updateTerms()
	limits := make([]placement.Tenant, len(p.tenants.byIndex))
	totalWeight := p.activeWeight()
	for index, tenant := range p.tenants.byIndex {
		limit, mayOvershoot := p.limitOf(tenant)
		limits[index] = placement.Tenant{Allocated: tenant.allocated.resources, Limit: limit, MayOvershoot: mayOvershoot, Reserved: p.reservedFor(tenant, now),
			LongAllocated: tenant.longAllocated.resources, LongLimit: p.longLimit(tenant, limit, now), Share: placement.NoLimit}
		if index > 0 && tenant.hasWork() {
			limits[index].Share = p.table.openCapacity.Times(tenant.terms.Weight / totalWeight)
			limits[index].IsAboveShare = !limits[index].Share.Fits(limits[index].Allocated)
		}
	}
	return limits
}

// limitOf returns how much a tenant's runs may take in this pool. mayOvershoot is set if the last run may exceed this, which is allowed only
// if no other pool starts runs under the same limit.
func (p *Pool) limitOf(tenant *tenantState) (limit placement.Resources, mayOvershoot bool) {
	if p.accounts == nil || tenant.index == 0 {
		return tenant.terms.Limit, true
	}
	allowance, hasWholeLimit := p.accounts.Allowance(tenant.name, p.countPolicy())
	return allowedOf(tenant.terms.Limit, allowance), hasWholeLimit
}

// allowedOf reduces a limit to the allowance granted to this pool. A resource without a limit isn't counted and stays unlimited.
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

// activeWeight is the sum of the weights of all tenants that have work.
func (p *Pool) activeWeight() float64 {
	sum := 0.0
	for _, tenant := range p.tenants.byIndex[1:] {
		if tenant.hasWork() {
			sum += tenant.terms.Weight
		}
	}
	return sum
}

// hasWork reports whether the tenant has runs or steps in the queue.
func (t *tenantState) hasWork() bool { return t.openSteps > 0 || t.allocated.count > 0 }

// takeRateToken counts a submitted job against its tenant's rate and reports whether it is within the rate. Jobs without a tenant always are.
func (p *Pool) takeRateToken(tenant *tenantState) bool {
	return tenant.index == 0 || tenant.rate.take(tenant.terms.Weight, p.timing.RateWindow, p.clock.Monotonic())
}

// A tenant may have as many open surplus jobs as its rate gives in surplusSeconds, and at least minSurplusJobs.
const (
	surplusSeconds = 10
	minSurplusJobs = 20
)

// exceedsSurplusLimit reports whether a tenant has so many open surplus jobs that the pool refuses more of them.
func (t *tenantState) exceedsSurplusLimit() bool {
	return t.index > 0 && t.surplusJobs >= max(minSurplusJobs, int(surplusSeconds*t.terms.Weight))
}

// submissionRate is a token bucket that decides which of a tenant's jobs are within its rate, which is its weight in jobs per second. The
// bucket holds the jobs of one time window.
type submissionRate struct {
	tokens   float64
	at       time.Duration
	isFilled bool
}

// take counts a job submitted now and reports whether it is within the rate. The first call fills the bucket.
func (r *submissionRate) take(perSecond float64, window, now time.Duration) bool {
	burst := max(1, perSecond*window.Seconds())
	if !r.isFilled {
		r.tokens, r.isFilled = burst, true
	}
	r.tokens, r.at = min(burst, r.tokens+(now-r.at).Seconds()*perSecond), now
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}
