// Package coordination keeps locks, numbers and small cells of applications, and lets them watch cells, while this process leads the
// key of a part. It is a state machine without goroutines and sockets: controlkeys calls it on the goroutine of the key's engine.
//
// Names are divided by hash into parts, each a replicated key with a leader of its own; the cells of a group, which share one count of
// revisions, are in one part. The tables of a Part hold every change from its proposal on. Commits end in the order of their
// proposals, and no answer overtakes the commits that were pending when it was worked out, so that nothing uncommitted is ever shown.
//
// An answer that rests on a commit is true whenever it arrives. Any other answer is given only while the lease holds, and the lease is
// asked for after the answer was worked out. Together with the epoch of each commit this makes a leader that was frozen or cut off
// harmless: it can neither commit nor answer once another may lead.
//
// A call that was proposed and whose leadership ended has an unknown outcome. All calls may be repeated without harm, so that the
// caller of this package asks the next leader again.
package coordination

import (
	"strings"
	"time"

	"github.com/juju/errors"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/commitqueue"
	"gannetline/internal/platform/logging"
)

const (
	// cleanUpInterval is how often what is no longer needed is dropped.
	cleanUpInterval = 5 * time.Second
	// maxDropsPerCommit is how many records one change drops at most.
	maxDropsPerCommit = 500
)

// Leadership is what a part needs of the leadership of its key; replication.Leadership is the real one.
type Leadership interface {
	// Epoch is that of the leadership.
	Epoch() uint64
	// Commit makes a change durable on a quorum; done gets an error if the leadership is lost first. Commits end in their order.
	Commit(ops []wire.Op, done func(error))
	// HasLease tells whether no other process can lead the key now.
	HasLease() bool
}

// Surroundings are what a part needs beyond its key.
type Surroundings struct {
	Clock clock.Clock
	Log   logging.Logger
	// HistoryTime is how long a put is kept for watchers at least, from when it is durable.
	HistoryTime time.Duration
	// ReleaseTime is how long after its holder's time a lock may still be refused to others.
	ReleaseTime time.Duration
}

// Part decides on the calls about the names of one key.
type Part struct {
	Surroundings
	key string
	// leadership is nil while the key is led elsewhere; everything below is empty then.
	leadership Leadership
	commits    commitqueue.Queue
	locks      lockTable
	numbers    numberTable
	cells      cellTable
	// nextCleanUp is when what is no longer needed is dropped again.
	nextCleanUp time.Duration
}

// New makes a part that is closed until Open.
func New(key string, surroundings Surroundings) *Part {
	return &Part{key: key, Surroundings: surroundings}
}

// Open takes over the key with what is committed of it; an error names the record that can't be read. The time of each lock begins
// anew, in full.
func (p *Part) Open(leadership Leadership, pairs []wire.Op) error {
	now := p.Clock.Monotonic()
	p.clear()
	for _, pair := range pairs {
		if err := p.load(pair, now); err != nil {
			return errors.Annotatef(err, "reading %s from disk", pair.Name)
		}
	}
	p.cells.finishLoading(now)
	p.leadership, p.nextCleanUp = leadership, now+cleanUpInterval
	p.Log.Info("locks, numbers and cells taken over", "key", p.key, "epoch", leadership.Epoch(), "locks", len(p.locks.byName),
		"numbers", len(p.numbers.byName), "cells", p.cells.count, "events", p.cells.eventCount)
	return nil
}

// load takes one record.
func (p *Part) load(pair wire.Op, now time.Duration) error {
	prefix, name, _ := strings.Cut(pair.Name, "/")
	switch prefix {
	case recordFence:
		return p.locks.loadFence(pair.Value)
	case recordLock:
		return p.locks.load(name, pair.Value, now, p.ReleaseTime)
	case recordNumber:
		return p.numbers.load(name, pair.Value)
	case recordCell:
		return p.cells.loadCell(name, pair.Value)
	case recordEvent:
		return p.cells.loadEvent(pair.Value)
	}
	return nil
}

// Close gives up the key: calls whose changes are not committed end with an unknown outcome, and waiting watches are sent to the
// next leader.
func (p *Part) Close() {
	uncommitted, watchers := p.commits.TakeCallbacks(), p.cells.takeWatchers()
	p.clear()
	for _, callback := range uncommitted {
		callback(errClosed)
	}
	for _, watcher := range watchers {
		watcher.answer(notLeader)
	}
}

// errClosed ends what was not committed when the leadership ended.
const errClosed = errors.ConstError("the part is led elsewhere")

func (p *Part) clear() {
	p.leadership, p.commits = nil, commitqueue.Queue{}
	p.locks, p.numbers, p.cells = newLockTable(), newNumberTable(), newCellTable()
}

// IsOpen tells whether the key is led here.
func (p *Part) IsOpen() bool { return p.leadership != nil }

// Tick does what falls due; it is called often.
func (p *Part) Tick() {
	if !p.IsOpen() {
		return
	}
	now := p.Clock.Monotonic()
	p.answerDueWatchers(now)
	if now < p.nextCleanUp {
		return
	}
	p.nextCleanUp = now + cleanUpInterval
	ops := p.locks.dropExpired(now)
	ops = append(ops, p.cells.dropOldEvents(now-p.HistoryTime)...)
	if len(ops) > 0 {
		p.commit(ops, func(error) {})
	}
	p.cells.dropUnusedGroups()
	p.reportSize()
}

// CommandFor gives the command of a verb, or nil if there is none.
func (p *Part) CommandFor(verb wire.Verb) func(*wire.ClientCall, func(wire.ClientAnswer)) {
	switch verb {
	case wire.VerbAcquire:
		return p.Acquire
	case wire.VerbRenew:
		return p.Renew
	case wire.VerbRelease:
		return p.Release
	case wire.VerbTakeNumber:
		return p.TakeNumber
	case wire.VerbPut:
		return p.Put
	case wire.VerbGet:
		return p.Get
	case wire.VerbWatch:
		return p.Watch
	case wire.VerbCoordination:
		return p.Report
	}
	return nil
}
