package tenantcount

import (
	"slices"
	"time"

	"gannetline/internal/scheduling/placement"
)

// target is how much of a tenant's limit an asker should hold. The limit is divided by max-min fairness over what the askers want:
// nobody gets less than an equal part unless it wants less, and what nobody wants is divided equally, so that room is there when
// something comes. In a resource without a limit nothing is counted.
func (p *Part) target(tenant, asker string, limit placement.Resources, now time.Duration) placement.Resources {
	limit = bounded(limit, limit)
	var wants []placement.Resources
	for name, other := range p.tenants[tenant] {
		if name != asker && other.amount == (placement.Resources{}) && now-other.at > forgetAfter {
			continue
		}
		wants = append(wants, other.wants)
	}
	own := p.tenants[tenant][asker].wants
	return placement.Resources{
		CPU:    fairPart(limit.CPU, own.CPU, wants, func(r placement.Resources) int64 { return r.CPU }),
		Memory: fairPart(limit.Memory, own.Memory, wants, func(r placement.Resources) int64 { return r.Memory }),
		GPU:    fairPart(limit.GPU, own.GPU, wants, func(r placement.Resources) int64 { return r.GPU }),
	}
}

// bounded is an amount in the resources that have a limit, and nothing in the others.
func bounded(amount, limit placement.Resources) placement.Resources {
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

// fairPart is what one of the askers should hold of a resource, whose own wish is among all wants.
func fairPart(limit, own int64, wants []placement.Resources, of func(placement.Resources) int64) int64 {
	amounts := make([]int64, len(wants))
	for index, want := range wants {
		amounts[index] = of(want)
	}
	slices.Sort(amounts)
	remaining := limit
	for index, amount := range amounts {
		equal := remaining / int64(len(amounts)-index)
		if amount > equal {
			// All from here on want more than an equal part.
			return min(own, equal)
		}
		remaining -= amount
	}
	return own + remaining/int64(len(amounts))
}
