// Package tenantcount keeps what the tenants of the whole system have running under their limits, over all pools together. It is an
// escrow: the tenants are divided into parts, each part is a replicated key with a leader (Part), and the leader of a pool may start
// runs of a tenant only within the allowance that it holds of the tenant's limit (Account). A part agrees on batches: one call brings
// the demand of many tenants, one change commits all its grants, and no start waits for a part as long as the allowance lasts.
//
// Both sides keep their half on disk, and two inequalities hold at every moment, whatever is lost, late or doubled:
//
//   - The grants of all pools for a tenant are together no more than the limit, or than the highest limit that was in force when they
//     were given. After a limit was lowered, and with each configuration that may have lowered it, a pool that shares its tenants with
//     others starts nothing until a part has told it that the grants are within the limit again.
//   - What a pool uses is no more than its account, and its account no more than the part's grant. A part commits a raised grant
//     before it answers, and a pool commits the raised account before it uses it; a pool commits a lowered account before it says
//     so, and a part lowers its grant only by what the pool has said.
//
// A call says the most that the pool may use until an answer to it (Has). So a call that comes late must not lower a grant that a later
// call has raised, and an answer that comes late must not raise an account that a later call has promised to be lower: calls carry the
// epoch of the pool's leadership and a rising number, the part commits them with each grant that it raises and refuses older ones, and
// a pool drops the answers to all calls but its last. Silence frees nothing: a grant comes back only by a call of the pool's leader, or
// of the leader after it, which finds the account among the pool's records.
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
	// Parts is how many keys the tenants are divided among. It must not change while any of them holds grants.
	Parts = 4
	// keyPrefix begins the names of the parts' keys.
	keyPrefix = "count/"
	// grantPrefix begins the names of the records of a part.
	grantPrefix = "g/"
	// forgetAfter is how long an asker without a grant counts among those who share a limit.
	forgetAfter = 10 * time.Second
)

// KeyOf is the key of a part.
func KeyOf(part int) string { return keyPrefix + strconv.Itoa(part) }

// IsKey tells whether a key is that of a part.
func IsKey(key string) bool { return strings.HasPrefix(key, keyPrefix) }

// PartOf is the part that a tenant belongs to.
func PartOf(tenant string) int {
	hash := fnv.New32a()
	hash.Write([]byte(tenant))
	return int(hash.Sum32() % Parts)
}

// ErrStale refuses a call of a pool that has made a later one.
const ErrStale = errors.ConstError("a later call of this pool was answered")

// Limits finds what a tenant may have running over all pools in the configuration in force; false if that doesn't have the tenant.
type Limits func(tenant string) (placement.Resources, bool)

// Part is the decision of a part's leader. One goroutine calls it; it knows neither clock nor network.
type Part struct {
	// tenants have at least one asker each.
	tenants map[string]map[string]*grant
	// lastCalls are the calls of each asker that were answered last in this leadership.
	lastCalls map[string]callPlace
}

// grant is what one pool holds of a tenant's limit.
type grant struct {
	amount placement.Resources
	// raisedBy is the call that last raised the amount; a call before it can't lower it.
	raisedBy callPlace
	// wants is what the asker said last that it wants, at a moment of the leader's clock. Until it has said something, wants is amount.
	wants placement.Resources
	at    time.Duration
}

// callPlace is the place of a call among all calls of a pool.
type callPlace struct{ epoch, number uint64 }

func (c callPlace) compare(other callPlace) int {
	return cmp.Or(cmp.Compare(c.epoch, other.epoch), cmp.Compare(c.number, other.number))
}

// NewPart makes the part of a leader from what is committed of its key; the error names a record that can't be read. now is when the
// leadership began.
func NewPart(pairs []wire.Op, now time.Duration) (*Part, error) {
	part := &Part{tenants: map[string]map[string]*grant{}, lastCalls: map[string]callPlace{}}
	for _, pair := range pairs {
		if !strings.HasPrefix(pair.Name, grantPrefix) {
			continue
		}
		var record grantRecord
		if err := easyjson.Unmarshal(pair.Value, &record); err != nil {
			return nil, errors.Annotatef(err, "reading %s from disk", pair.Name)
		}
		amount := record.Amount.resources()
		place := callPlace{record.Epoch, record.Number}
		part.askersOf(record.Tenant)[record.Asker] = &grant{amount: amount, raisedBy: place, wants: amount, at: now}
		if place.compare(part.lastCalls[record.Asker]) > 0 {
			part.lastCalls[record.Asker] = place
		}
	}
	return part, nil
}

func (p *Part) askersOf(tenant string) map[string]*grant {
	if p.tenants[tenant] == nil {
		p.tenants[tenant] = map[string]*grant{}
	}
	return p.tenants[tenant]
}

// Ask decides on a call, and gives the answer and the records that must be committed before it is given; the error is ErrStale. The
// grants count as changed from now on: a later change can't be committed without this one.
func (p *Part) Ask(call *wire.GrantCall, limits Limits, now time.Duration) (wire.GrantAnswer, []wire.Op, error) {
	answer := wire.GrantAnswer{Number: call.Number}
	place := callPlace{call.Epoch, call.Number}
	order := place.compare(p.lastCalls[call.Asker])
	if order < 0 {
		return answer, nil, errors.Annotatef(ErrStale, "call %d of epoch %d by %s", call.Number, call.Epoch, call.Asker)
	}
	p.lastCalls[call.Asker] = place
	var ops []wire.Op
	for _, demand := range call.Tenants {
		given, op := p.decide(call.Asker, place, demand, limits, now)
		answer.Tenants = append(answer.Tenants, given)
		if op != nil {
			ops = append(ops, *op)
		}
	}
	if len(call.Tenants) == 0 {
		answer.Tenants = p.recalls(call.Asker, limits, now)
	}
	return answer, ops, nil
}

// decide settles what an asker holds of one tenant's limit. The record is nil if nothing must be committed. An answer by which the asker
// may use more than it has is always committed with the record, also where a call comes again before the change that it brought is
// durable: else the second answer would overtake that commit.
func (p *Part) decide(asker string, place callPlace, demand wire.TenantDemand, limits Limits, now time.Duration) (wire.TenantGrant, *wire.Op) {
	askers := p.askersOf(demand.Tenant)
	granted := askers[asker]
	if granted == nil {
		granted = &grant{}
		askers[asker] = granted
	}
	before, wasRaisedBy := granted.amount, granted.raisedBy
	granted.wants, granted.at = resourcesOf(demand.Wants), now
	limit, isKnown := limits(demand.Tenant)
	has := resourcesOf(demand.Has)
	// A call that was answered before, and comes again, says of the pool what it was before that answer.
	if granted.raisedBy != place {
		granted.amount = granted.amount.Min(has)
		if isKnown {
			granted.amount = granted.amount.Max(bounded(resourcesOf(demand.Used), limit))
		}
	}
	target := granted.amount
	if isKnown {
		target = p.target(demand.Tenant, asker, limit, now)
		granted.amount = granted.amount.Plus(p.raise(demand.Tenant, granted, target, limit))
	}
	if !has.Fits(granted.amount) {
		granted.raisedBy = place
	}
	given := wire.TenantGrant{Tenant: demand.Tenant, Granted: CapacityOf(granted.amount), Target: CapacityOf(target),
		HasWholeLimit: isKnown && p.hasWholeLimit(demand.Tenant, asker, limit), IsSettled: isKnown && p.isSettled(demand.Tenant, limit)}
	if granted.amount == before && granted.raisedBy == wasRaisedBy && has.Fits(granted.amount) {
		return given, nil
	}
	return given, p.recordOf(demand.Tenant, asker, granted)
}

// raise is by how much a grant may grow: up to its target, if the asker wants more than it holds, and never by more than is free.
func (p *Part) raise(tenant string, granted *grant, target, limit placement.Resources) placement.Resources {
	free := limit
	for _, other := range p.tenants[tenant] {
		free = free.Minus(other.amount)
	}
	return target.Minus(granted.amount).Min(free).Max(placement.Resources{})
}

// hasWholeLimit tells whether one asker holds all of a limit, and the others nothing.
func (p *Part) hasWholeLimit(tenant, asker string, limit placement.Resources) bool {
	for name, other := range p.tenants[tenant] {
		if name != asker && other.amount != (placement.Resources{}) {
			return false
		}
	}
	return bounded(p.tenants[tenant][asker].amount, limit).Fits(bounded(limit, limit))
}

// isSettled tells whether all askers together hold no more than a limit. After it was lowered they may hold more for a while.
func (p *Part) isSettled(tenant string, limit placement.Resources) bool {
	var granted placement.Resources
	for _, other := range p.tenants[tenant] {
		granted = granted.Plus(bounded(other.amount, limit))
	}
	return limit.Fits(granted)
}

// recalls lists the tenants of which an asker holds more than it should keep.
func (p *Part) recalls(asker string, limits Limits, now time.Duration) []wire.TenantGrant {
	var recalled []wire.TenantGrant
	for _, tenant := range slices.Sorted(maps.Keys(p.tenants)) {
		granted := p.tenants[tenant][asker]
		limit, isKnown := limits(tenant)
		if granted == nil || !isKnown {
			continue
		}
		if target := p.target(tenant, asker, limit, now); !target.Fits(granted.amount) {
			recalled = append(recalled, wire.TenantGrant{Tenant: tenant, Granted: CapacityOf(granted.amount), Target: CapacityOf(target),
				IsSettled: p.isSettled(tenant, limit)})
		}
	}
	return recalled
}

// recordOf is the record of a grant; a grant of nothing has none.
func (p *Part) recordOf(tenant, asker string, granted *grant) *wire.Op {
	op := &wire.Op{Name: grantPrefix + tenant + "/" + asker}
	if granted.amount == (placement.Resources{}) {
		return op
	}
	op.Value = encode(grantRecord{Tenant: tenant, Asker: asker, Amount: amountOf(granted.amount), Epoch: granted.raisedBy.epoch, Number: granted.raisedBy.number})
	return op
}

// Report tells what each pool was granted of each tenant's limit.
func (p *Part) Report(limits Limits) []wire.TenantUsage {
	var rows []wire.TenantUsage
	for _, tenant := range slices.Sorted(maps.Keys(p.tenants)) {
		row := wire.TenantUsage{Tenant: tenant}
		if limit, isKnown := limits(tenant); isKnown {
			shown := CapacityOf(ShownLimit(limit))
			row.Limit = &shown
		}
		for _, asker := range slices.Sorted(maps.Keys(p.tenants[tenant])) {
			granted := p.tenants[tenant][asker]
			row.Grants = append(row.Grants, wire.TenantShare{Asker: asker, Granted: CapacityOf(granted.amount), Wants: CapacityOf(granted.wants)})
		}
		rows = append(rows, row)
	}
	return rows
}

// ShownLimit says a limit as configurations do, where 0 is no limit.
func ShownLimit(limit placement.Resources) placement.Resources {
	shown := limit
	for _, field := range []*int64{&shown.CPU, &shown.Memory, &shown.GPU} {
		if *field == placement.Unlimited {
			*field = 0
		}
	}
	return shown
}
