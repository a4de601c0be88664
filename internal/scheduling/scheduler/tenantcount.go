package scheduler

import (
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/scheduling/placement"
	"gannetline/internal/scheduling/tenantcount"
)

// Counter sends a pool's calls to the leaders of the partitions of the tenant count. The answer callback runs on the pool's goroutine. Its
// argument is nil if no leader of the partition has decided.
type Counter interface {
	Ask(part int, call *wire.GrantCall, answer func(*wire.GrantAnswer))
}

// WithCounter makes a pool start runs only within its grants from tenants' limits, so that the limits hold over all pools. A pool without a
// counter assumes that it is the only one.
func WithCounter(counter Counter) Option { return func(p *Pool) { p.counter = counter } }

// openAccounts reads the pool's accounts of granted limits. Without a counter there are none.
func (p *Pool) openAccounts(leadership Leadership, pairs []wire.Op) {
	p.accounts = nil
	if p.counter == nil {
		return
	}
	accounts, err := tenantcount.NewAccounts(p.key, leadership.Epoch(), pairs)
	if err != nil {
		p.log.Error(err, "unreadable record", "key", p.key)
	}
	p.accounts = accounts
	for _, name := range accounts.Tenants() {
		p.tenantOf(name).terms.Limit = limitFromBalance(accounts.Balance(name))
	}
}

// limitFromBalance returns the limit of a tenant that is no longer in the configuration. It is what the pool was granted while the tenant
// was in it. A resource without a grant was not counted and is unlimited.
func limitFromBalance(balance placement.Resources) placement.Resources {
	for _, field := range []*int64{&balance.CPU, &balance.Memory, &balance.GPU} {
		if *field == 0 {
			*field = placement.Unlimited
		}
	}
	return balance
}

// tickTenantGrants returns grants that the pool should not keep, and asks for those that it needs.
func (p *Pool) tickTenantGrants(now time.Duration) {
	p.updateTerms()
	if p.accounts == nil {
		return
	}
	policy := p.countPolicy()
	p.chooseNextWork(now)
	demands := p.tenantDemands()
	for name, demand := range demands {
		if lowered := p.accounts.Lower(name, demand); lowered != nil {
			p.commitAccounts(*lowered)
		}
	}
	for part := range tenantcount.Parts {
		if call := p.accounts.Next(part, demands, policy, now); call != nil {
			p.askPart(part, call)
		}
	}
}

// countPolicy is the policy of the accounts under the configuration that the tenants' terms come from.
func (p *Pool) countPolicy() tenantcount.Policy {
	return tenantcount.Policy{Version: p.tenants.version, IsShared: p.tenants.hasOtherPools}
}

// tenantDemands returns the use and the demand of each tenant that has a limit or granted capacity.
func (p *Pool) tenantDemands() map[string]tenantcount.Demand {
	demands := make(map[string]tenantcount.Demand, len(p.tenants.byIndex))
	for _, tenant := range p.tenants.byIndex[1:] {
		if tenant.terms.Limit == placement.NoLimit && p.accounts.Balance(tenant.name) == (placement.Resources{}) {
			continue
		}
		used := tenant.allocated.resources
		wants := used.Plus(p.open.first.tenantDemand[tenant.index].resources).Plus(p.open.speculative.tenantDemand[tenant.index].resources)
		demands[tenant.name] = tenantcount.Demand{Used: used, Wants: wants, Limit: tenant.terms.Limit, Lasting: tenant.lastingAllocated.resources, NextNeed: tenant.nextWork.need}
	}
	return demands
}

// askPart calls the leader of a partition. The answer counts only under this leadership, since the next leader has accounts of its own.
func (p *Pool) askPart(part int, call *wire.GrantCall) {
	accounts := p.accounts
	p.counter.Ask(part, call, func(answer *wire.GrantAnswer) {
		if p.accounts == accounts && p.IsOpen() {
			p.commitAccounts(accounts.HandleAnswer(part, call.Number, answer, p.clock.Monotonic())...)
		}
	})
}

// commitAccounts writes changed accounts. Additional grants may be used once this is committed.
func (p *Pool) commitAccounts(changes ...tenantcount.Change) {
	if len(changes) == 0 {
		return
	}
	accounts := p.accounts
	for _, change := range changes {
		p.record(change.Op, nil)
	}
	p.afterCommit(func(err error) {
		if err != nil {
			return
		}
		for _, change := range changes {
			accounts.HandleCommit(change.Tenant)
		}
		p.needsPlacing = true
	})
}

// Tenants answers an operator with the running, allowed and pending resources of each tenant in this pool.
func (p *Pool) Tenants(_ *wire.ClientCall, answer answerClient) {
	p.answerWithReport(answer, &wire.TenantCountReport{Key: p.key, Version: p.tenants.version, Tenants: p.tenantUsage()})
}

// tenantUsage returns a row for each tenant, in the order in which the pool first saw them.
func (p *Pool) tenantUsage() []wire.TenantUsage {
	waitingJobs := map[*tenantState]int{}
	for _, job := range p.jobs {
		if job.shownState() == jobQueued {
			waitingJobs[job.tenant]++
		}
	}
	totalWeight := p.activeWeight()
	rows := make([]wire.TenantUsage, 0, len(p.tenants.byIndex))
	for _, tenant := range p.tenants.byIndex[1:] {
		running, waiting := tenantcount.CapacityOf(tenant.allocated.resources), tenantcount.CapacityOf(p.open.first.tenantDemand[tenant.index].resources)
		allowance, _ := p.limitOf(tenant)
		shown := tenantcount.CapacityOf(tenantcount.ShownLimit(allowance))
		row := wire.TenantUsage{Tenant: tenant.name, Weight: tenant.terms.Weight, Running: &running, Runs: tenant.allocated.count, Waiting: &waiting,
			WaitingJobs: waitingJobs[tenant], Surplus: tenant.surplusJobs, Allowance: &shown}
		if tenant.hasWork() {
			row.Share = tenant.terms.Weight / totalWeight
		}
		rows = append(rows, row)
	}
	return rows
}
