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
	// maxLocks is how many locks may be held at once in a part.
	maxLocks = 10000
	// clockRateDivisor allows for a holder's clock that is slow by one part in so many.
	clockRateDivisor = 50
)

// lock is a lock that is held, or whose time is over and which nobody else has asked for since.
type lock struct {
	holder string
	// firstFence and fence are the first and the last fencing token that the holder got without letting go in between. All of them
	// renew the lock; only the last one releases it, since a release that comes late must not end what was acquired after it.
	firstFence, fence uint64
	// hold is the longest time that the holder has asked for under these tokens, as it is on disk: a new leader lets the lock go no
	// sooner than that after its take-over, which comes after any call that this leader has answered.
	hold time.Duration
	// since is when the holder got the lock, or this leader took over; until is when it may go to another. Both are on the
	// monotonic clock of this process.
	since, until time.Duration
}

// lockTable holds the locks of a part.
type lockTable struct {
	byName map[string]*lock
	// lastFence is the last fencing token that was given. It rises over all locks of the part, over expiry, release and take-over.
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
	t.byName[name] = &lock{holder: record.Holder, firstFence: record.First, fence: record.Fence, hold: hold, since: now,
		until: now + withMargin(hold, releaseTime)}
	t.lastFence = max(t.lastFence, record.Fence)
	return nil
}

// withMargin is how long a lock is kept for a holder that takes itself for the holder for so long: longer by what its clock may be
// slow, within half of the time in which others must get it.
func withMargin(hold, releaseTime time.Duration) time.Duration {
	return hold + min(hold/clockRateDivisor, releaseTime/2)
}

// held gives a lock that is held at this moment, or nil.
func (t *lockTable) held(name string, now time.Duration) *lock {
	if lock := t.byName[name]; lock != nil && now < lock.until {
		return lock
	}
	return nil
}

// isHeldBy tells whether the lock is that of a holder under one of its fencing tokens.
func (l *lock) isHeldBy(holder string, fence uint64) bool {
	return l != nil && l.holder == holder && l.firstFence <= fence && fence <= l.fence
}

// extend gives the holder more time; it never takes any away.
func (l *lock) extend(now, hold, releaseTime time.Duration) {
	l.until = max(l.until, now+withMargin(hold, releaseTime))
	l.hold = max(l.hold, hold)
}

func (l *lock) record(name string) wire.Op {
	return writing(recordName(recordLock, name), &lockRecord{Holder: l.holder, First: l.firstFence, Fence: l.fence, HoldMs: l.hold.Milliseconds()})
}

// dropExpired forgets locks whose time is over; else a new leader would begin their time anew.
func (t *lockTable) dropExpired(now time.Duration) []wire.Op {
	var ops []wire.Op
	for _, name := range slices.Sorted(maps.Keys(t.byName)) {
		if now >= t.byName[name].until && len(ops) < maxDropsPerCommit {
			delete(t.byName, name)
			ops = append(ops, dropping(recordName(recordLock, name)))
		}
	}
	return ops
}

// neverGiven refuses a fencing token that is above all that this part has given.
var neverGiven = refusal(http.StatusBadRequest, "field fence-number was never given")

// readLockCall decodes the body of a call about a lock, or answers that it can't be read.
func readLockCall(call *wire.ClientCall, answer answerClient) *wire.LockCall {
	asked := &wire.LockCall{}
	if err := easyjson.Unmarshal(call.Body, asked); err != nil {
		answer(refusal(http.StatusBadRequest, "the call can't be read"))
		return nil
	}
	return asked
}

// Acquire gives a lock to a holder, unless another has it. The holder itself gets more time and a higher fencing token each time: its
// calls may overtake each other, and a release of the earlier token must not end the later hold.
func (p *Part) Acquire(call *wire.ClientCall, answer answerClient) {
	asked := readLockCall(call, answer)
	if asked == nil {
		return
	}
	now, hold := p.Clock.Monotonic(), clock.Milliseconds(asked.HoldMs)
	held := p.locks.held(call.ID, now)
	switch {
	case held != nil && held.holder != asked.Holder:
		p.answerUnderLease(refusal(http.StatusConflict, "another holds the lock"), answer)
		return
	case p.isFull():
		answer(overload(http.StatusServiceUnavailable, "too many changes are waiting"))
		return
	case held == nil && p.locks.byName[call.ID] == nil && len(p.locks.byName) >= maxLocks:
		answer(overload(http.StatusTooManyRequests, "too many locks are held"))
		return
	}
	p.locks.lastFence++
	fence := p.locks.lastFence
	if held == nil {
		held = &lock{holder: asked.Holder, firstFence: fence, since: now}
		p.locks.byName[call.ID] = held
	}
	held.fence = fence
	held.extend(now, hold, p.ReleaseTime)
	ops := []wire.Op{writing(recordFence, &fenceRecord{fence}), held.record(call.ID)}
	p.commitAndAnswer(ops, p.success(&wire.LockAnswer{Fence: fence}), answer)
}

// Renew gives the holder of a lock more time. It is committed only if the time is longer than on disk: the holder counts from when it
// sent the call, this leader was alone then, and a later leader keeps the lock for the time on disk from its own take-over.
func (p *Part) Renew(call *wire.ClientCall, answer answerClient) {
	asked := readLockCall(call, answer)
	if asked == nil {
		return
	}
	if asked.Fence > p.locks.lastFence {
		p.answerUnderLease(neverGiven, answer)
		return
	}
	now, hold := p.Clock.Monotonic(), clock.Milliseconds(asked.HoldMs)
	held := p.locks.held(call.ID, now)
	switch {
	case !held.isHeldBy(asked.Holder, asked.Fence):
		p.answerUnderLease(refusal(http.StatusConflict, "the lock is lost"), answer)
	case hold <= held.hold:
		held.extend(now, hold, p.ReleaseTime)
		p.answerUnderLease(wire.ClientAnswer{Status: http.StatusOK}, answer)
	case p.isFull():
		answer(overload(http.StatusServiceUnavailable, "too many changes are waiting"))
	default:
		held.extend(now, hold, p.ReleaseTime)
		p.commitAndAnswer([]wire.Op{held.record(call.ID)}, wire.ClientAnswer{Status: http.StatusOK}, answer)
	}
}

// Release lets a lock go, if it is held under the fencing token; else nothing is to be done.
func (p *Part) Release(call *wire.ClientCall, answer answerClient) {
	asked := readLockCall(call, answer)
	if asked == nil {
		return
	}
	if asked.Fence > p.locks.lastFence {
		p.answerUnderLease(neverGiven, answer)
		return
	}
	held := p.locks.byName[call.ID]
	if held == nil || held.holder != asked.Holder || held.fence != asked.Fence {
		p.answerUnderLease(wire.ClientAnswer{Status: http.StatusOK}, answer)
		return
	}
	if p.isFull() {
		answer(overload(http.StatusServiceUnavailable, "too many changes are waiting"))
		return
	}
	delete(p.locks.byName, call.ID)
	p.commitAndAnswer([]wire.Op{dropping(recordName(recordLock, call.ID))}, wire.ClientAnswer{Status: http.StatusOK}, answer)
}
