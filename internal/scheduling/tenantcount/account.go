package tenantcount

import (
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/scheduling/placement"
)

// account is what a pool may use of one tenant's limit.
type account struct {
	// spendable is what the pool may use now: no more than what is committed.
	spendable placement.Resources
	// claimed is the most that the records may hold: it is above spendable while a change is being committed. A call never says less.
	claimed placement.Resources
	// pending is what claimed and spendable become with the commit under way.
	pending       *accountRecord
	hasWholeLimit bool
	// target is how much the part wants the pool to keep; with isAboveTarget it holds more, and starts nothing beyond the target.
	target        placement.Resources
	isAboveTarget bool
	// version is that of the configuration by which the part decided last, and isSettled that all grants were within its limit then;
	// isAnswered tells that it has decided in this leadership.
	version    int64
	isSettled  bool
	isAnswered bool
	askedAt    time.Duration
	// known is what the part holds for this pool as far as the pool knows: what it was told last, or what it answered since.
	known placement.Resources
	// toldWants is what the last call said that the pool wants, of what the limit allows.
	toldWants placement.Resources
}

// Change is a record of the pool that must be committed; Accounts.Committed follows the commit.
type Change struct {
	Tenant string
	Op     wire.Op
}

// change begins to make the account another; the record is nil if it is that already, or another change is under way. What gets
// less can be used no more from now on, and what gets more only after the commit.
func (a *account) change(tenant string, amount placement.Resources, hasWholeLimit bool) *Change {
	if a.pending != nil || amount == a.claimed && hasWholeLimit == a.hasWholeLimit {
		return nil
	}
	a.pending = &accountRecord{Amount: amountOf(amount), HasWholeLimit: hasWholeLimit}
	a.spendable = a.spendable.Min(amount)
	a.claimed = a.claimed.Max(amount)
	a.hasWholeLimit = a.hasWholeLimit && hasWholeLimit
	return &Change{Tenant: tenant, Op: wire.Op{Name: AccountPrefix + tenant, Value: a.pending.encode()}}
}

// allowance is what runs may take.
func (a *account) allowance() placement.Resources {
	if a.isAboveTarget {
		return a.spendable.Min(a.target)
	}
	return a.spendable
}

// encode is the record's text, or none for an account of nothing.
func (r *accountRecord) encode() []byte {
	if r.Amount == (amountRecord{}) {
		return nil
	}
	return encode(r)
}

// committed makes the change under way the state of the account.
func (a *account) committed() {
	if a.pending == nil {
		return
	}
	a.spendable = a.pending.Amount.resources()
	a.claimed, a.hasWholeLimit, a.pending = a.spendable, a.pending.HasWholeLimit, nil
}
