package countmodel

import (
	"fmt"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/scheduling/placement"
	"gannetline/internal/scheduling/tenantcount"
	"gannetline/internal/simulation/modelcheck/simkey"
)

// ticksPerCheck is the number of ticks between two periodic checks of the accounts. The accounts are also checked at each change.
const ticksPerCheck = 10

// runPrefix is the prefix of the records of runs: r/TENANT/NUMBER.
const runPrefix = "r/"

// modelPool is a pool: its key, its current leader, and the runs of its executors.
type modelPool struct {
	cluster *simCluster
	number  int
	key     *simkey.Key
	// version is the newest version of the configuration that the pool has received.
	version int
	// demand is how many small tasks of each tenant the pool wants to run at the same time. largeSize is the size of a tenant's large tasks,
	// of which another one always waits, or 0 if it has none.
	demand    map[string]int
	largeSize map[string]int
	// accounts is nil while there is no leader. used is the total size of the leader's runs per tenant, including those being committed, and
	// smallRuns counts the small ones of them.
	accounts  *tenantcount.Accounts
	used      map[string]int
	smallRuns map[string]int
	// queues holds the waiting work of each tenant.
	queues  map[string]*workQueue
	nextRun int
	ticks   int
	// executing has the sizes of the runs at executors per tenant, by name. They continue when the leader is killed. launched has the names of
	// all runs that were sent to an executor, also of those that have ended.
	executing map[string]map[string]int
	launched  map[string]bool
}

func newModelPool(cluster *simCluster, number int) *modelPool {
	pool := &modelPool{cluster: cluster, number: number, key: simkey.New(cluster.queue, cluster.coverage), demand: map[string]int{}, largeSize: map[string]int{},
		queues: map[string]*workQueue{}, executing: map[string]map[string]int{}, launched: map[string]bool{}}
	for _, tenant := range tenants {
		pool.executing[tenant] = map[string]int{}
	}
	return pool
}

// open creates a leader from the committed records. It launches the committed runs that were never sent to an executor.
func (p *modelPool) open() {
	accounts, err := tenantcount.NewAccounts(p.name(), p.key.Epoch, p.key.Pairs(tenantcount.AccountPrefix))
	if err != nil {
		p.cluster.reportViolation("RECORD", "%v", err)
		return
	}
	p.accounts, p.used, p.smallRuns = accounts, map[string]int{}, map[string]int{}
	for _, tenant := range tenants {
		p.queues[tenant] = newWorkQueue(p.cluster.queue.Now())
	}
	for _, pair := range p.key.Pairs(runPrefix) {
		tenant := pair.Name[len(runPrefix) : len(runPrefix)+1]
		p.countRun(tenant, int(pair.Value[0]), 1)
		if !p.launched[pair.Name] {
			p.launch(pair.Name, tenant, int(pair.Value[0]))
		}
	}
}

// countRun adds a run of a size to the leader's runs, or removes it if count is negative.
func (p *modelPool) countRun(tenant string, size, count int) {
	p.used[tenant] += size * count
	if size == smallSize {
		p.smallRuns[tenant] += count
	}
}

func (p *modelPool) name() string { return fmt.Sprintf("pool/%d", p.number) }

// endLeadership kills the leader. The next one opens after 100 to 1500 ms.
func (p *modelPool) endLeadership() {
	if p.accounts == nil {
		return
	}
	p.accounts = nil
	p.key.EndEpoch()
	p.cluster.queue.After(p.cluster.drawDuration(100, 1500), p.open)
}

// tickRepeatedly runs a tick every tickInterval while there is a leader, and checks the accounts every ticksPerCheck ticks.
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
		demands[tenant] = p.demandOf(tenant)
		if lowered := p.accounts.Lower(tenant, demands[tenant]); lowered != nil {
			p.commitAccounts(*lowered)
		}
	}
	for part := range partCount {
		if call := p.accounts.Next(part, demands, p.policy(), p.cluster.queue.Now()); call != nil {
			p.applyCallFaults(call)
			p.sendCall(part, call)
		}
	}
	for _, tenant := range tenants {
		p.startPending(tenant)
	}
}

// demandOf returns the pool's demand for a tenant, and chooses its next work.
func (p *modelPool) demandOf(tenant string) tenantcount.Demand {
	work := p.queues[tenant]
	work.choose(p.hasWaiting(tenant, smallSize), p.largeSize[tenant], p.accounts.Turn(tenant), p.cluster.queue.Now())
	wants := p.used[tenant] + max(0, p.demand[tenant]-p.smallRuns[tenant]) + p.largeSize[tenant]
	return tenantcount.Demand{Used: tasks(p.used[tenant]), Wants: tasks(wants), Limit: p.cluster.limitOf(p.version, tenant), NextNeed: tasks(work.nextSize)}
}

// hasWaiting reports whether a task of a size waits.
func (p *modelPool) hasWaiting(tenant string, size int) bool {
	if size == smallSize {
		return p.smallRuns[tenant] < p.demand[tenant]
	}
	return size == p.largeSize[tenant]
}

// applyCallFaults implements the injected faults that leave something out of a call.
func (p *modelPool) applyCallFaults(call *wire.GrantCall) {
	for index := range call.Tenants {
		switch p.cluster.fault {
		case faultNoTurns:
			call.Tenants[index].NextNeed = nil
		case faultTurnKept:
			call.Tenants[index].FinishedTurn = 0
		}
	}
}

// sendCall sends a call to a partition. The call times out after a second, as in the real pool.
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

// deliverAnswer passes an answer to the accounts. With faultLateAnswer they accept it for any call that is in flight.
func (p *modelPool) deliverAnswer(part int, call *wire.GrantCall, answer wire.GrantAnswer, handleAnswer func(*wire.GrantAnswer)) {
	if p.cluster.fault == faultLateAnswer && p.accounts != nil {
		// The number of the call in flight is not known here, so the next 20 numbers are tried.
		for number := call.Number; number < call.Number+20; number++ {
			p.commitAccounts(p.accounts.HandleAnswer(part, number, &answer, p.cluster.queue.Now())...)
		}
		return
	}
	handleAnswer(&answer)
}

// commitAccounts proposes changes of accounts and applies each after its commit.
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

// isLower reports whether a change lowers the amount in an account's record. It compares the records as text: the shorter one has the
// lower number, and of two equally long ones the one that sorts first.
func isLower(before, after []byte) bool {
	return len(after) < len(before) || len(after) == len(before) && string(after) < string(before)
}

// startPending starts runs of a tenant as long as tasks wait and the limits allow it. Small tasks go first.
func (p *modelPool) startPending(tenant string) {
	for _, size := range []int{smallSize, p.largeSize[tenant]} {
		for size > 0 && p.hasWaiting(tenant, size) && p.canStart(tenant, size) {
			p.start(tenant, size)
		}
	}
}

func (p *modelPool) canStart(tenant string, size int) bool {
	policy := p.policy()
	if p.cluster.fault == faultStartUnsettled {
		policy = tenantcount.Policy{}
	}
	allowance, hasWholeLimit := p.accounts.Allowance(tenant, policy)
	limit := p.cluster.limitOf(p.version, tenant)
	limit.CPU = min(limit.CPU, allowance.CPU)
	state := placement.Tenant{Allocated: tasks(p.used[tenant]), Limit: limit, MayOvershoot: hasWholeLimit}
	if p.policy().IsShared {
		state.Reserved = tasks(p.queues[tenant].reservedSize(limit, hasWholeLimit, p.accounts.Turn(tenant), p.cluster.queue.Now()))
	}
	return state.Admits(tasks(size), 1)
}

// start proposes a run and launches it after the commit, if the same leader is still there.
func (p *modelPool) start(tenant string, size int) {
	p.nextRun++
	name := fmt.Sprintf("%s%s/%d", runPrefix, tenant, p.nextRun)
	p.countRun(tenant, size, 1)
	accounts := p.accounts
	if p.queues[tenant].noteLaunch(size, p.cluster.queue.Now()) {
		accounts.FinishTurn(tenant)
	}
	p.key.Propose([]wire.Op{{Name: name, Value: []byte{byte(size)}}}, func(error) {
		if p.accounts == accounts {
			p.launch(name, tenant, size)
		}
	})
}

// launch sends a run to an executor, which starts it after 1 to 40 ms. The run ends 50 to 900 ms later.
func (p *modelPool) launch(name, tenant string, size int) {
	p.launched[name] = true
	p.cluster.queue.After(p.cluster.drawDuration(1, 40), func() {
		p.cluster.coverage["start"]++
		p.executing[tenant][name] = size
		p.cluster.waits.noteStart(p, tenant, size)
		p.cluster.tracef("pool %d starts %s", p.number, name)
		p.cluster.checkStart(tenant)
		p.cluster.queue.After(p.cluster.drawDuration(50, 900), func() {
			delete(p.executing[tenant], name)
			p.reportEnd(name, tenant, size)
		})
	})
}

// reportEnd reports the end of a run to the leader, as soon as there is one. The report is repeated if the leadership ends before the
// commit.
func (p *modelPool) reportEnd(name, tenant string, size int) {
	if p.key.Records[name] == nil {
		return
	}
	if p.accounts == nil {
		p.cluster.queue.After(tickInterval, func() { p.reportEnd(name, tenant, size) })
		return
	}
	p.countRun(tenant, size, -1)
	p.key.Propose([]wire.Op{{Name: name}}, func(error) {})
	// If the leader is killed before the commit, the next one counts the run again and needs the report too.
	epoch := p.key.Epoch
	p.cluster.queue.After(tickInterval, func() {
		if p.key.Epoch != epoch {
			p.reportEnd(name, tenant, size)
		}
	})
}
