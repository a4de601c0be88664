// Package mailbox runs the one goroutine that owns a table.
package mailbox

import (
	"context"
	"runtime"
	"time"

	"gannetline/internal/platform/clock"
)

// Mailbox is a bounded queue of functions that one goroutine, the owner of a table, runs one after another. Nothing
// else touches the table, so it needs no lock. Any goroutine may call TryPost, and any but the owner Post and Ask; Run, Drain
// and Step are for the owner alone.
type Mailbox struct {
	messages chan func()
	// first holds functions that go before all others; only an Outbox fills it.
	first chan func()
}

// New makes a mailbox in which so many functions may wait.
func New(size int) *Mailbox {
	return &Mailbox{messages: make(chan func(), size), first: make(chan func(), size)}
}

// Post queues a function; it blocks while the mailbox is full, so the owner itself must not call it.
func (m *Mailbox) Post(message func()) { m.messages <- message }

// TryPost queues a function unless the mailbox is full, and says whether it did. It never blocks.
func (m *Mailbox) TryPost(message func()) bool {
	select {
	case m.messages <- message:
		return true
	default:
		return false
	}
}

// Owner says how the goroutine runs beside the mailbox: Tick is called every so often, Settle after each burst of
// functions and each tick; both may be nil. OwnCore binds the goroutine to an operating system thread.
//
// Pause is the least time between two bursts: what is posted sooner waits, and shares the next Settle. What an Outbox sends
// never waits. A function that comes after a longer quiet is run at once, so that only a busy owner gathers.
type Owner struct {
	Every   time.Duration
	Tick    func()
	Settle  func()
	OwnCore bool
	Pause   time.Duration
}

// Run owns the table until ctx is done; Settle is called after each burst of messages.
func (m *Mailbox) Run(ctx context.Context, clock clock.Clock, owner Owner) {
	if owner.OwnCore {
		runtime.LockOSThread()
		defer runtime.UnlockOSThread()
	}
	ticks := clock.After(owner.Every)
	pacing := pacing{clock: clock, pause: owner.Pause}
	for {
		select {
		case <-ctx.Done():
			return
		case message := <-m.first:
			message()
			m.drainFirst()
			if pacing.mustWait() {
				continue
			}
			m.Drain()
		case message := <-pacing.open(m.messages):
			m.drainFirst()
			message()
			if pacing.mustWait() {
				continue
			}
			m.Drain()
		case <-pacing.over:
			pacing.over = nil
			m.Drain()
		case <-ticks:
			m.drainFirst()
			if owner.Tick != nil {
				owner.Tick()
			}
			ticks = clock.After(owner.Every)
		}
		if owner.Settle != nil {
			owner.Settle()
		}
		pacing.noteSettled()
	}
}

// drainFirst runs what an outbox has sent and that waits.
func (m *Mailbox) drainFirst() {
	for {
		select {
		case message := <-m.first:
			message()
		default:
			return
		}
	}
}

// Drain runs what waits, and no more than the box holds.
func (m *Mailbox) Drain() {
	for range cap(m.messages) {
		if !m.Step() {
			return
		}
	}
}

// Step runs the next function that waits, and says whether there was one.
func (m *Mailbox) Step() bool {
	select {
	case message := <-m.first:
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

// Ask runs the question on the owner's goroutine and waits for its answer. A question whose asker has given up by the time
// of its turn is not run, so that an owner that has fallen behind spends no time on answers that nobody waits for.
func Ask[T any](ctx context.Context, m *Mailbox, question func(answer func(T))) (T, error) {
	answers := make(chan T, 1)
	answer := func(value T) {
		select {
		case answers <- value:
		default:
		}
	}
	var none T
	message := func() {
		if ctx.Err() == nil {
			question(answer)
		}
	}
	select {
	case m.messages <- message:
	case <-ctx.Done():
		return none, ctx.Err()
	}
	select {
	case value := <-answers:
		return value, nil
	case <-ctx.Done():
		return none, ctx.Err()
	}
}
