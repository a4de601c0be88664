package countmodel

import (
	"fmt"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/scheduling/placement"
	"gannetline/internal/scheduling/tenantcount"
	"gannetline/internal/simulation/modelcheck/simkey"
)

// ticksPerCheck is the number of ticks between checks of the accounts, in addition to the checks at each change.
const ticksPerCheck = 10

// runPrefix is the prefix of the records of runs: r/TENANT/NUMBER.
const runPrefix = "r/"

// modelPool is a pool: its key, its current leader, and the runs of its executors.
type modelPool struct {
	cluster *simCluster
	number  int
	key     *simkey.Key
	version int
	// demand is how many tasks of each tenant the pool wants to run at the same time.
	demand map[string]int
	// accounts is nil while there is no leader. used counts the leader's runs per tenant, including those being committed.
	accounts *tenantcount.Accounts
	used     map[string]int
	nextRun  int
	ticks    int
	// executing counts the runs at executors per tenant, which outlive leaders. running has the names of all runs sent to executors.
	executing map[string]int
	running   map[string]bool
}

func newModelPool(cluster *simCluster, number int) *modelPool {
	return &modelPool{cluster: cluster, number: number, key: simkey.New(cluster.queue, cluster.coverage), demand: map[string]int{}, executing: map[string]int{}, running: map[string]bool{}}
}

// open creates a leader from the committed records. Committed runs that were never sent to an executor start now.
func (p *modelPool) open() {
	accounts, err := tenantcount.NewAccounts(p.name(), p.key.Epoch, p.key.Pairs(tenantcount.AccountPrefix))
	if err != nil {
		p.cluster.reportViolation("RECORD", "%v", err)
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

// endLeadership kills the leader. Another one opens after 100 to 1500 ms.
func (p *modelPool) endLeadership() {
	if p.accounts == nil {
		return
	}
	p.accounts = nil
	p.key.EndEpoch()
	p.cluster.queue.After(p.cluster.drawDuration(100, 1500), p.open)
}

func (p *modelPool) tickRepeatedly() {
	if p.accounts != nil {
		p.tick()
	}
	if p.ticks++; p.ticks%ticksPerCheck == 0 {
		p.cluster.checkAccounts(p)
	}
	p.cluster.queue.After(tickInterval, p.tickRepeatedly)
}

func (p *modelPool) policy() tenantcount.Policy {
	return tenantcount.Policy{Version: int64(p.version), IsShared: len(p.cluster.pools) > 1}
}

// tick lowers accounts, calls the partitions and starts runs, as the real pool does.
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
			p.sendCall(part, call)
		}
	}
	for _, tenant := range tenants {
		p.startPending(tenant)
	}
}

// sendCall sends a call to a partition. It times out after a second, as in the real pool.
func (p *modelPool) sendCall(part int, call *wire.GrantCall) {
	accounts, cluster := p.accounts, p.cluster
	cluster.coverage["call"]++
	handleAnswer := func(answer *wire.GrantAnswer) {
		if p.accounts == accounts {
			p.commitAccounts(accounts.HandleAnswer(part, call.Number, answer, cluster.queue.Now())...)
		}
	}
	cluster.send(p.number, part, func() {
		cluster.parts[part].handleCall(call, func(answer wire.GrantAnswer) {
			cluster.send(p.number, part, func() { p.deliverAnswer(part, call, answer, handleAnswer) })
		})
	})
	cluster.queue.After(cluster.drawDuration(1000, 1000), func() { handleAnswer(nil) })
}

func (p *modelPool) deliverAnswer(part int, call *wire.GrantCall, answer wire.GrantAnswer, handleAnswer func(*wire.GrantAnswer)) {
	if p.cluster.fault == faultLateAnswer && p.accounts != nil {
		// The answer is accepted for whichever call is in flight.
		for number := call.Number; number < call.Number+20; number++ {
			p.commitAccounts(p.accounts.HandleAnswer(part, number, &answer, p.cluster.queue.Now())...)
		}
		return
	}
	handleAnswer(&answer)
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

// isLower reports whether an account's record holds less after a change than before. Of two decimal numbers the shorter text is the lower.
func isLower(before, after []byte) bool {
	return len(after) < len(before) || len(after) == len(before) && string(after) < string(before)
}

// startPending starts runs of a tenant as long as there is demand and the limits allow it.
func (p *modelPool) startPending(tenant string) {
	for p.used[tenant] < p.demand[tenant] && p.canStart(tenant) {
		p.start(tenant)
	}
}

func (p *modelPool) canStart(tenant string) bool {
	policy := p.policy()
	if p.cluster.fault == faultStartUnsettled {
		policy = tenantcount.Policy{}
	}
	allowance, _ := p.accounts.Allowance(tenant, policy)
	limit := p.cluster.limitOf(p.version, tenant)
	limit.CPU = min(limit.CPU, allowance.CPU)
	// Each task fits the limits, so no run may overshoot a limit here.
	state := placement.Tenant{Allocated: tasks(p.used[tenant]), Limit: limit}
	return state.Admits(tasks(1), 1)
}

// start commits a run and launches it after the commit.
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

// launch starts a run at an executor after 1 to 40 ms. The run ends 50 to 900 ms later.
func (p *modelPool) launch(name, tenant string) {
	p.running[name] = true
	p.cluster.queue.After(p.cluster.drawDuration(1, 40), func() {
		p.cluster.coverage["start"]++
		p.executing[tenant]++
		p.cluster.tracef("pool %d starts %s", p.number, name)
		p.cluster.checkStart(tenant)
		p.cluster.queue.After(p.cluster.drawDuration(50, 900), func() {
			p.executing[tenant]--
			p.reportEnd(name, tenant)
		})
	})
}

// reportEnd reports the end of a run to the leader, and repeats that until it is committed.
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
	// If the leader is killed before the commit, the next one counts the run again and needs the report too.
	epoch := p.key.Epoch
	p.cluster.queue.After(tickInterval, func() {
		if p.key.Epoch != epoch {
			p.reportEnd(name, tenant)
		}
	})
}
