package tenantcount

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"
	"github.com/mailru/easyjson"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/scheduling/placement"
)

const (
	// AccountPrefix is the prefix of the names of a pool's account records. The rest of the name is the tenant.
	AccountPrefix = "a/"
	// raiseInterval is how long a pool waits after a call for a tenant before the next one, if the answer granted too little or did not
	// confirm the grants under the pool's configuration.
	raiseInterval = 100 * time.Millisecond
	// batchInterval is the least time between an answer and the next call to a partition, so that one call carries the demand of many tenants.
	batchInterval = 20 * time.Millisecond
	// pollInterval is how often a pool that shares its tenants with others asks how much it should give back, and reports a changed demand.
	pollInterval = 500 * time.Millisecond
	// retryInterval is the pause after a call without an answer.
	retryInterval = 200 * time.Millisecond
)

// Policy holds the version of the configuration that the pool uses, and whether other pools may start runs of the same tenants.
type Policy struct {
	Version  int64
	IsShared bool
}

// Demand is a pool's current demand for one tenant: Used is what its runs use, Wants includes its waiting tasks, and Limit is the
// tenant's limit in the configuration that the pool uses.
type Demand struct {
	Used, Wants, Limit placement.Resources
	// Lasting is the part of Used that is used by runs which don't end by themselves. NextNeed is what the work that has waited longest needs
	// at once: a task, or all members of a gang. It is zero if no work waits that there is room for. Both matter only if pools share tenants.
	Lasting, NextNeed placement.Resources
}

// wanted returns the demand capped by the limit, in the resources that have a limit.
func (d Demand) wanted() placement.Resources { return onlyLimited(d.Wants.Min(d.Limit), d.Limit) }

// Accounts is the pool's side of the escrow: its accounts, and its calls to the partitions. The leader of a pool creates it at the start of
// its leadership. It must be used from one goroutine, and has no clock and no network access.
type Accounts struct {
	asker string
	epoch uint64
	// number is the number of the last call.
	number   uint64
	byTenant map[string]*account
	parts    [Parts]partCalls
}

// partCalls is the state of the calls to one partition, of which at most one is in flight.
type partCalls struct {
	// number is the number of the call in flight, 0 if there is none.
	number uint64
	// isPoll means that the call in flight names no tenants and asks only which grants are above their targets.
	isPoll bool
	// nextAt is the earliest time of the next call, and nextPollAt the time at which one is due even without demand.
	nextAt, nextPollAt time.Duration
}

// NewAccounts creates the accounts of a pool for one epoch from the pool's committed records. It always returns usable accounts. An error
// names the last record that can't be read. Such a record counts as an empty account, so that the first call for its tenant returns the
// grant to the partition.
func NewAccounts(asker string, epoch uint64, pairs []wire.Op) (*Accounts, error) {
	accounts := &Accounts{asker: asker, epoch: epoch, byTenant: map[string]*account{}}
	var unreadable error
	for _, pair := range pairs {
		var record accountRecord
		if err := easyjson.Unmarshal(pair.Value, &record); err != nil {
			unreadable = errors.Annotatef(err, "reading %s from disk", pair.Name)
			continue
		}
		amount := record.Amount.resources()
		accounts.byTenant[pair.Name[len(AccountPrefix):]] = &account{spendable: amount, claimed: amount, hasWholeLimit: record.HasWholeLimit, target: amount}
	}
	return accounts, unreadable
}

// Allowance returns how much of a tenant's limit the pool may use, and whether that is the whole limit, so that one run may exceed it.
// If pools share their tenants, the allowance is zero until the partition has confirmed under the pool's configuration, or a later one, that
// all grants are within the limit. Other pools may have been granted more under an earlier version that this pool has never seen.
func (a *Accounts) Allowance(tenant string, policy Policy) (allowance placement.Resources, hasWholeLimit bool) {
	account := a.byTenant[tenant]
	if account == nil || policy.IsShared && (account.version < policy.Version || !account.isSettled) {
		return placement.Resources{}, false
	}
	return account.allowance(), account.hasWholeLimit && !account.isAboveTarget
}

// Balance returns the amount in the pool's account of a tenant, including what Allowance does not allow now.
func (a *Accounts) Balance(tenant string) placement.Resources {
	if account := a.byTenant[tenant]; account != nil {
		return account.spendable
	}
	return placement.Resources{}
}

// Turn returns the pool's current turn for a tenant, in which it should reserve its allowance for the work that has waited longest. It is 0
// if the pool has no turn or has finished it.
func (a *Accounts) Turn(tenant string) uint64 {
	if account := a.byTenant[tenant]; account != nil && account.hasTurn() {
		return account.turn
	}
	return 0
}

// FinishTurn must be called when the pool has started work for which it had a turn, or larger work.
func (a *Accounts) FinishTurn(tenant string) {
	if account := a.byTenant[tenant]; account != nil {
		account.finishedTurn = account.turn
	}
}

// Tenants returns the tenants that have an account, sorted by name.
func (a *Accounts) Tenants() []string { return slices.Sorted(maps.Keys(a.byTenant)) }

// accountOf returns the account of a tenant, and creates it if there is none.
func (a *Accounts) accountOf(tenant string) *account {
	if a.byTenant[tenant] == nil {
		a.byTenant[tenant] = &account{}
	}
	return a.byTenant[tenant]
}

// Lower starts to return the surplus of a tenant's account to the partition: what is above the partition's target or above the limit of the
// configuration, but not what runs use. It returns nil if there is nothing to commit.
func (a *Accounts) Lower(tenant string, demand Demand) *Change {
	account := a.accountOf(tenant)
	keep := account.claimed.Min(demand.Limit)
	if account.isAboveTarget {
		keep = keep.Min(account.target)
	}
	lowered := account.claimed.Min(keep.Max(demand.Used))
	if lowered == account.claimed {
		return nil
	}
	return account.beginChange(tenant, lowered, false)
}

// Next returns the next call to a partition, with the demand of all tenants that need a call, or nil if no call is due.
func (a *Accounts) Next(part int, demands map[string]Demand, policy Policy, now time.Duration) *wire.GrantCall {
	calls := &a.parts[part]
	if calls.number != 0 || now < calls.nextAt {
		return nil
	}
	var asked []wire.TenantDemand
	for tenant, demand := range demands {
		if PartOf(tenant) != part {
			continue
		}
		account := a.accountOf(tenant)
		if !account.needsCall(demand, policy, now) {
			continue
		}
		account.lastCallAt, account.knownGrant, account.sentWants = now, account.claimed, demand.wanted()
		account.sentNextNeed, account.sentFinishedTurn = demand.NextNeed, account.finishedTurn
		account.sentMayOvershoot, account.isRecalled = account.hasWholeLimit, false
		account.isUnanswered = true
		asked = append(asked, wire.TenantDemand{Tenant: tenant, Has: CapacityOf(account.claimed), Used: CapacityOf(demand.Used), Wants: CapacityOf(demand.Wants),
			Lasting: optionalCapacity(demand.Lasting), NextNeed: optionalCapacity(demand.NextNeed), FinishedTurn: account.finishedTurn,
			MayOvershoot: account.hasWholeLimit})
	}
	if len(asked) == 0 && !(policy.IsShared && now >= calls.nextPollAt) {
		return nil
	}
	slices.SortFunc(asked, func(a, b wire.TenantDemand) int { return cmp.Compare(a.Tenant, b.Tenant) })
	a.number++
	calls.number, calls.isPoll, calls.nextPollAt = a.number, len(asked) == 0, now+pollInterval
	return &wire.GrantCall{Asker: a.asker, Epoch: a.epoch, Number: a.number, Tenants: asked}
}

// needsCall reports whether the partition must be called for this account. A call is needed if one of these holds:
//
//   - The partition has not answered during this leadership, or not under this configuration.
//   - The demand is above the allowance.
//   - The partition's grant differs from the claimed amount.
//   - Pools share the limit, and the demand has changed since the last call or the grants are above the limit.
//   - Pools share the limit, and the pool has finished a turn or waits for other work than in the last call.
//   - Pools share the limit, and the last poll has named the tenant, or the pool may no longer exceed the limit.
//   - Pools share the limit, and the last call was not answered.
//
// No call is made while a change of the account is being committed, because the call would be wrong if the commit failed.
func (a *account) needsCall(demand Demand, policy Policy, now time.Duration) bool {
	if a.pending != nil {
		return false
	}
	canWait := now-a.lastCallAt < raiseInterval && a.isAnswered
	isStarved := !a.allowance().Fits(demand.wanted()) || policy.IsShared && a.needsMoreForNext(demand)
	if policy.IsShared && now-a.lastCallAt >= pollInterval && a.sentWants != demand.wanted() {
		return true
	}
	if policy.IsShared && (a.isUnanswered || a.isRecalled || a.sentMayOvershoot && !a.hasWholeLimit) {
		return true
	}
	if policy.IsShared && (a.sentFinishedTurn != a.finishedTurn || !canWait && a.sentNextNeed != demand.NextNeed) {
		return true
	}
	return !a.isAnswered || a.knownGrant != a.claimed || !canWait && (a.version < policy.Version || isStarved || policy.IsShared && !a.isSettled)
}

// needsMoreForNext reports whether the pool has a turn, or could hold more of the limit and can't start the work that has waited longest.
func (a *account) needsMoreForNext(demand Demand) bool {
	if demand.NextNeed == (placement.Resources{}) {
		return false
	}
	hasWholeLimit := a.hasWholeLimit && !a.isAboveTarget
	if a.hasTurn() {
		return true
	}
	if canStart(demand.NextNeed, demand.Used, a.allowance(), demand.Limit, hasWholeLimit) {
		return false
	}
	isAboveLimit := !demand.Limit.Fits(demand.NextNeed)
	return !a.allowance().Fits(onlyLimited(demand.Limit, demand.Limit)) || isAboveLimit && !hasWholeLimit
}

// HandleAnswer handles the answer to a call to a partition; answer is nil if the call failed. It returns the changes that must be committed.
// Answers to earlier calls are ignored. The answer to a poll never raises an account, because the grant that it reports may not be durable
// yet.
func (a *Accounts) HandleAnswer(part int, number uint64, answer *wire.GrantAnswer, now time.Duration) []Change {
	calls := &a.parts[part]
	if calls.number != number {
		return nil
	}
	calls.number, calls.nextAt = 0, now+batchInterval
	if answer == nil {
		calls.nextAt = now + retryInterval
		return nil
	}
	var changes []Change
	for _, given := range answer.Tenants {
		if !calls.isPoll {
			a.accountOf(given.Tenant).isUnanswered = false
		}
		if calls.isPoll {
			given.Granted = CapacityOf(resourcesOf(given.Granted).Min(a.accountOf(given.Tenant).claimed))
			given.Turn = a.accountOf(given.Tenant).turn
			a.accountOf(given.Tenant).isRecalled = true
		}
		if change := a.applyGrant(given, answer.Version); change != nil {
			changes = append(changes, *change)
		}
	}
	return changes
}

// applyGrant applies a partition's decision on one tenant. It returns nil if there is nothing to commit.
func (a *Accounts) applyGrant(given wire.TenantGrant, version int64) *Change {
	account, granted := a.accountOf(given.Tenant), resourcesOf(given.Granted)
	account.target, account.knownGrant, account.turn = resourcesOf(given.Target), granted, given.Turn
	account.isAboveTarget = !account.target.Fits(granted)
	account.version, account.isAnswered, account.isSettled = max(account.version, version), true, given.IsSettled
	if account.pending != nil {
		return nil
	}
	return account.beginChange(given.Tenant, granted, given.HasWholeLimit)
}

// HandleCommit must be called when the change of a tenant's account is durable.
func (a *Accounts) HandleCommit(tenant string) {
	if account := a.byTenant[tenant]; account != nil {
		account.finishChange()
	}
}
