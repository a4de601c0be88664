package scheduler

import (
	"cmp"
	"slices"

	"gannetline/internal/platform/metrics"
	"gannetline/internal/scheduling/tenantcount"
)

const (
	// maxShownTenants is how many tenants have their own series. All others are summed up under otherTenants.
	maxShownTenants = 20
	otherTenants    = "(others)"
)

var (
	tenantRunningCPU   = metrics.NewGauges("gannetline_pool_tenant_running_cpu", "key", "tenant")
	tenantWaitingCPU   = metrics.NewGauges("gannetline_pool_tenant_waiting_cpu", "key", "tenant")
	tenantAllowanceCPU = metrics.NewGauges("gannetline_pool_tenant_allowance_cpu", "key", "tenant")
)

// tenantLoad holds the metrics of one tenant, in CPU units (thousandths of a core). The allowance of a tenant without a limit is 0.
type tenantLoad struct {
	name                        string
	running, waiting, allowance int64
}

// tenantLoads returns the largest tenants by running and pending CPU, and the sum of all others as one entry.
func (p *Pool) tenantLoads() []tenantLoad {
	loads := make([]tenantLoad, 0, len(p.tenants.byIndex))
	for _, tenant := range p.tenants.byIndex[1:] {
		limit, _ := p.limitOf(tenant)
		loads = append(loads, tenantLoad{tenant.name, tenant.allocated.resources.CPU, p.open.first.tenantDemand[tenant.index].resources.CPU, tenantcount.ShownLimit(limit).CPU})
	}
	slices.SortStableFunc(loads, func(a, b tenantLoad) int { return cmp.Compare(b.running+b.waiting, a.running+a.waiting) })
	if len(loads) <= maxShownTenants {
		return loads
	}
	others := tenantLoad{name: otherTenants}
	for _, load := range loads[maxShownTenants:] {
		others.running += load.running
		others.waiting += load.waiting
		others.allowance += load.allowance
	}
	return append(loads[:maxShownTenants], others)
}

// showTenants sets the gauges of tenants. The series of a tenant that is no longer among the largest are set to 0. There are never more
// series than there have been tenants.
func (m *poolMetrics) showTenants(loads []tenantLoad) {
	shown := map[string]tenantLoad{}
	for _, load := range loads {
		shown[load.name] = load
		m.shownTenants[load.name] = true
	}
	for name := range m.shownTenants {
		load := shown[name]
		tenantRunningCPU.With(m.key, name).Set(float64(load.running))
		tenantWaitingCPU.With(m.key, name).Set(float64(load.waiting))
		tenantAllowanceCPU.With(m.key, name).Set(float64(load.allowance))
	}
}
