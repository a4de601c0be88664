// Package executorlist keeps the list of executors where the platform has it. One steward at a time, the one that leads the
// configuration's key, reads the list (Poller), so that the calls of all processes together stay few; all others wait at a steward
// for a newer one (Follower). A process never goes back to an older list.
package executorlist

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/mailbox"
)

const mailboxSize = 64

// List is one state of the list; it is never changed after it is made.
type List struct {
	Version   wire.ExecutorListVersion
	Executors []wire.ExecutorRecord
	// superseded is closed once there is a newer list.
	superseded chan struct{}
}

// OfService gives the executors of one service.
func (l *List) OfService(service string) []wire.ExecutorRecord {
	var all []wire.ExecutorRecord
	for _, executor := range l.Executors {
		if executor.Service == service {
			all = append(all, executor)
		}
	}
	return all
}

// Holder holds the newest list that the process knows. One goroutine, that of Run, replaces it; any goroutine may read it.
type Holder struct {
	mailbox  *mailbox.Mailbox
	clock    clock.Clock
	current  atomic.Pointer[List]
	onChange func(*List)
}

// NewHolder makes a holder with an empty list; onChange gets each newer one, on the goroutine of Run.
func NewHolder(clock clock.Clock, onChange func(*List)) *Holder {
	holder := &Holder{mailbox: mailbox.New(mailboxSize), clock: clock, onChange: onChange}
	holder.current.Store(&List{superseded: make(chan struct{})})
	return holder
}

// Run owns the holder until ctx is done.
func (h *Holder) Run(ctx context.Context) error {
	h.mailbox.Run(ctx, h.clock, mailbox.Owner{Every: time.Minute})
	return nil
}

// Current gives the newest list; it is empty, with a version of zero, before the first.
func (h *Holder) Current() *List { return h.current.Load() }

// OfService gives the executors of one service, as the newest list has them.
func (h *Holder) OfService(service string) []wire.ExecutorRecord {
	return h.Current().OfService(service)
}

// HasList tells whether any list has come yet.
func (h *Holder) HasList() bool { return h.Current().Version != wire.ExecutorListVersion{} }

// Update takes a list, unless a newer one is known.
func (h *Holder) Update(version wire.ExecutorListVersion, executors []wire.ExecutorRecord) {
	h.mailbox.Post(func() { h.replace(version, executors) })
}

func (h *Holder) replace(version wire.ExecutorListVersion, executors []wire.ExecutorRecord) {
	before := h.Current()
	if !before.Version.Below(version) {
		return
	}
	next := &List{Version: version, Executors: executors, superseded: make(chan struct{})}
	h.current.Store(next)
	if !slices.Equal(before.Executors, executors) {
		h.onChange(next)
	}
	close(before.superseded)
}

// After waits until there is a list that is newer than a version, for as long as the limit or until ctx is done, and gives the list
// that is known then.
func (h *Holder) After(ctx context.Context, known wire.ExecutorListVersion, limit time.Duration) *List {
	deadline := h.clock.After(limit)
	for {
		list := h.Current()
		if known.Below(list.Version) {
			return list
		}
		select {
		case <-list.superseded:
		case <-deadline:
			return list
		case <-ctx.Done():
			return list
		}
	}
}
