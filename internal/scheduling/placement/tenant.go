package placement

import "math"

// Unlimited is the limit of a resource of which a tenant may have any amount.
const Unlimited = math.MaxInt64

// Tenant is what one tenant has and may have. Groups name it by its index in Limits.Tenants; index 0 is that of work without a tenant.
type Tenant struct {
	// Allocated is what its runs take, also those that are being stopped or whose start is in doubt.
	Allocated Resources
	// Limit is what it may have running at once. It is never exceeded but by the last task, and that only with MayOverhang.
	Limit Resources
	// MayOverhang tells that nobody else starts anything under the same limit, so that one task may reach beyond it.
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

// admits tells whether the tenant may have so many more runs of a need: up to its limit, or with all but a part of the last run
// below it.
func (t *Tenant) admits(need Resources, count int) bool {
	before, after := t.Allocated.Plus(need.Times(float64(count-1))), t.Allocated.Plus(need.Times(float64(count)))
	return admitsAll(need, before, after, t.Limit, t.MayOverhang)
}

// LeavesRoom tells whether the group is long work that has to leave room for what is more urgent. Work that lasts doesn't, as it is to
// run at every moment.
func (g *Group) LeavesRoom() bool { return g.IsLong && !g.IsLasting && g.Priority != mostUrgent }

// admitsLong tells whether the tenant's long work may have so many more runs; the last one may reach beyond the soft limit.
func (t *Tenant) admitsLong(need Resources, count int) bool {
	if t.LongAllocated == (Resources{}) {
		return true
	}
	before, after := t.LongAllocated.Plus(need.Times(float64(count-1))), t.LongAllocated.Plus(need.Times(float64(count)))
	return admitsAll(need, before, after, t.LongLimit, true)
}

func admitsAll(need, before, after, limit Resources, mayOverhang bool) bool {
	return admits(need.CPU, before.CPU, after.CPU, limit.CPU, mayOverhang) &&
		admits(need.Memory, before.Memory, after.Memory, limit.Memory, mayOverhang) &&
		admits(need.GPU, before.GPU, after.GPU, limit.GPU, mayOverhang)
}

// admits judges one resource: before and after are what is taken without and with the last run.
func admits(need, before, after, limit int64, mayOverhang bool) bool {
	return need <= 0 || after <= limit || mayOverhang && before < limit
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
	case !tenant.admits(group.Need, count):
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
