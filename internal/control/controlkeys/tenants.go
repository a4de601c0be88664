package controlkeys

import (
	"gannetline/internal/cluster/configuration"
	"gannetline/internal/scheduling/placement"
	"gannetline/internal/scheduling/scheduler"
)

// tenantTerms finds what the configuration in force grants a tenant. Any goroutine may call it.
func (m *Manager) tenantTerms(name string) (scheduler.TenantTerms, bool) {
	snapshot := m.Configurations.Current()
	if snapshot == nil {
		return scheduler.TenantTerms{}, false
	}
	tenant := snapshot.Matcher.Tenant(name)
	if tenant == nil {
		return scheduler.TenantTerms{}, false
	}
	return scheduler.TenantTerms{Weight: tenant.Weight, Limit: limitOf(tenant.Limit)}, true
}

// limitOf says a limit as placement counts, where 0 is nothing and not everything.
func limitOf(limit configuration.UpperLimit) placement.Resources {
	return placement.Resources{CPU: orUnlimited(limit.CPU), Memory: orUnlimited(limit.Memory), GPU: orUnlimited(limit.GPU)}
}

func orUnlimited(limit int64) int64 {
	if limit == 0 {
		return placement.Unlimited
	}
	return limit
}
