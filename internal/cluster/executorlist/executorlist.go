// Package executorlist replicates the platform's list of executors to the processes of the cluster. The steward that leads the
// configuration's key reads the list from the platform (Poller), and so does every steward while no leader is known. All other processes get
// the list from a steward by long polling (Follower), which limits the number of calls to the platform. A process never replaces its list
// by an older one.
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

// mailboxSize is the number of updates that may wait for the goroutine of Run.
const mailboxSize = 64

// List is one version of the list of executors. It is immutable.
type List struct {
	Version   wire.ExecutorListVersion
	Executors []wire.ExecutorRecord
	// superseded is closed once the holder has a newer list.
	superseded chan struct{}
}

// OfService returns the executors of a service.
func (l *List) OfService(service string) []wire.ExecutorRecord {
	var matching []wire.ExecutorRecord
	for _, executor := range l.Executors {
		if executor.Service == service {
			matching = append(matching, executor)
		}
	}
	return matching
}

// Holder holds the newest list that the process knows. Only the goroutine of Run replaces the list. Any goroutine may read it.
type Holder struct {
	mailbox  *mailbox.Mailbox
	clock    clock.Clock
	current  atomic.Pointer[List]
	onChange func(*List)
}

// NewHolder creates a holder with an empty list. The goroutine of Run calls onChange with each newer list whose executors differ from those
// of the previous list.
func NewHolder(clock clock.Clock, onChange func(*List)) *Holder {
	holder := &Holder{mailbox: mailbox.New(mailboxSize), clock: clock, onChange: onChange}
	holder.current.Store(&List{superseded: make(chan struct{})})
	return holder
}

// Run processes updates until ctx is done.
func (h *Holder) Run(ctx context.Context) error {
	h.mailbox.Run(ctx, h.clock, mailbox.Owner{Every: time.Minute})
	return nil
}

// Current returns the newest list. Before the first update, it is an empty list of version zero.
func (h *Holder) Current() *List { return h.current.Load() }

// OfService returns the executors of a service in the newest list.
func (h *Holder) OfService(service string) []wire.ExecutorRecord {
	return h.Current().OfService(service)
}

// HasList reports whether the holder has received any list yet.
func (h *Holder) HasList() bool { return h.Current().Version != wire.ExecutorListVersion{} }

// Update replaces the list if the version is newer than that of the list. It does not wait until the list is replaced.
func (h *Holder) Update(version wire.ExecutorListVersion, executors []wire.ExecutorRecord) {
	h.mailbox.Post(func() { h.replace(version, executors) })
}

func (h *Holder) replace(version wire.ExecutorListVersion, executors []wire.ExecutorRecord) {
	previous := h.Current()
	if !previous.Version.Below(version) {
		return
	}
	next := &List{Version: version, Executors: executors, superseded: make(chan struct{})}
	h.current.Store(next)
	if !slices.Equal(previous.Executors, executors) {
		h.onChange(next)
	}
	close(previous.superseded)
}

// WaitForNewer waits for a list that is newer than a known version, until the timeout has passed or ctx is done. It returns the newest list
// in each case, which may still be of the known version.
func (h *Holder) WaitForNewer(ctx context.Context, known wire.ExecutorListVersion, timeout time.Duration) *List {
	expired := h.clock.After(timeout)
	for {
		list := h.Current()
		if known.Below(list.Version) {
			return list
		}
		select {
		case <-list.superseded:
		case <-expired:
			return list
		case <-ctx.Done():
			return list
		}
	}
}
