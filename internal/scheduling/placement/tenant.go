package placement

import "math"

// Unlimited is the limit of a resource that is not limited.
const Unlimited = math.MaxInt64

// Tenant is the usage and the limits of one tenant. Groups refer to it by its index in Limits.Tenants; index 0 is work without a tenant.
type Tenant struct {
	// Allocated is what the tenant's runs use, including those that are stopping and those whose start is not confirmed.
	Allocated Resources
	// Limit is how much the tenant may have running at once.
	Limit Resources
	// MayOvershoot means that no other pool starts runs under the same limit, so that one task that is too large may exceed it.
	MayOvershoot bool
	// Reserved is what the tenant's work that has waited longest needs at once. Smaller work must leave it free. It is zero if nothing is
	// reserved.
	Reserved Resources
	// LongAllocated is what the tenant's long work uses (see CountsAsLong). LongLimit is a soft limit for it, which leaves capacity within
	// Limit for urgent work.
	LongAllocated, LongLimit Resources
	// Share is the tenant's part of the capacity of the executors that may get runs, in proportion to the weights of all tenants with work.
	Share Resources
	// IsAboveShare means that the tenant has more than its share, or would have with one more run of that of its groups for which capacity was
	// last allocated or released.
	IsAboveShare bool
}

// NoLimit is the limit of a tenant that has none.
var NoLimit = Resources{CPU: Unlimited, Memory: Unlimited, GPU: Unlimited}

// Admits reports whether the tenant may have count more runs of a need. All must be within its limit. With MayOvershoot, a single run
// may exceed the limit while at most half of the limit is in use. So at most one run exceeds the limit, and it is larger than all others
// together. Runs may start in another order than they were placed in, and a small run that starts last must not be the one that exceeds
// the limit. Work that is smaller than Reserved must leave Reserved free within the limit.
func (t *Tenant) Admits(need Resources, count int) bool {
	total := need.Times(float64(count))
	if !total.Fits(t.Reserved) {
		return CoversNeed(t.Limit, t.Allocated.Plus(total).Plus(t.Reserved), need.Plus(t.Reserved))
	}
	if CoversNeed(t.Limit, t.Allocated.Plus(total), need) {
		return true
	}
	return count == 1 && t.MayOvershoot && CoversNeed(t.Limit, t.Allocated.Plus(t.Allocated), need)
}

// CoversNeed reports whether an amount is within a limit in each resource of which something is needed.
func CoversNeed(limit, amount, need Resources) bool {
	return (need.CPU <= 0 || amount.CPU <= limit.CPU) && (need.Memory <= 0 || amount.Memory <= limit.Memory) && (need.GPU <= 0 || amount.GPU <= limit.GPU)
}

// CountsAsLong reports whether the group is long work that must leave capacity for more urgent work. Work of the most urgent priority is
// exempt, and so is lasting work, which must be running at all times.
func (g *Group) CountsAsLong() bool { return g.IsLong && !g.IsLasting && g.Priority != mostUrgent }

// admitsLong reports whether the tenant's long work may have count more runs. Only the last one may exceed the soft limit. While no long
// work runs, any count is admitted.
func (t *Tenant) admitsLong(need Resources, count int) bool {
	if t.LongAllocated == (Resources{}) {
		return true
	}
	before := t.LongAllocated.Plus(need.Times(float64(count - 1)))
	return CoversNeed(t.LongLimit, before, need)
}

// isWithinShare reports whether the tenant stays within its share of each resource with one more run of a need. A tenant that has
// nothing running always does.
func (t *Tenant) isWithinShare(need Resources) bool {
	after := t.Allocated.Plus(need)
	return t.Allocated == Resources{} || t.Share.Fits(after)
}

// tenantOf returns the tenant of a group, or nil if the group has no tenant.
func (r *placementRound) tenantOf(group *Group) *Tenant {
	if group.Tenant <= 0 || group.Tenant >= len(r.tenants) {
		return nil
	}
	return &r.tenants[group.Tenant]
}

// isTenantAtLimit reports whether the limits of a group's tenant forbid count more runs of the group. The hard limit always applies, the
// soft limit applies to long work that may not exceed soft limits, and the tenant's share applies only in the pass within tenant shares.
func (r *placementRound) isTenantAtLimit(group *Group, count int) bool {
	tenant := r.tenantOf(group)
	switch {
	case tenant == nil:
		return false
	case !tenant.Admits(group.Need, count):
		return true
	case group.CountsAsLong() && !r.mayExceedLimits(group) && !tenant.admitsLong(group.Need, count):
		return true
	}
	return r.appliesTenantShares && tenant.IsAboveShare
}

// countForTenant adds runs of a group to its tenant's usage; a negative count removes them.
func (r *placementRound) countForTenant(group *Group, count int) {
	tenant := r.tenantOf(group)
	if tenant == nil {
		return
	}
	tenant.Allocated = tenant.Allocated.Plus(group.Need.Times(float64(count)))
	if group.CountsAsLong() {
		tenant.LongAllocated = tenant.LongAllocated.Plus(group.Need.Times(float64(count)))
	}
	tenant.IsAboveShare = !tenant.isWithinShare(group.Need)
}

// hasTenantAboveShare reports whether any tenant has more than its share, so that the others must be placed first.
func (r *placementRound) hasTenantAboveShare() bool {
	for index := range r.tenants {
		if r.tenants[index].IsAboveShare {
			return true
		}
	}
	return false
}
