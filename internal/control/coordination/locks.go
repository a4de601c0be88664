package coordination

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/mailru/easyjson"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/clock"
)

const (
	// maxLocks limits the locks in the table of a partition, which also contains expired locks until a clean-up.
	maxLocks = 10000
	// clockRateDivisor states how slow a holder's clock may run: by 1/clockRateDivisor of the hold time, which is 2 %.
	clockRateDivisor = 50
)

// lock is a lock that is held, or one that has expired and was not acquired again since.
type lock struct {
	holder string
	// firstFence and fence are the first and the last fencing token that the holder got without a release or an expiry in between. The
	// holder can renew the lock with any token from firstFence to fence. Only fence releases it, since a late release must not end a hold
	// that was acquired after it.
	firstFence, fence uint64
	// longestHold is the longest hold time that the holder requested under these tokens. It is stored in the lock's record. A new leader
	// keeps the lock for at least this time from its takeover, and it takes over after every call that this leader has answered.
	longestHold time.Duration
	// acquiredAt is when the holder acquired the lock, or when this leader took over. From expiresAt on, another holder may acquire the
	// lock. Both are on the monotonic clock of this process.
	acquiredAt, expiresAt time.Duration
}

// lockTable holds the locks of a partition by name.
type lockTable struct {
	byName map[string]*lock
	// lastFence is the last fencing token that was issued for any lock of the partition. It never decreases, even when locks expire or are
	// released or another leader takes over.
	lastFence uint64
}

func newLockTable() lockTable { return lockTable{byName: map[string]*lock{}} }

func (t *lockTable) loadFence(value []byte) error {
	var record fenceRecord
	err := easyjson.Unmarshal(value, &record)
	t.lastFence = max(t.lastFence, record.Last)
	return err
}

func (t *lockTable) load(name string, value []byte, now, releaseTime time.Duration) error {
	var record lockRecord
	if err := easyjson.Unmarshal(value, &record); err != nil {
		return err
	}
	hold := clock.Milliseconds(record.HoldMs)
	t.byName[name] = &lock{holder: record.Holder, firstFence: record.First, fence: record.Fence, longestHold: hold, acquiredAt: now,
		expiresAt: now + withClockMargin(hold, releaseTime)}
	t.lastFence = max(t.lastFence, record.Fence)
	return nil
}

// withClockMargin returns how long the leader keeps a lock: the hold time plus a margin, since the holder's clock may run slow (see
// clockRateDivisor). The margin is at most half of releaseTime, so that others can acquire the expired lock within releaseTime. For a long
// hold time, it is therefore less than hold/clockRateDivisor.
func withClockMargin(hold, releaseTime time.Duration) time.Duration {
	return hold + min(hold/clockRateDivisor, releaseTime/2)
}

// findHeld returns the lock if it is held at the time now, or nil if it has expired or does not exist.
func (t *lockTable) findHeld(name string, now time.Duration) *lock {
	if lock := t.byName[name]; lock != nil && now < lock.expiresAt {
		return lock
	}
	return nil
}

// isHeldBy reports whether the lock belongs to the holder and the fencing token is one of its current hold. It is false for a nil lock.
func (l *lock) isHeldBy(holder string, fence uint64) bool {
	return l != nil && l.holder == holder && l.firstFence <= fence && fence <= l.fence
}

// extend keeps the lock for the given hold time from now. It never shortens the current hold.
func (l *lock) extend(now, hold, releaseTime time.Duration) {
	l.expiresAt = max(l.expiresAt, now+withClockMargin(hold, releaseTime))
	l.longestHold = max(l.longestHold, hold)
}

// record returns the operation that writes the lock's record.
func (l *lock) record(name string) wire.Op {
	return newPutOp(recordName(recordLock, name), &lockRecord{Holder: l.holder, First: l.firstFence, Fence: l.fence, HoldMs: l.longestHold.Milliseconds()})
}

// dropExpired removes expired locks and returns the operations that delete their records. If the records stayed, a new leader would keep
// these locks for their full hold time again. It removes at most maxDropsPerCommit locks.
func (t *lockTable) dropExpired(now time.Duration) []wire.Op {
	var ops []wire.Op
	for _, name := range slices.Sorted(maps.Keys(t.byName)) {
		if now >= t.byName[name].expiresAt && len(ops) < maxDropsPerCommit {
			delete(t.byName, name)
			ops = append(ops, newDeleteOp(recordName(recordLock, name)))
		}
	}
	return ops
}

// fenceNeverIssued refuses a fencing token above the last one that this partition has issued.
var fenceNeverIssued = refusal(http.StatusBadRequest, "field fence-number was never given")

// readLockCall decodes the body of a call about a lock. If the body is invalid, it refuses the call and returns nil.
func readLockCall(call *wire.ClientCall, answer answerClient) *wire.LockCall {
	params := &wire.LockCall{}
	if err := easyjson.Unmarshal(call.Body, params); err != nil {
		answer(refusal(http.StatusBadRequest, "the call can't be read"))
		return nil
	}
	return params
}

// Acquire grants a lock to a holder unless another holder has it. If the caller holds the lock already, its hold is extended and it gets
// a higher fencing token. Calls may arrive out of order, and a late release with the earlier token must not end the extended hold.
func (p *Part) Acquire(call *wire.ClientCall, answer answerClient) {
	params := readLockCall(call, answer)
	if params == nil {
		return
	}
	now, hold := p.Clock.Monotonic(), clock.Milliseconds(params.HoldMs)
	current := p.locks.findHeld(call.ID, now)
	switch {
	case current != nil && current.holder != params.Holder:
		p.answerUnderLease(refusal(http.StatusConflict, "another holds the lock"), answer)
		return
	case p.isCommitQueueFull():
		answer(overload(http.StatusServiceUnavailable, "too many changes are waiting"))
		return
	case current == nil && p.locks.byName[call.ID] == nil && len(p.locks.byName) >= maxLocks:
		answer(overload(http.StatusTooManyRequests, "too many locks are held"))
		return
	}
	p.locks.lastFence++
	fence := p.locks.lastFence
	if current == nil {
		current = &lock{holder: params.Holder, firstFence: fence, acquiredAt: now}
		p.locks.byName[call.ID] = current
	}
	current.fence = fence
	current.extend(now, hold, p.ReleaseTime)
	ops := []wire.Op{newPutOp(recordFence, &fenceRecord{fence}), current.record(call.ID)}
	p.commitAndAnswer(ops, p.success(&wire.LockAnswer{Fence: fence}), answer)
}

// Renew extends the hold of a lock. It only needs a commit if the requested hold time is longer than the recorded one. Otherwise
// the record is enough: a later leader keeps the lock for the recorded time from its takeover, and the holder counts its hold time from
// when it sent the call, which was before that takeover.
func (p *Part) Renew(call *wire.ClientCall, answer answerClient) {
	params := readLockCall(call, answer)
	if params == nil {
		return
	}
	if params.Fence > p.locks.lastFence {
		p.answerUnderLease(fenceNeverIssued, answer)
		return
	}
	now, hold := p.Clock.Monotonic(), clock.Milliseconds(params.HoldMs)
	current := p.locks.findHeld(call.ID, now)
	switch {
	case !current.isHeldBy(params.Holder, params.Fence):
		p.answerUnderLease(refusal(http.StatusConflict, "the lock is lost"), answer)
	case hold <= current.longestHold:
		current.extend(now, hold, p.ReleaseTime)
		p.answerUnderLease(wire.ClientAnswer{Status: http.StatusOK}, answer)
	case p.isCommitQueueFull():
		answer(overload(http.StatusServiceUnavailable, "too many changes are waiting"))
	default:
		current.extend(now, hold, p.ReleaseTime)
		p.commitAndAnswer([]wire.Op{current.record(call.ID)}, wire.ClientAnswer{Status: http.StatusOK}, answer)
	}
}

// Release releases a lock if the fencing token is the last one that the holder got for it. It refuses a token that was never issued.
// With any other token it succeeds without effect.
func (p *Part) Release(call *wire.ClientCall, answer answerClient) {
	params := readLockCall(call, answer)
	if params == nil {
		return
	}
	if params.Fence > p.locks.lastFence {
		p.answerUnderLease(fenceNeverIssued, answer)
		return
	}
	current := p.locks.byName[call.ID]
	if current == nil || current.holder != params.Holder || current.fence != params.Fence {
		p.answerUnderLease(wire.ClientAnswer{Status: http.StatusOK}, answer)
		return
	}
	if p.isCommitQueueFull() {
		answer(overload(http.StatusServiceUnavailable, "too many changes are waiting"))
		return
	}
	delete(p.locks.byName, call.ID)
	p.commitAndAnswer([]wire.Op{newDeleteOp(recordName(recordLock, call.ID))}, wire.ClientAnswer{Status: http.StatusOK}, answer)
}
