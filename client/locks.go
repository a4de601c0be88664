package client

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/mailru/easyjson"

	"gannetline/internal/cluster/peerapi/wire"
)

const (
	// renewalsPerHoldTime is the number of renewals within a hold time.
	renewalsPerHoldTime = 3
	// marginDivisor divides the hold time to give the safety margin. The client ends a lock by this margin before its hold time is over.
	marginDivisor = 20
	// retryDelay is the time from a renewal without a clear answer until the next one.
	retryDelay = 50 * time.Millisecond
	// minPollDelay and maxPollDelay bound the delay between two attempts to acquire a lock that another client holds.
	minPollDelay = 20 * time.Millisecond
	maxPollDelay = 500 * time.Millisecond
	// pollDivisor divides the hold time to give this delay, before the bounds apply.
	pollDivisor = 10
)

// ErrHeld is returned if another client holds the lock.
const ErrHeld = errors.ConstError("another holds the lock")

// ErrLost and ErrReleased are the causes for which the context of a Lock ends. After ErrLost another client may get the lock. ErrReleased
// is the cause after a call of Release.
const (
	ErrLost     = errors.ConstError("the lock is lost")
	ErrReleased = errors.ConstError("the lock was released")
)

// Lock is a lock that the client holds. The client renews it in the background until it is released or lost, or the context of the
// acquiring call is done.
type Lock struct {
	client   *Client
	name     string
	fence    uint64
	holdTime time.Duration
	ctx      context.Context
	cancel   context.CancelCauseFunc
	// renewalEnded is closed once the goroutine that renews the lock has returned.
	renewalEnded chan struct{}
}

// Name returns the name of the lock.
func (l *Lock) Name() string { return l.name }

// Fence returns the fencing token. It is higher than the tokens of all earlier holders of the lock.
func (l *Lock) Fence() uint64 { return l.fence }

// Context returns a context that ends when the lock is lost or released, with the cause ErrLost or ErrReleased (see context.Cause), or when
// the context of the acquiring call is done. Work under the lock should end with it.
func (l *Lock) Context() context.Context { return l.ctx }

// TryAcquire acquires a lock, or returns ErrHeld if another client holds it. Unless it is released, no other client gets the lock before
// the hold time has passed since the last call that acquired or renewed it. The lock is renewed until ctx is done, Release is called or
// the lock is lost.
func (c *Client) TryAcquire(ctx context.Context, name string, holdTime time.Duration) (*Lock, error) {
	return c.tryAcquire(ctx, name, holdTime, 0)
}

// tryAcquire is TryAcquire with a deadline for a clear answer. A deadline of 0 means no limit. It makes at least one attempt.
func (c *Client) tryAcquire(ctx context.Context, name string, holdTime, deadline time.Duration) (*Lock, error) {
	sentAt := c.clock.Monotonic()
	reply, err := c.askStewards(ctx, apiCall{method: http.MethodPost, path: pathOf(prefixLocks, name, suffixInitiate),
		body: &wire.LockCall{Holder: c.holder, HoldMs: holdTime.Milliseconds()}, deadline: deadline})
	if err != nil {
		return nil, err
	}
	if reply.status == http.StatusConflict {
		return nil, errors.Annotatef(ErrHeld, "lock %s", name)
	}
	var granted wire.LockAnswer
	if err := reply.read(&granted); err != nil {
		return nil, err
	}
	lock := &Lock{client: c, name: name, fence: granted.Fence, holdTime: holdTime, renewalEnded: make(chan struct{})}
	lock.ctx, lock.cancel = context.WithCancelCause(ctx)
	go lock.renewUntilEnd(sentAt)
	return lock, nil
}

// Acquire waits until the lock is free and acquires it. If ctx is done first, it returns ErrHeld or ErrNoAnswer. As with TryAcquire, the
// lock ends when ctx is done.
func (c *Client) Acquire(ctx context.Context, name string, holdTime time.Duration) (*Lock, error) {
	return c.acquire(ctx, name, holdTime, 0)
}

// AcquireWithin is Acquire with a maximum waiting time, after which it returns ErrHeld or ErrNoAnswer. It makes at least one attempt. The
// waiting time doesn't limit the lock, which is renewed until ctx is done.
func (c *Client) AcquireWithin(ctx context.Context, name string, holdTime, wait time.Duration) (*Lock, error) {
	return c.acquire(ctx, name, holdTime, max(c.clock.Monotonic()+wait, 1))
}

// acquire waits for the lock until a deadline. A deadline of 0 means no limit.
func (c *Client) acquire(ctx context.Context, name string, holdTime, deadline time.Duration) (*Lock, error) {
	delay := min(max(holdTime/pollDivisor, minPollDelay), maxPollDelay)
	for {
		lock, err := c.tryAcquire(ctx, name, holdTime, deadline)
		if !errors.Is(err, ErrHeld) || deadline > 0 && c.clock.Monotonic() >= deadline {
			return lock, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-c.clock.After(c.limitDelay(delay, deadline)):
		}
	}
}

// renewUntilEnd renews the lock until it ends. The hold time counts from the time at which the last successful call was sent.
func (l *Lock) renewUntilEnd(sentAt time.Duration) {
	defer close(l.renewalEnded)
	clock := l.client.clock
	deadline, delay := sentAt+l.safeHoldTime(), l.holdTime/renewalsPerHoldTime
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-clock.After(min(delay, max(0, deadline-clock.Monotonic()))):
		}
		now := clock.Monotonic()
		if now >= deadline {
			l.cancel(ErrLost)
			return
		}
		status := l.renew(now, deadline)
		switch {
		case status == http.StatusOK && clock.Monotonic() < deadline:
			deadline, delay = now+l.safeHoldTime(), l.holdTime/renewalsPerHoldTime
		case status == 0:
			delay = retryDelay
		default:
			l.cancel(ErrLost)
			return
		}
	}
}

// safeHoldTime returns the hold time minus the safety margin. The client treats the lock as held for this time from when it sent the last
// successful call.
func (l *Lock) safeHoldTime() time.Duration { return l.holdTime - l.holdTime/marginDivisor }

// renew extends the lock until a hold time from now. It returns the HTTP status, or 0 if there is no clear answer before the deadline.
func (l *Lock) renew(now, deadline time.Duration) int {
	ctx, cancel := context.WithTimeout(l.ctx, deadline-now)
	defer cancel()
	reply, err := l.client.askStewards(ctx, apiCall{method: http.MethodPost, path: pathOf(prefixLocks, l.name, suffixHeartbeat),
		body: &wire.LockCall{Holder: l.client.holder, Fence: l.fence, HoldMs: l.holdTime.Milliseconds()}, deadline: deadline})
	if err != nil {
		return 0
	}
	return reply.status
}

// Release ends the lock's context and releases the lock. After an error other clients may have to wait until the hold time is over.
func (l *Lock) Release(ctx context.Context) error {
	l.cancel(ErrReleased)
	<-l.renewalEnded
	reply, err := l.client.askStewards(ctx, apiCall{method: http.MethodPost, path: pathOf(prefixLocks, l.name, suffixTerminate),
		body: &wire.LockCall{Holder: l.client.holder, Fence: l.fence}})
	if err != nil {
		return err
	}
	return reply.refusal()
}

// refusal returns nil if the status is 200, and otherwise a *RefusedError.
func (a *answer) refusal() error {
	if a.status == http.StatusOK {
		return nil
	}
	refused := &RefusedError{Status: a.status, Reason: http.StatusText(a.status)}
	var text refusalText
	if easyjson.Unmarshal(a.body, &text) == nil && text.Error != "" {
		refused.Reason = text.Error
	}
	return refused
}

// read decodes the body of a successful answer. For any other answer it returns the error of the refusal.
func (a *answer) read(into easyjson.Unmarshaler) error {
	if err := a.refusal(); err != nil {
		return err
	}
	return errors.Annotate(easyjson.Unmarshal(a.body, into), "decoding the answer of a steward")
}
