// Package tenantcount enforces the limits on what each tenant has running, summed over all pools. It is an escrow: each limit is divided
// into grants to pools. Tenants are hashed into a fixed number of partitions. A partition (Part) is a replicated key with a leader that
// decides on the grants of its tenants. The leader of a pool starts runs of a tenant only within its grant, which it keeps in an account
// (Accounts). One call carries the demand of many tenants, and one commit covers all its grants. While the account suffices, no start of a
// run waits for a partition.
//
// Both sides store their state durably. Two invariants hold at all times, also when messages are lost, delayed or duplicated:
//
//   - The grants of a tenant, summed over all pools, do not exceed its limit, or the highest limit that was in force when they were
//     granted. Each new configuration may lower a limit. So under a new configuration a pool that shares its tenants with others starts
//     no runs of a tenant until the partition has confirmed that the tenant's grants are within the limit.
//   - A pool uses no more than its account, and the account is no more than the partition's grant. A partition commits a raised grant
//     before it answers, and a pool commits a raised account before it uses it. A pool commits a lowered account before it reports the
//     lower amount, and a partition lowers a grant only to an amount that the pool has reported.
//
// A call states the most that the pool may use until the call is answered (Has). A delayed call must therefore not lower a grant that a
// later call has raised, and a delayed answer must not raise an account that a later call has reported as lower. So calls carry the epoch
// of the pool's leadership and an increasing number. The partition commits both with each grant that it raises, and rejects older calls. A
// pool ignores the answers to all calls but its last. A grant never expires: it is returned only by a call of the pool's leader, or of its
// successor, which finds the account among the pool's records.
package tenantcount

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/mailru/easyjson"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/scheduling/placement"
)

//go:generate go run github.com/mailru/easyjson/easyjson -all records.go

const (
	// Parts is the number of keys that the tenants are divided among. It must not change while any of them holds grants.
	Parts = 4
	// keyPrefix is the prefix of the partitions' keys.
	keyPrefix = "count/"
	// grantPrefix is the prefix of the names of a partition's grant records.
	grantPrefix = "g/"
	// idleAskerTimeout is how long after its last call an asker without a grant still counts when a limit is divided.
	idleAskerTimeout = 10 * time.Second
)

// KeyOf returns the key of a partition.
func KeyOf(part int) string { return keyPrefix + strconv.Itoa(part) }

// IsKey reports whether a key belongs to a partition.
func IsKey(key string) bool { return strings.HasPrefix(key, keyPrefix) }

// PartOf returns the partition that a tenant belongs to.
func PartOf(tenant string) int {
	hash := fnv.New32a()
	hash.Write([]byte(tenant))
	return int(hash.Sum32() % Parts)
}

// ErrStale rejects a call of a pool after a later call of that pool was answered.
const ErrStale = errors.ConstError("a later call of this pool was answered")

// Limits looks up the limit of a tenant, summed over all pools, in the current configuration. It returns false for an unknown tenant.
type Limits func(tenant string) (placement.Resources, bool)

// Part decides on the grants of one partition, for the partition's leader. It must be used from one goroutine, and has no clock
// and no network access.
type Part struct {
	// tenants holds the grants by tenant and asker. The asker is the key of a pool.
	tenants map[string]map[string]*grant
	// lastCalls holds the last known call of each asker: at the start of the leadership the last one that a grant record names, then the last
	// one that was handled.
	lastCalls map[string]callID
	// turns holds the current turn of each tenant that has one, and turnsBegun counts all turns of this leadership.
	turns      map[string]*turn
	turnsBegun int
}

// TurnsBegun returns the number of turns that began during this leadership.
func (p *Part) TurnsBegun() int { return p.turnsBegun }

// grant is the amount of a tenant's limit that is granted to one pool.
type grant struct {
	amount placement.Resources
	// raisedBy is the last call whose answer allowed the asker to use more than it had. The grant's record contains it, so that later leaders
	// also reject earlier calls.
	raisedBy callID
	// wants is the demand in the asker's last call, and lastCallAt the time of that call on the leader's clock. Before the first call of this
	// leadership, wants is amount and lastCallAt is the start of the leadership. isAssumed is set until that call.
	wants      placement.Resources
	lastCallAt time.Duration
	isAssumed  bool
	wait       waitState
	// mayOvershoot is set while the asker may exceed the limit with one task: it was told that it holds the whole limit, and has not called
	// since without that permission. It then may use more than amount, so nothing is granted to others. A new leader assumes it for the only
	// asker that holds a grant.
	mayOvershoot bool
	// permittedBy is the last call whose answer contained that permission.
	permittedBy callID
}

// callID identifies a call of a pool, and orders all calls of that pool.
type callID struct{ epoch, number uint64 }

func (c callID) compare(other callID) int {
	return cmp.Or(cmp.Compare(c.epoch, other.epoch), cmp.Compare(c.number, other.number))
}

// NewPart creates a partition from the committed records of its key. now is the time at which the leadership begins. An error names the
// record that can't be read.
func NewPart(pairs []wire.Op, now time.Duration) (*Part, error) {
	part := &Part{tenants: map[string]map[string]*grant{}, lastCalls: map[string]callID{}, turns: map[string]*turn{}}
	for _, pair := range pairs {
		if !strings.HasPrefix(pair.Name, grantPrefix) {
			continue
		}
		var record grantRecord
		if err := easyjson.Unmarshal(pair.Value, &record); err != nil {
			return nil, errors.Annotatef(err, "reading %s from disk", pair.Name)
		}
		amount := record.Amount.resources()
		id := callID{record.Epoch, record.Number}
		part.askersOf(record.Tenant)[record.Asker] = &grant{amount: amount, raisedBy: id, wants: amount, lastCallAt: now, isAssumed: true}
		if id.compare(part.lastCalls[record.Asker]) > 0 {
			part.lastCalls[record.Asker] = id
		}
	}
	for _, askers := range part.tenants {
		for _, only := range askers {
			only.mayOvershoot = len(askers) == 1
		}
	}
	return part, nil
}

// askersOf returns the grants of a tenant by asker. The map may be changed.
func (p *Part) askersOf(tenant string) map[string]*grant {
	if p.tenants[tenant] == nil {
		p.tenants[tenant] = map[string]*grant{}
	}
	return p.tenants[tenant]
}

// HandleCall decides on a call of a pool. It returns the answer, and the records that must be committed before the answer is sent. The only
// error is ErrStale. The grants in memory change before the commit. Commits are ordered, so a later decision that is based on these grants
// can't be committed without them.
func (p *Part) HandleCall(call *wire.GrantCall, limits Limits, now time.Duration) (wire.GrantAnswer, []wire.Op, error) {
	answer := wire.GrantAnswer{Number: call.Number}
	id := callID{call.Epoch, call.Number}
	order := id.compare(p.lastCalls[call.Asker])
	if order < 0 {
		return answer, nil, errors.Annotatef(ErrStale, "call %d of epoch %d by %s", call.Number, call.Epoch, call.Asker)
	}
	p.lastCalls[call.Asker] = id
	var ops []wire.Op
	for _, demand := range call.Tenants {
		given, op := p.decide(call.Asker, id, demand, limits, now)
		answer.Tenants = append(answer.Tenants, given)
		if op != nil {
			ops = append(ops, *op)
		}
	}
	if len(call.Tenants) == 0 {
		answer.Tenants = p.listRecalls(call.Asker, limits, now)
	}
	return answer, ops, nil
}

// decide updates an asker's grant of one tenant's limit. It returns the answer and the record of the grant, which is nil if nothing must be
// committed. If the answer allows the asker to use more than it has, the record is always returned, even if the call is a duplicate and the
// change is already being committed. Otherwise the answer to the duplicate would be sent before that commit.
func (p *Part) decide(asker string, id callID, demand wire.TenantDemand, limits Limits, now time.Duration) (wire.TenantGrant, *wire.Op) {
	askers := p.askersOf(demand.Tenant)
	granted := askers[asker]
	if granted == nil {
		granted = &grant{}
		askers[asker] = granted
	}
	amountBefore, raisedByBefore := granted.amount, granted.raisedBy
	granted.wants, granted.lastCallAt, granted.isAssumed = resourcesOf(demand.Wants), now, false
	granted.wait.update(&demand)
	limit, isKnown := limits(demand.Tenant)
	has := resourcesOf(demand.Has)
	// The answer to a call of which this is a duplicate may still arrive, and may contain the permission.
	granted.mayOvershoot = demand.MayOvershoot || granted.mayOvershoot && granted.permittedBy == id
	// A call that has raised the grant already is a duplicate, which describes the pool as it was before the answer.
	if granted.raisedBy != id {
		granted.amount = granted.amount.Min(has)
		if isKnown {
			granted.amount = granted.amount.Max(onlyLimited(resourcesOf(demand.Used), limit))
		}
	}
	target := granted.amount
	if isKnown {
		p.updateTurn(demand.Tenant, limit, now)
		target = p.targetOf(demand.Tenant, asker, limit, now)
		granted.amount = granted.amount.Plus(p.raiseFor(demand.Tenant, granted, target, limit))
	}
	if !has.Fits(granted.amount) {
		granted.raisedBy = id
	}
	given := wire.TenantGrant{Tenant: demand.Tenant, Granted: CapacityOf(granted.amount), Target: CapacityOf(target),
		HasWholeLimit: isKnown && p.hasWholeLimit(demand.Tenant, asker, limit), IsSettled: isKnown && p.isSettled(demand.Tenant, limit)}
	if given.HasWholeLimit {
		granted.mayOvershoot, granted.permittedBy = true, id
	}
	if current := p.turns[demand.Tenant]; current != nil && current.asker == asker {
		given.Turn = current.id
	}
	if granted.amount == amountBefore && granted.raisedBy == raisedByBefore && has.Fits(granted.amount) {
		return given, nil
	}
	return given, p.recordOf(demand.Tenant, asker, granted)
}

// raiseFor returns the amount by which a grant is raised: up to its target, but by no more than the part of the limit that is not granted.
// It is 0 in each resource of which the asker holds its target already, and in all while another asker may exceed the limit.
func (p *Part) raiseFor(tenant string, granted *grant, target, limit placement.Resources) placement.Resources {
	free := limit
	for _, other := range p.tenants[tenant] {
		if other != granted && other.mayOvershoot {
			return placement.Resources{}
		}
		free = free.Minus(other.amount)
	}
	return target.Minus(granted.amount).Min(free).Max(placement.Resources{})
}

// hasWholeLimit reports whether one asker holds all of a limit and the others nothing.
func (p *Part) hasWholeLimit(tenant, asker string, limit placement.Resources) bool {
	for name, other := range p.tenants[tenant] {
		if name != asker && other.amount != (placement.Resources{}) {
			return false
		}
	}
	return onlyLimited(p.tenants[tenant][asker].amount, limit).Fits(onlyLimited(limit, limit))
}

// isSettled reports whether all grants of a tenant together are within a limit. They may exceed it for a while after it is lowered.
func (p *Part) isSettled(tenant string, limit placement.Resources) bool {
	var granted placement.Resources
	for _, other := range p.tenants[tenant] {
		granted = granted.Plus(onlyLimited(other.amount, limit))
	}
	return limit.Fits(granted)
}

// listRecalls returns the grants of an asker that are above their targets, for which it may exceed a limit that it doesn't hold completely, or
// for which its demand is not known.
func (p *Part) listRecalls(asker string, limits Limits, now time.Duration) []wire.TenantGrant {
	var recalled []wire.TenantGrant
	for _, tenant := range slices.Sorted(maps.Keys(p.tenants)) {
		granted := p.tenants[tenant][asker]
		limit, isKnown := limits(tenant)
		if granted == nil || !isKnown {
			continue
		}
		p.updateTurn(tenant, limit, now)
		keepsOthersWaiting := granted.mayOvershoot && !p.hasWholeLimit(tenant, asker, limit)
		if target := p.targetOf(tenant, asker, limit, now); !target.Fits(granted.amount) || keepsOthersWaiting || granted.isAssumed {
			recalled = append(recalled, wire.TenantGrant{Tenant: tenant, Granted: CapacityOf(granted.amount), Target: CapacityOf(target),
				IsSettled: p.isSettled(tenant, limit)})
		}
	}
	return recalled
}

// recordOf returns the change that stores a grant, or that deletes the record of an empty grant.
func (p *Part) recordOf(tenant, asker string, granted *grant) *wire.Op {
	op := &wire.Op{Name: grantPrefix + tenant + "/" + asker}
	if granted.amount == (placement.Resources{}) {
		return op
	}
	op.Value = encode(grantRecord{Tenant: tenant, Asker: asker, Amount: amountOf(granted.amount), Epoch: granted.raisedBy.epoch, Number: granted.raisedBy.number})
	return op
}

// Report returns the limit of each tenant that pools have grants of or have called for, and the grant and demand of each of these pools.
func (p *Part) Report(limits Limits) []wire.TenantUsage {
	var rows []wire.TenantUsage
	for _, tenant := range slices.Sorted(maps.Keys(p.tenants)) {
		row := wire.TenantUsage{Tenant: tenant}
		if limit, isKnown := limits(tenant); isKnown {
			shown := CapacityOf(ShownLimit(limit))
			row.Limit = &shown
		}
		if current := p.turns[tenant]; current != nil {
			row.Turn = current.asker
		}
		for _, asker := range slices.Sorted(maps.Keys(p.tenants[tenant])) {
			granted := p.tenants[tenant][asker]
			row.Grants = append(row.Grants, wire.TenantShare{Asker: asker, Granted: CapacityOf(granted.amount), Wants: CapacityOf(granted.wants)})
		}
		rows = append(rows, row)
	}
	return rows
}

// ShownLimit converts a limit to its form in configurations, in which 0 means no limit.
func ShownLimit(limit placement.Resources) placement.Resources {
	shown := limit
	for _, field := range []*int64{&shown.CPU, &shown.Memory, &shown.GPU} {
		if *field == placement.Unlimited {
			*field = 0
		}
	}
	return shown
}
