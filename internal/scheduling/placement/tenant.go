package placement

import "math"

// Unlimited is the limit of a resource of which a tenant may have any amount.
const Unlimited = math.MaxInt64

// Tenant is what one tenant has and may have. Groups name it by its index in Limits.Tenants; index 0 is that of work without a tenant.
type Tenant struct {
	// Allocated is what its runs take, also those that are being stopped or whose start is in doubt.
	Allocated Resources
	// Limit is what it may have running at once.
	Limit Resources
	// MayOverhang tells that nobody else starts anything under the same limit, so that one task that is too large may reach beyond it.
	MayOverhang bool
	// LongAllocated is what its long work takes, and LongLimit a soft limit of that, so that its urgent work finds room within Limit.
	LongAllocated, LongLimit Resources
	// Share is its part of all capacity, in proportion to the weights of all tenants that have work.
	Share Resources
	// IsAboveShare tells that it had more than its share when the turn began.
	IsAboveShare bool
}

// NoLimit is the limit of a tenant that has none.
var NoLimit = Resources{CPU: Unlimited, Memory: Unlimited, GPU: Unlimited}

// Admits tells whether the tenant may have so many more runs of a need: all within its limit, or with MayOverhang one run that is too
// large for what is left of it while no more than half of it is taken. More than this one run never reaches beyond the limit: runs may
// start in another order than they were placed in, and a small one that starts last must not be the one that is too much.
func (t *Tenant) Admits(need Resources, count int) bool {
	if fitsLimit(need, t.Allocated.Plus(need.Times(float64(count))), t.Limit) {
		return true
	}
	return count == 1 && t.MayOverhang && fitsLimit(need, t.Allocated.Plus(t.Allocated), t.Limit)
}

// fitsLimit tells whether an amount is within a limit in each resource that is needed.
func fitsLimit(need, amount, limit Resources) bool {
	return (need.CPU <= 0 || amount.CPU <= limit.CPU) && (need.Memory <= 0 || amount.Memory <= limit.Memory) && (need.GPU <= 0 || amount.GPU <= limit.GPU)
}

// LeavesRoom tells whether the group is long work that has to leave room for what is more urgent. Work that lasts doesn't, as it is to
// run at every moment.
func (g *Group) LeavesRoom() bool { return g.IsLong && !g.IsLasting && g.Priority != mostUrgent }

// admitsLong tells whether the tenant's long work may have so many more runs; the last one may reach beyond the soft limit.
func (t *Tenant) admitsLong(need Resources, count int) bool {
	if t.LongAllocated == (Resources{}) {
		return true
	}
	before := t.LongAllocated.Plus(need.Times(float64(count - 1)))
	return fitsLimit(need, before, t.LongLimit)
}

// isWithinShare tells whether one more run of a need leaves the tenant within its share of each resource, or begins from nothing.
func (t *Tenant) isWithinShare(need Resources) bool {
	after := t.Allocated.Plus(need)
	return t.Allocated == Resources{} || t.Share.Fits(after)
}

// tenantOf gives the tenant of a group, nil if nothing limits it.
func (t *turn) tenantOf(group *Group) *Tenant {
	if group.Tenant <= 0 || group.Tenant >= len(t.tenants) {
		return nil
	}
	return &t.tenants[group.Tenant]
}

// isTenantAtLimit tells whether the tenant of a group may not have so many more of its runs: never past its limit, and in the first
// pass over a queue in which tenants compete not past its share.
func (t *turn) isTenantAtLimit(group *Group, count int) bool {
	tenant := t.tenantOf(group)
	switch {
	case tenant == nil:
		return false
	case !tenant.Admits(group.Need, count):
		return true
	case group.LeavesRoom() && !t.mayExceedLimits(group) && !tenant.admitsLong(group.Need, count):
		return true
	}
	return t.isWithinShares && tenant.IsAboveShare
}

// countForTenant counts runs of a group for its tenant.
func (t *turn) countForTenant(group *Group, count int) {
	tenant := t.tenantOf(group)
	if tenant == nil {
		return
	}
	tenant.Allocated = tenant.Allocated.Plus(group.Need.Times(float64(count)))
	if group.LeavesRoom() {
		tenant.LongAllocated = tenant.LongAllocated.Plus(group.Need.Times(float64(count)))
	}
	tenant.IsAboveShare = !tenant.isWithinShare(group.Need)
}

// hasTenantAboveShare tells whether any tenant has more than its share, so that others are to go first.
func (t *turn) hasTenantAboveShare() bool {
	for index := range t.tenants {
		if t.tenants[index].IsAboveShare {
			return true
		}
	}
	return false
}
