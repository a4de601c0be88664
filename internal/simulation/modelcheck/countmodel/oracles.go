package countmodel

import (
	"gannetline/internal/scheduling/tenantcount"
)

// checkAccounts is the oracle of the escrow's inequalities, asked again and again: what a pool may use is no more than its committed
// account, and that no more than what its part has committed as granted.
func (c *simCluster) checkAccounts(pool *modelPool) {
	committed, err := tenantcount.NewAccounts(pool.name(), pool.key.Epoch, pool.key.Pairs(tenantcount.AccountPrefix))
	if err != nil {
		c.violate("RECORD", "%v", err)
		return
	}
	for _, tenant := range tenants {
		account := committed.Balance(tenant).CPU
		if pool.accounts != nil && pool.accounts.Balance(tenant).CPU > account {
			c.violate("ACCOUNT", "pool %d uses %d of tenant %s, and %d is committed", pool.number, pool.accounts.Balance(tenant).CPU, tenant, account)
		}
		if granted := c.parts[tenantcount.PartOf(tenant)].granted(tenant, pool.name()); account > granted {
			c.violate("GRANT", "pool %d holds %d of tenant %s, and its part has committed %d", pool.number, account, tenant, granted)
		}
	}
}

// granted is what the committed records of a part hold for a pool.
func (p *modelPart) granted(tenant, asker string) int64 {
	committed, err := tenantcount.NewPart(p.key.Pairs(""), p.cluster.queue.Now())
	if err != nil {
		p.cluster.violate("RECORD", "%v", err)
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

// checkStart is the oracle of the limits, asked at each start at an executor: what a tenant has running everywhere is no more than the
// highest limit that may be in force.
func (c *simCluster) checkStart(tenant string) {
	running := 0
	for _, pool := range c.pools {
		running += pool.executing[tenant]
	}
	if limit := c.highestLimit(tenant); running > limit {
		c.violate("QUOTA", "tenant %s has %d running, and its limit is %d", tenant, running, limit)
	}
}

// checkProgress is the oracle of what is held back: long after all faults a tenant whose pools all want more has all that it may have.
func (c *simCluster) checkProgress() {
	if len(c.violations) > 0 {
		return
	}
	for _, tenant := range tenants {
		var balance int64
		for _, pool := range c.pools {
			balance += pool.accounts.Balance(tenant).CPU
			if pool.accounts.Balance(tenant).CPU == 0 && c.versions[len(c.versions)-1].limits[tenant] >= len(c.pools) {
				c.violate("STARVED", "pool %d has nothing of tenant %s long after the last fault", pool.number, tenant)
			}
		}
		limit := int64(c.versions[len(c.versions)-1].limits[tenant] * taskCPU)
		if balance < limit-int64(len(c.pools)) || balance > limit {
			c.violate("LEAKED", "the pools hold %d of tenant %s, whose limit is %d", balance, tenant, limit)
		}
	}
}
