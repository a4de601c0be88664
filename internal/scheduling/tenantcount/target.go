package tenantcount

import (
	"slices"
	"time"

	"gannetline/internal/scheduling/placement"
)

// targetOf returns how much of a tenant's limit an asker should hold. This is its fair share, unless an asker has a turn: that one should
// hold what it requires, and the others divide the rest. The target is 0 in a resource without a limit.
func (p *Part) targetOf(tenant, asker string, limit placement.Resources, now time.Duration) placement.Resources {
	current := p.turns[tenant]
	if current == nil {
		return p.fairShareOf(tenant, asker, limit, now)
	}
	held := p.fairShareOf(tenant, current.asker, limit, now).Max(p.requiredFor(tenant, current.asker, limit))
	if asker == current.asker {
		return held
	}
	return p.divide(tenant, asker, current.asker, onlyLimited(limit, limit).Minus(held), now)
}

// fairShareOf returns an asker's fair share of a tenant's limit. The limit is divided by max-min fairness over the demands of the askers: no
// asker gets less than an equal share unless it wants less. What is left when all demands are met is divided equally, so that the pools have
// capacity when new work arrives. The share is 0 in a resource without a limit.
func (p *Part) fairShareOf(tenant, asker string, limit placement.Resources, now time.Duration) placement.Resources {
	return p.divide(tenant, asker, "", onlyLimited(limit, limit), now)
}

// divide returns an asker's share of an amount that is divided among all askers of a tenant except one, which may be empty. Other askers
// without a grant count only for idleAskerTimeout after their last call.
func (p *Part) divide(tenant, asker, except string, amount placement.Resources, now time.Duration) placement.Resources {
	var wants []placement.Resources
	for name, other := range p.tenants[tenant] {
		isIdle := other.amount == (placement.Resources{}) && now-other.lastCallAt > idleAskerTimeout
		if name == except || name != asker && isIdle {
			continue
		}
		wants = append(wants, other.wants)
	}
	own := p.tenants[tenant][asker].wants
	return placement.Resources{
		CPU:    fairShare(amount.CPU, own.CPU, wants, func(r placement.Resources) int64 { return r.CPU }),
		Memory: fairShare(amount.Memory, own.Memory, wants, func(r placement.Resources) int64 { return r.Memory }),
		GPU:    fairShare(amount.GPU, own.GPU, wants, func(r placement.Resources) int64 { return r.GPU }),
	}
}

// onlyLimited returns the amount with 0 in each resource that the limit does not limit.
func onlyLimited(amount, limit placement.Resources) placement.Resources {
	if limit.CPU == placement.Unlimited {
		amount.CPU = 0
	}
	if limit.Memory == placement.Unlimited {
		amount.Memory = 0
	}
	if limit.GPU == placement.Unlimited {
		amount.GPU = 0
	}
	return amount
}

// fairShare returns how much of one resource an asker should hold. own is the asker's demand, and wants holds the demands of all askers,
// including its own.
func fairShare(limit, own int64, wants []placement.Resources, amountIn func(placement.Resources) int64) int64 {
	amounts := make([]int64, len(wants))
	for index, want := range wants {
		amounts[index] = amountIn(want)
	}
	slices.Sort(amounts)
	remaining := limit
	for index, amount := range amounts {
		equal := remaining / int64(len(amounts)-index)
		if amount > equal {
			// All remaining askers want more than an equal share.
			return min(own, equal)
		}
		remaining -= amount
	}
	return own + remaining/int64(len(amounts))
}
