package countmodel

import (
	"fmt"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/scheduling/placement"
	"gannetline/internal/scheduling/tenantcount"
	"gannetline/internal/simulation/modelcheck/simkey"
)

// ticksPerCheck is how often the accounts are looked at beside the moments at which they change.
const ticksPerCheck = 10

// runPrefix begins the records of runs: r/TENANT/NUMBER.
const runPrefix = "r/"

// modelPool is a pool: its key, its present leader, and what its executors run.
type modelPool struct {
	cluster *simCluster
	number  int
	key     *simkey.Key
	version int
	// demand is how many tasks of each tenant it wants to run at once.
	demand map[string]int
	// accounts is nil while nobody leads; used counts the leader's runs, the ones that are being committed too.
	accounts *tenantcount.Accounts
	used     map[string]int
	nextRun  int
	ticks    int
	// executing are the runs at executors, which outlive leaders; running names them.
	executing map[string]int
	running   map[string]bool
}

func newModelPool(cluster *simCluster, number int) *modelPool {
	return &modelPool{cluster: cluster, number: number, key: simkey.New(cluster.queue, cluster.coverage), demand: map[string]int{}, executing: map[string]int{}, running: map[string]bool{}}
}

// open makes a leader from what is committed. Runs whose order never left start now.
func (p *modelPool) open() {
	accounts, err := tenantcount.NewAccounts(p.name(), p.key.Epoch, p.key.Pairs(tenantcount.AccountPrefix))
	if err != nil {
		p.cluster.violate("RECORD", "%v", err)
		return
	}
	p.accounts, p.used = accounts, map[string]int{}
	for _, pair := range p.key.Pairs(runPrefix) {
		tenant := pair.Name[len(runPrefix) : len(runPrefix)+1]
		p.used[tenant]++
		if !p.running[pair.Name] {
			p.launch(pair.Name, tenant)
		}
	}
}

func (p *modelPool) name() string { return fmt.Sprintf("pool/%d", p.number) }

// kill ends the leadership; another leader follows after a while.
func (p *modelPool) kill() {
	if p.accounts == nil {
		return
	}
	p.accounts = nil
	p.key.EndEpoch()
	p.cluster.queue.After(p.cluster.between(100, 1500), p.open)
}

func (p *modelPool) tickForEver() {
	if p.accounts != nil {
		p.tick()
	}
	if p.ticks++; p.ticks%ticksPerCheck == 0 {
		p.cluster.checkAccounts(p)
	}
	p.cluster.queue.After(tickInterval, p.tickForEver)
}

func (p *modelPool) policy() tenantcount.Policy {
	return tenantcount.Policy{Version: int64(p.version), IsShared: len(p.cluster.pools) > 1}
}

// tick gives back, asks, and starts what may start, as the real pool does.
func (p *modelPool) tick() {
	demands := map[string]tenantcount.Demand{}
	for _, tenant := range tenants {
		demands[tenant] = tenantcount.Demand{Used: tasks(p.used[tenant]), Wants: tasks(max(p.used[tenant], p.demand[tenant])), Limit: p.cluster.limitOf(p.version, tenant)}
		if lowered := p.accounts.Lower(tenant, demands[tenant]); lowered != nil {
			p.commitAccounts(*lowered)
		}
	}
	for part := range partCount {
		if call := p.accounts.Next(part, demands, p.policy(), p.cluster.queue.Now()); call != nil {
			p.ask(part, call)
		}
	}
	for _, tenant := range tenants {
		p.startAll(tenant)
	}
}

// ask sends a call; without an answer it is given up after a second, as in the real pool.
func (p *modelPool) ask(part int, call *wire.GrantCall) {
	accounts, cluster := p.accounts, p.cluster
	cluster.coverage["call"]++
	take := func(answer *wire.GrantAnswer) {
		if p.accounts == accounts {
			p.commitAccounts(accounts.HandleAnswer(part, call.Number, answer, cluster.queue.Now())...)
		}
	}
	cluster.send(p.number, part, func() {
		cluster.parts[part].take(call, func(answer wire.GrantAnswer) {
			cluster.send(p.number, part, func() { p.deliver(part, call, answer, take) })
		})
	})
	cluster.queue.After(cluster.between(1000, 1000), func() { take(nil) })
}

func (p *modelPool) deliver(part int, call *wire.GrantCall, answer wire.GrantAnswer, take func(*wire.GrantAnswer)) {
	if p.cluster.fault == faultLateAnswer && p.accounts != nil {
		// The answer counts for whatever call is under way.
		for number := call.Number; number < call.Number+20; number++ {
			p.commitAccounts(p.accounts.HandleAnswer(part, number, &answer, p.cluster.queue.Now())...)
		}
		return
	}
	take(&answer)
}

func (p *modelPool) commitAccounts(changes ...tenantcount.Change) {
	for _, change := range changes {
		accounts := p.accounts
		if p.cluster.fault == faultRaiseBeforeCommit {
			accounts.HandleCommit(change.Tenant)
		}
		if p.cluster.fault == faultLowerNotCommitted && isLower(p.key.Records[change.Op.Name], change.Op.Value) {
			accounts.HandleCommit(change.Tenant)
			continue
		}
		p.key.Propose([]wire.Op{change.Op}, func(error) {
			accounts.HandleCommit(change.Tenant)
			p.cluster.checkAccounts(p)
		})
	}
	if len(changes) > 0 {
		p.cluster.checkAccounts(p)
	}
}

// isLower tells whether a record of an account holds less than another one; the shorter text of two numbers is the lower one.
func isLower(before, after []byte) bool {
	return len(after) < len(before) || len(after) == len(before) && string(after) < string(before)
}

// startAll starts what is wanted of a tenant and allowed.
func (p *modelPool) startAll(tenant string) {
	for p.used[tenant] < p.demand[tenant] && p.admits(tenant) {
		p.start(tenant)
	}
}

func (p *modelPool) admits(tenant string) bool {
	policy := p.policy()
	if p.cluster.fault == faultStartUnsettled {
		policy = tenantcount.Policy{}
	}
	allowance, _ := p.accounts.Allowance(tenant, policy)
	limit := p.cluster.limitOf(p.version, tenant)
	limit.CPU = min(limit.CPU, allowance.CPU)
	// All tasks fit the limits, so that no run may reach beyond one here.
	state := placement.Tenant{Allocated: tasks(p.used[tenant]), Limit: limit}
	return state.Admits(tasks(1), 1)
}

// start commits a run, and has it begin at an executor after that.
func (p *modelPool) start(tenant string) {
	p.nextRun++
	name := fmt.Sprintf("%s%s/%d", runPrefix, tenant, p.nextRun)
	p.used[tenant]++
	accounts := p.accounts
	p.key.Propose([]wire.Op{{Name: name, Value: []byte{1}}}, func(error) {
		if p.accounts == accounts {
			p.launch(name, tenant)
		}
	})
}

// launch has the executor begin a run a moment later, and end it after a while.
func (p *modelPool) launch(name, tenant string) {
	p.running[name] = true
	p.cluster.queue.After(p.cluster.between(1, 40), func() {
		p.cluster.coverage["start"]++
		p.executing[tenant]++
		p.cluster.note("pool %d starts %s", p.number, name)
		p.cluster.checkStart(tenant)
		p.cluster.queue.After(p.cluster.between(50, 900), func() {
			p.executing[tenant]--
			p.reportEnd(name, tenant)
		})
	})
}

// reportEnd tells the leader of an end, again until it is committed.
func (p *modelPool) reportEnd(name, tenant string) {
	if p.key.Records[name] == nil {
		return
	}
	if p.accounts == nil {
		p.cluster.queue.After(tickInterval, func() { p.reportEnd(name, tenant) })
		return
	}
	p.used[tenant]--
	p.key.Propose([]wire.Op{{Name: name}}, func(error) {})
	// The leader may be killed before the commit: the next one counts the run again and is told again.
	epoch := p.key.Epoch
	p.cluster.queue.After(tickInterval, func() {
		if p.key.Epoch != epoch {
			p.reportEnd(name, tenant)
		}
	})
}
