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
	// renewalsPerHold is how many renewals fit into the time of a lock.
	renewalsPerHold = 3
	// marginDivisor is the part of its time by which a holder lets go early.
	marginDivisor = 20
	// retryPause is the time between two renewals of which the first had no answer.
	retryPause = 50 * time.Millisecond
	// minPollPause and maxPollPause bound how often a lock that another holds is asked for.
	minPollPause = 20 * time.Millisecond
	maxPollPause = 500 * time.Millisecond
	pollDivisor  = 10
)

// ErrHeld tells that another holds the lock.
const ErrHeld = errors.ConstError("another holds the lock")

// ErrLost is the cause of the end of a lock's context where the lock may go to another, ErrReleased where it was given back.
const (
	ErrLost     = errors.ConstError("the lock is lost")
	ErrReleased = errors.ConstError("the lock was released")
)

// Lock is a lock that is held, and renewed until it is released or lost.
type Lock struct {
	client *Client
	name   string
	fence  uint64
	hold   time.Duration
	ctx    context.Context
	end    context.CancelCauseFunc
	// kept is closed once no renewal is under way any more.
	kept chan struct{}
}

// Name is that of the lock.
func (l *Lock) Name() string { return l.name }

// Fence is the fencing token. It is higher than those of all who held the lock before.
func (l *Lock) Fence() uint64 { return l.fence }

// Context ends when the lock is lost or released; context.Cause tells which. Work under the lock should end with it.
func (l *Lock) Context() context.Context { return l.ctx }

// TryAcquire takes a lock, or returns ErrHeld if another holds it. The lock goes to another at the earliest a hold time after the last
// call that renewed it; it is renewed until ctx is done, Release is called, or it is lost.
func (c *Client) TryAcquire(ctx context.Context, name string, hold time.Duration) (*Lock, error) {
	return c.tryAcquire(ctx, name, hold, 0)
}

// tryAcquire is TryAcquire that gives up once there was no clear answer until then, unless that is 0; it asks once at least.
func (c *Client) tryAcquire(ctx context.Context, name string, hold, until time.Duration) (*Lock, error) {
	sentAt := c.clock.Monotonic()
	given, err := c.ask(ctx, call{method: http.MethodPost, path: pathOf(prefixLocks, name, suffixInitiate),
		body: &wire.LockCall{Holder: c.holder, HoldMs: hold.Milliseconds()}, until: until})
	if err != nil {
		return nil, err
	}
	if given.status == http.StatusConflict {
		return nil, errors.Annotatef(ErrHeld, "lock %s", name)
	}
	var granted wire.LockAnswer
	if err := given.read(&granted); err != nil {
		return nil, err
	}
	lock := &Lock{client: c, name: name, fence: granted.Fence, hold: hold, kept: make(chan struct{})}
	lock.ctx, lock.end = context.WithCancelCause(ctx)
	go lock.keep(sentAt)
	return lock, nil
}

// Acquire waits until the lock is free and takes it. As with TryAcquire, ctx ends the lock too.
func (c *Client) Acquire(ctx context.Context, name string, hold time.Duration) (*Lock, error) {
	return c.acquire(ctx, name, hold, 0)
}

// AcquireWithin is Acquire that waits for so long at most, and returns ErrHeld or ErrNoAnswer then; it asks once at least. The lock is
// kept beyond that time, until ctx is done.
func (c *Client) AcquireWithin(ctx context.Context, name string, hold, wait time.Duration) (*Lock, error) {
	return c.acquire(ctx, name, hold, max(c.clock.Monotonic()+wait, 1))
}

// acquire waits for the lock until a moment, or without end if that is 0.
func (c *Client) acquire(ctx context.Context, name string, hold, until time.Duration) (*Lock, error) {
	pause := min(max(hold/pollDivisor, minPollPause), maxPollPause)
	for {
		lock, err := c.tryAcquire(ctx, name, hold, until)
		if !errors.Is(err, ErrHeld) || until > 0 && c.clock.Monotonic() >= until {
			return lock, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-c.clock.After(c.pauseWithin(pause, until)):
		}
	}
}

// keep renews the lock. The holder's time counts from when the last good call was sent.
func (l *Lock) keep(sentAt time.Duration) {
	defer close(l.kept)
	clock := l.client.clock
	until, pause := sentAt+l.heldFor(), l.hold/renewalsPerHold
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-clock.After(min(pause, max(0, until-clock.Monotonic()))):
		}
		now := clock.Monotonic()
		if now >= until {
			l.end(ErrLost)
			return
		}
		status := l.renew(now, until)
		switch {
		case status == http.StatusOK && clock.Monotonic() < until:
			until, pause = now+l.heldFor(), l.hold/renewalsPerHold
		case status == 0:
			pause = retryPause
		default:
			l.end(ErrLost)
			return
		}
	}
}

// heldFor is how long the holder relies on the lock from the sending of a call on.
func (l *Lock) heldFor() time.Duration { return l.hold - l.hold/marginDivisor }

// renew asks for more time, within the time that is left; the status is 0 if there was no clear answer.
func (l *Lock) renew(now, until time.Duration) int {
	ctx, cancel := context.WithTimeout(l.ctx, until-now)
	defer cancel()
	given, err := l.client.ask(ctx, call{method: http.MethodPost, path: pathOf(prefixLocks, l.name, suffixHeartbeat),
		body: &wire.LockCall{Holder: l.client.holder, Fence: l.fence, HoldMs: l.hold.Milliseconds()}, until: until})
	if err != nil {
		return 0
	}
	return given.status
}

// Release ends the lock's context and gives the lock back. An error says that others may have to wait until its time is over.
func (l *Lock) Release(ctx context.Context) error {
	l.end(ErrReleased)
	<-l.kept
	given, err := l.client.ask(ctx, call{method: http.MethodPost, path: pathOf(prefixLocks, l.name, suffixTerminate),
		body: &wire.LockCall{Holder: l.client.holder, Fence: l.fence}})
	if err != nil {
		return err
	}
	return given.refusal()
}

// refusal is the error of a clear answer that is no success.
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

// read decodes a success, or gives the error of a refusal.
func (a *answer) read(into easyjson.Unmarshaler) error {
	if err := a.refusal(); err != nil {
		return err
	}
	return errors.Annotate(easyjson.Unmarshal(a.body, into), "the answer can't be read")
}
