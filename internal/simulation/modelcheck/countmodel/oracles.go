package countmodel

import (
	"gannetline/internal/scheduling/tenantcount"
)

// checkAccounts is the oracle of a pool's accounts, called periodically and at each change of them. For each tenant, the leader may use at
// most the committed account of the pool, and that account is at most the grant that the tenant's partition has committed.
func (c *simCluster) checkAccounts(pool *modelPool) {
	committed, err := tenantcount.NewAccounts(pool.name(), pool.key.Epoch, pool.key.Pairs(tenantcount.AccountPrefix))
	if err != nil {
		c.reportViolation("RECORD", "%v", err)
		return
	}
	for _, tenant := range tenants {
		account := committed.Balance(tenant).CPU
		if pool.accounts != nil && pool.accounts.Balance(tenant).CPU > account {
			c.reportViolation("ACCOUNT", "pool %d uses %d of tenant %s, and %d is committed", pool.number, pool.accounts.Balance(tenant).CPU, tenant, account)
		}
		if granted := c.parts[tenantcount.PartOf(tenant)].granted(tenant, pool.name()); account > granted {
			c.reportViolation("GRANT", "pool %d holds %d of tenant %s, and its part has committed %d", pool.number, account, tenant, granted)
		}
	}
}

// granted returns the CPU that the committed records of a partition grant to a pool for a tenant.
func (p *modelPart) granted(tenant, asker string) int64 {
	committed, err := tenantcount.NewPart(p.key.Pairs(""), p.cluster.queue.Now())
	if err != nil {
		p.cluster.reportViolation("RECORD", "%v", err)
		return 0
	}
	for _, row := range committed.Report(p.limits) {
		for _, share := range row.Grants {
			if row.Tenant == tenant && share.Asker == asker {
				return share.Granted.CPU
			}
		}
	}
	return 0
}

// checkStart is the oracle of the limits, called whenever a run starts at an executor. The number of running tasks of a tenant in all pools
// is at most the highest limit that may be in force.
func (c *simCluster) checkStart(tenant string) {
	running := 0
	for _, pool := range c.pools {
		running += pool.executing[tenant]
	}
	if limit := c.highestLimit(tenant); running > limit {
		c.reportViolation("QUOTA", "tenant %s has %d running, and its limit is %d", tenant, running, limit)
	}
}

// checkProgress is the oracle of limits that are not fully granted. It is called settleTime after the last fault, when each pool demands
// more than the limit. The accounts of a tenant must then add up to its limit, less at most one unit of CPU per pool. If the limit is at
// least one task per pool, each pool must have a share.
func (c *simCluster) checkProgress() {
	if len(c.violations) > 0 {
		return
	}
	for _, tenant := range tenants {
		var balance int64
		for _, pool := range c.pools {
			balance += pool.accounts.Balance(tenant).CPU
			if pool.accounts.Balance(tenant).CPU == 0 && c.versions[len(c.versions)-1].limits[tenant] >= len(c.pools) {
				c.reportViolation("STARVED", "pool %d has nothing of tenant %s long after the last fault", pool.number, tenant)
			}
		}
		limit := int64(c.versions[len(c.versions)-1].limits[tenant] * taskCPU)
		if balance < limit-int64(len(c.pools)) || balance > limit {
			c.reportViolation("LEAKED", "the pools hold %d of tenant %s, whose limit is %d", balance, tenant, limit)
		}
	}
}
