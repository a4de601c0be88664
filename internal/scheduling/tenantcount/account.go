package tenantcount

import (
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/scheduling/placement"
)

// account is a pool's allowance of one tenant's limit.
type account struct {
	// spendable is the most that the pool may use now. It never exceeds the committed amount.
	spendable placement.Resources
	// claimed is the highest amount that the pool's durable record may hold. It is above spendable while a change is being committed. Calls
	// report this amount as Has, never a lower one.
	claimed placement.Resources
	// pending is the record that is being committed, or nil. claimed and spendable become its amount with the commit.
	pending *accountRecord
	// hasWholeLimit means that no other pool holds any of the limit.
	hasWholeLimit bool
	// target is how much the pool should have, as the partition decided. isAboveTarget means that the grant in the same answer was above the
	// target in some resource, so that the pool starts no runs beyond the target.
	target        placement.Resources
	isAboveTarget bool
	// version is the latest configuration version that the partition has decided under. isSettled means that at its last decision all grants
	// together were within the limit. isAnswered means that the partition has decided at least once during this leadership of the pool.
	version    int64
	isSettled  bool
	isAnswered bool
	// lastCallAt is when the pool last called the partition for this tenant.
	lastCallAt time.Duration
	// knownGrant is the partition's grant to this pool as far as the pool knows: Has of the pool's last call, or the grant in a later answer.
	knownGrant placement.Resources
	// sentWants is the demand in the last call, capped by the limit.
	sentWants placement.Resources
	// turn is the pool's current turn as far as it knows, 0 if it has none. finishedTurn is the last turn in which the pool has started the
	// work that had waited longest. sentNextNeed and sentFinishedTurn are those of the last call.
	turn, finishedTurn uint64
	sentNextNeed       placement.Resources
	sentFinishedTurn   uint64
	// isUnanswered means that the last call has no answer yet, so that the partition may not know what it said.
	isUnanswered bool
	// sentMayOvershoot is what the last call said of hasWholeLimit. isRecalled means that the last poll has named the tenant, so that the
	// partition waits for a call.
	sentMayOvershoot, isRecalled bool
}

// Change is a record that the pool must commit. The pool must call Accounts.HandleCommit after the commit.
type Change struct {
	Tenant string
	Op     wire.Op
}

// beginChange starts to change the amount of the account. It returns nil if nothing changes or another change is being committed. A
// decrease takes effect at once, an increase only after the commit.
func (a *account) beginChange(tenant string, amount placement.Resources, hasWholeLimit bool) *Change {
	if a.pending != nil || amount == a.claimed && hasWholeLimit == a.hasWholeLimit {
		return nil
	}
	a.pending = &accountRecord{Amount: amountOf(amount), HasWholeLimit: hasWholeLimit}
	a.spendable = a.spendable.Min(amount)
	a.claimed = a.claimed.Max(amount)
	a.hasWholeLimit = a.hasWholeLimit && hasWholeLimit
	return &Change{Tenant: tenant, Op: wire.Op{Name: AccountPrefix + tenant, Value: a.pending.encode()}}
}

// allowance returns how much the pool's runs may use.
func (a *account) allowance() placement.Resources {
	if a.isAboveTarget {
		return a.spendable.Min(a.target)
	}
	return a.spendable
}

// hasTurn reports whether the pool has a turn, as far as it knows, and hasn't finished it. 0 is no turn.
func (a *account) hasTurn() bool { return a.turn != 0 && a.turn != a.finishedTurn }

// encode returns the encoded record, or nil for an empty account, which deletes the record.
func (r *accountRecord) encode() []byte {
	if r.Amount == (amountRecord{}) {
		return nil
	}
	return encode(r)
}

// finishChange applies the pending change after its commit.
func (a *account) finishChange() {
	if a.pending == nil {
		return
	}
	a.spendable = a.pending.Amount.resources()
	a.claimed, a.hasWholeLimit, a.pending = a.spendable, a.pending.HasWholeLimit, nil
}
