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
	// AccountPrefix begins the names of a pool's records of its accounts; the rest is the tenant.
	AccountPrefix = "a/"
	// raiseInterval is how long a pool waits until it asks again for what it was not given.
	raiseInterval = 100 * time.Millisecond
	// batchInterval is the least time between two calls to a part, so that one call brings what came meanwhile of many tenants.
	batchInterval = 20 * time.Millisecond
	// pollInterval is how often a pool that shares its tenants with others asks what it should give back.
	pollInterval = 500 * time.Millisecond
	// unansweredInterval is the pause after a call that nobody answered.
	unansweredInterval = 200 * time.Millisecond
)

// Policy is what the pool knows of the configuration: its version, and whether other pools may start runs of the same tenants.
type Policy struct {
	Version  int64
	IsShared bool
}

// Demand is what a pool needs of a tenant now. Limit is that of the configuration which the pool knows.
type Demand struct{ Used, Wants, Limit placement.Resources }

// wanted is what of the demand the limit allows, in the resources that have one.
func (d Demand) wanted() placement.Resources { return bounded(d.Wants.Min(d.Limit), d.Limit) }

// Accounts is the half of the escrow that the leader of a pool keeps: its accounts, and its calls to the parts. It is made anew with each
// leadership. One goroutine calls it; it knows neither clock nor network.
type Accounts struct {
	asker    string
	epoch    uint64
	number   uint64
	byTenant map[string]*account
	parts    [Parts]partCalls
}

// partCalls are the calls to one part, of which at most one is under way.
type partCalls struct {
	// number is that of the call under way, 0 if there is none.
	number uint64
	// isPoll tells that the call under way asks for no allowance.
	isPoll bool
	// nextAt is when the next call may be made, and nextPollAt when it is due even without a demand.
	nextAt, nextPollAt time.Duration
}

// NewAccounts makes the accounts of a pool under one epoch from the pool's committed records. A record that can't be read counts as an
// account of nothing and is named by the error: what was granted for it comes back to the part with the first call.
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

// Allowance is what the pool may use of a tenant's limit, and whether that is all of it, so that one run may reach beyond. Where pools
// share their tenants it is nothing until the part has answered under the configuration that the pool knows: others may have been
// granted more under one in between, which the pool has never seen.
func (a *Accounts) Allowance(tenant string, policy Policy) (allowance placement.Resources, hasWholeLimit bool) {
	account := a.byTenant[tenant]
	if account == nil || policy.IsShared && (account.version < policy.Version || !account.isSettled) {
		return placement.Resources{}, false
	}
	return account.allowance(), account.hasWholeLimit && !account.isAboveTarget
}

// Balance is what the pool's account of a tenant holds, whether it may be used now or not.
func (a *Accounts) Balance(tenant string) placement.Resources {
	if account := a.byTenant[tenant]; account != nil {
		return account.spendable
	}
	return placement.Resources{}
}

// Tenants are those that have an account, in the order of their names.
func (a *Accounts) Tenants() []string { return slices.Sorted(maps.Keys(a.byTenant)) }

// accountOf gives the account of a tenant, and opens it with the first demand.
func (a *Accounts) accountOf(tenant string) *account {
	if a.byTenant[tenant] == nil {
		a.byTenant[tenant] = &account{}
	}
	return a.byTenant[tenant]
}

// Lower begins to give back what a tenant's account should not keep and its runs don't use: more than the part's target, or than the
// limit of the configuration. It returns nil if there is nothing to commit.
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
	return account.change(tenant, lowered, false)
}

// Next gives the call that is due to a part, nil if none is.
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
		if !account.isDue(demand, policy, now) {
			continue
		}
		account.askedAt, account.known, account.toldWants = now, account.claimed, demand.wanted()
		asked = append(asked, wire.TenantDemand{Tenant: tenant, Has: CapacityOf(account.claimed), Used: CapacityOf(demand.Used), Wants: CapacityOf(demand.Wants)})
	}
	if len(asked) == 0 && !(policy.IsShared && now >= calls.nextPollAt) {
		return nil
	}
	slices.SortFunc(asked, func(a, b wire.TenantDemand) int { return cmp.Compare(a.Tenant, b.Tenant) })
	a.number++
	calls.number, calls.isPoll, calls.nextPollAt = a.number, len(asked) == 0, now+pollInterval
	return &wire.GrantCall{Asker: a.asker, Epoch: a.epoch, Number: a.number, Tenants: asked}
}

// isDue tells whether the part has to be asked: it has not answered under this configuration, more is wanted than may be used, less is
// claimed than the part holds, or, where others share the limit, something else is wanted than the part was told. While a change of the
// account is being committed, what a call says might be undone.
func (a *account) isDue(demand Demand, policy Policy, now time.Duration) bool {
	if a.pending != nil {
		return false
	}
	canWait := now-a.askedAt < raiseInterval && a.isAnswered
	isStarved := !a.allowance().Fits(demand.wanted())
	if policy.IsShared && now-a.askedAt >= pollInterval && a.toldWants != demand.wanted() {
		return true
	}
	return !a.isAnswered || a.known != a.claimed || !canWait && (a.version < policy.Version || isStarved || policy.IsShared && !a.isSettled)
}

// Answered takes the answer to a call to a part, nil if none came. Only the answer to the call under way counts. That to a poll raises no
// account: the grant that it tells of may not be durable yet.
func (a *Accounts) Answered(part int, number uint64, answer *wire.GrantAnswer, now time.Duration) []Change {
	calls := &a.parts[part]
	if calls.number != number {
		return nil
	}
	calls.number, calls.nextAt = 0, now+batchInterval
	if answer == nil {
		calls.nextAt = now + unansweredInterval
		return nil
	}
	var changes []Change
	for _, given := range answer.Tenants {
		if calls.isPoll {
			given.Granted = CapacityOf(resourcesOf(given.Granted).Min(a.accountOf(given.Tenant).claimed))
		}
		if change := a.take(given, answer.Version); change != nil {
			changes = append(changes, *change)
		}
	}
	return changes
}

// take takes what a part decided for one tenant.
func (a *Accounts) take(given wire.TenantGrant, version int64) *Change {
	account, granted := a.accountOf(given.Tenant), resourcesOf(given.Granted)
	account.target, account.known = resourcesOf(given.Target), granted
	account.isAboveTarget = !account.target.Fits(granted)
	account.version, account.isAnswered, account.isSettled = max(account.version, version), true, given.IsSettled
	if account.pending != nil {
		return nil
	}
	return account.change(given.Tenant, granted, given.HasWholeLimit)
}

// Committed tells that the change of a tenant's account is durable.
func (a *Accounts) Committed(tenant string) {
	if account := a.byTenant[tenant]; account != nil {
		account.committed()
	}
}
