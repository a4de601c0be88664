// Package mailbox runs functions one after another on the goroutine that owns a table, so that the table needs no lock.
package mailbox

import (
	"context"
	"runtime"
	"time"

	"gannetline/internal/platform/clock"
)

// Mailbox is a bounded queue of functions. One goroutine, the owner of a table, runs them one after another. No other goroutine accesses the
// table, so it needs no lock. Any goroutine may call TryPost, any but the owner may call Post and Ask, and only the owner may call Run,
// Drain and Step.
type Mailbox struct {
	messages chan func()
	// urgent holds the functions that run before those of messages. Only an Outbox fills it.
	urgent chan func()
}

// New creates a mailbox for at most size pending functions, and as many pending functions of an Outbox.
func New(size int) *Mailbox {
	return &Mailbox{messages: make(chan func(), size), urgent: make(chan func(), size)}
}

// Post queues a function. It blocks while the mailbox is full, so the owner must not call it.
func (m *Mailbox) Post(message func()) { m.messages <- message }

// TryPost queues a function unless the mailbox is full, and reports whether it did. It never blocks.
func (m *Mailbox) TryPost(message func()) bool {
	select {
	case m.messages <- message:
		return true
	default:
		return false
	}
}

// Owner configures the goroutine that runs a mailbox.
type Owner struct {
	// Every is the time between two calls of Tick.
	Every time.Duration
	// Tick is called at regular intervals. It may be nil.
	Tick func()
	// Settle is called after each burst of functions and at each tick, also if Tick is nil. It may be nil.
	Settle func()
	// LockThread locks the goroutine to an operating system thread.
	LockThread bool
	// Pause is the minimum time between two bursts, so that a busy owner runs functions in batches. Of the functions that are posted before
	// the end of a pause, the first runs at once and the others wait until its end. All of them share the next call of Settle. Functions of
	// an Outbox never wait, but share that call too. If a pause passes without functions, the next function doesn't wait.
	Pause time.Duration
}

// Run runs the functions and the ticks on the calling goroutine until ctx is done.
func (m *Mailbox) Run(ctx context.Context, clock clock.Clock, owner Owner) {
	if owner.LockThread {
		runtime.LockOSThread()
		defer runtime.UnlockOSThread()
	}
	ticks := clock.After(owner.Every)
	pacing := pacing{clock: clock, pause: owner.Pause}
	for {
		select {
		case <-ctx.Done():
			return
		case message := <-m.urgent:
			message()
			m.drainUrgent()
			if pacing.mustWait() {
				continue
			}
			m.Drain()
		case message := <-pacing.availableMessages(m.messages):
			m.drainUrgent()
			message()
			if pacing.mustWait() {
				continue
			}
			m.Drain()
		case <-pacing.pauseEnd:
			pacing.pauseEnd = nil
			m.Drain()
		case <-ticks:
			m.drainUrgent()
			if owner.Tick != nil {
				owner.Tick()
			}
			ticks = clock.After(owner.Every)
		}
		if owner.Settle != nil {
			owner.Settle()
		}
		pacing.recordSettled()
	}
}

// drainUrgent runs all pending functions of the outbox.
func (m *Mailbox) drainUrgent() {
	for {
		select {
		case message := <-m.urgent:
			message()
		default:
			return
		}
	}
}

// Drain runs the pending functions, but at most as many as fit into the mailbox.
func (m *Mailbox) Drain() {
	for range cap(m.messages) {
		if !m.Step() {
			return
		}
	}
}

// Step runs the next pending function, and reports whether there was one.
func (m *Mailbox) Step() bool {
	select {
	case message := <-m.urgent:
		message()
		return true
	default:
	}
	select {
	case message := <-m.messages:
		message()
		return true
	default:
		return false
	}
}

// Ask runs a question on the owner's goroutine and waits for its answer, which the question may give later. It returns the error of ctx once
// that is done. A question whose ctx is done before it runs is skipped, so that an owner with a backlog spends no time on abandoned
// questions.
func Ask[T any](ctx context.Context, m *Mailbox, question func(answer func(T))) (T, error) {
	answers := make(chan T, 1)
	answer := func(value T) {
		select {
		case answers <- value:
		default:
		}
	}
	var zero T
	message := func() {
		if ctx.Err() == nil {
			question(answer)
		}
	}
	select {
	case m.messages <- message:
	case <-ctx.Done():
		return zero, ctx.Err()
	}
	select {
	case value := <-answers:
		return value, nil
	case <-ctx.Done():
		return zero, ctx.Err()
	}
}
