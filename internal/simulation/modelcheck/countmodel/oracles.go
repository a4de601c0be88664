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

// checkStart is the oracle of the limits, called whenever a run starts at an executor. The total size of the running tasks of a tenant in all
// pools is at most the highest limit that may be in force. Only one task may exceed it, if all tasks are in one pool and the others together take
// at most half of the limit.
func (c *simCluster) checkStart(tenant string) {
	running, largest, runningPools := 0, 0, 0
	for _, pool := range c.pools {
		runningPools += min(1, len(pool.executing[tenant]))
		for _, size := range pool.executing[tenant] {
			running += size
			largest = max(largest, size)
		}
	}
	limit := c.highestLimit(tenant)
	if running > limit && (runningPools > 1 || 2*(running-largest) > limit) {
		c.reportViolation("QUOTA", "tenant %s has %d running, the largest task %d, and its limit is %d", tenant, running, largest, limit)
	}
}

// noteBalances notes the highest sum of the accounts of each tenant, in the pools that want it, from settleTime after the last fault on. At some moments a part of a
// limit is on its way from one pool to another.
func (c *simCluster) noteBalances() {
	if !c.isSettled {
		return
	}
	for _, tenant := range tenants {
		var balance int64
		for _, pool := range c.pools {
			if pool.demand[tenant] > 0 {
				balance += pool.accounts.Balance(tenant).CPU
			}
		}
		c.highestBalance[tenant] = max(c.highestBalance[tenant], balance)
	}
}

// highestOvershoot returns the most that the pools may hold of a tenant while one of its large tasks exceeds the limit: that task and half of
// the limit. It is 0 if there are no large tasks.
func (c *simCluster) highestOvershoot(tenant string) int64 {
	limit, largest := c.versions[len(c.versions)-1].limits[tenant], 0
	for _, pool := range c.pools {
		largest = max(largest, pool.largeSize[tenant])
	}
	if largest == 0 {
		return 0
	}
	return int64(largest*taskCPU + limit*taskCPU/2)
}

// checkProgress is the oracle of limits that are not fully granted. From settleTime after the last fault on, when some pools demand more than
// the limit and the others nothing, the accounts of those pools must have added up to its limit at some moment, less at most one unit of CPU
// per pool, and never to more, unless a large task exceeds it. That each pool gets its part is checked by waitTimes.
func (c *simCluster) checkProgress() {
	if len(c.violations) > 0 {
		return
	}
	for _, tenant := range tenants {
		balance := c.highestBalance[tenant]
		limit := int64(c.versions[len(c.versions)-1].limits[tenant] * taskCPU)
		if balance < limit-int64(len(c.pools)) || balance > max(limit, c.highestOvershoot(tenant)) {
			c.reportViolation("LEAKED", "the pools hold %d of tenant %s, whose limit is %d", balance, tenant, limit)
		}
	}
}
