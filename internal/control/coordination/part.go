// Package coordination provides applications with locks, unique numbers and small cells of data that can be watched. It serves the
// names of one partition while this process leads the partition's replication key. It is a state machine without goroutines or sockets;
// controlkeys calls it on the goroutine of the key's engine.
//
// Names are distributed by hash over partitions. Each partition is a replicated key with its own leader. The cells of a group share a
// revision counter and are in the same partition. The tables of a Part contain every change as soon as it is proposed. Commits complete in
// the order in which they were proposed. An answer that depends on the tables waits for all commits that were pending when it was
// computed, so uncommitted state is never visible to callers. The answer to a watch doesn't wait, since it contains only durable puts.
//
// An answer to a committed change stays true whenever it arrives. Any other answer from the tables is sent only under the leader's lease,
// which is checked after the answer was computed. Together with the epoch of each commit, this prevents a leader that was frozen or
// partitioned from committing or answering once another process may lead. Refusals of invalid calls and for lack of capacity are sent at
// once, without a check of the lease.
//
// If the leadership ends after a call was proposed, the outcome of the call is unknown. All calls are safe to retry, so the caller of
// this package repeats them at the next leader.
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
	// cleanUpInterval is the interval at which expired locks, old events and unused groups are removed.
	cleanUpInterval = 5 * time.Second
	// maxDropsPerCommit limits the lock records, and likewise the event records, that one change deletes.
	maxDropsPerCommit = 500
)

// Leadership is the partition's view of the leadership of its key, implemented by replication.Leadership.
type Leadership interface {
	// Epoch returns the epoch of this leadership.
	Epoch() uint64
	// Commit proposes a change. done is called once the change is durable on a quorum, or with an error if the leadership is lost
	// first. Commits complete in the order in which they were proposed.
	Commit(ops []wire.Op, done func(error))
	// HasLease reports whether this leader's lease is valid, so that no other process can lead the key now.
	HasLease() bool
}

// Dependencies holds the dependencies and settings of a partition.
type Dependencies struct {
	Clock clock.Clock
	Log   logging.Logger
	// HistoryTime is the minimum time for which a put is kept for watchers, from when it is durable.
	HistoryTime time.Duration
	// ReleaseTime is the maximum time for which an expired lock may still be refused to other holders.
	ReleaseTime time.Duration
}

// Part handles the calls for the names of one replication key.
type Part struct {
	Dependencies
	key string
	// leadership is nil while another process leads the key. The tables and commits below are empty then.
	leadership Leadership
	commits    commitqueue.Queue
	locks      lockTable
	numbers    numberTable
	cells      cellTable
	// nextCleanUpAt is when Tick cleans up next, on the monotonic clock. See cleanUpInterval.
	nextCleanUpAt time.Duration
}

// New returns a partition of the given key. It is closed until Open is called.
func New(key string, dependencies Dependencies) *Part {
	return &Part{key: key, Dependencies: dependencies}
}

// Open takes over the leadership of the key, with its committed records as pairs. The hold time of each lock restarts in full. If a record
// is invalid, Open returns an error that names it, and the partition stays closed.
func (p *Part) Open(leadership Leadership, pairs []wire.Op) error {
	now := p.Clock.Monotonic()
	p.clear()
	for _, pair := range pairs {
		if err := p.load(pair, now); err != nil {
			return errors.Annotatef(err, "reading %s from disk", pair.Name)
		}
	}
	p.cells.finishLoading(now)
	p.leadership, p.nextCleanUpAt = leadership, now+cleanUpInterval
	p.Log.Info("locks, numbers and cells taken over", "key", p.key, "epoch", leadership.Epoch(), "locks", len(p.locks.byName),
		"numbers", len(p.numbers.byName), "cells", p.cells.cellCount, "events", p.cells.eventCount)
	return nil
}

// load reads one record into its table. Records of unknown kinds are ignored.
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

// Close ends the leadership of the key. Calls whose changes are not committed are answered with an unknown outcome, and waiting watchers
// are referred to the next leader.
func (p *Part) Close() {
	uncommitted, watchers := p.commits.TakeCallbacks(), p.cells.removeAllWatchers()
	p.clear()
	for _, callback := range uncommitted {
		callback(errClosed)
	}
	for _, watcher := range watchers {
		watcher.answer(notLeader)
	}
}

// errClosed is passed to the callbacks of commits that are pending when the leadership ends.
const errClosed = errors.ConstError("the leadership of the key has ended")

// clear resets the partition to its closed state, with empty tables.
func (p *Part) clear() {
	p.leadership, p.commits = nil, commitqueue.Queue{}
	p.locks, p.numbers, p.cells = newLockTable(), newNumberTable(), newCellTable()
}

// IsOpen reports whether this process leads the key.
func (p *Part) IsOpen() bool { return p.leadership != nil }

// Tick answers expired watches and runs the clean-up when it is due. It is called often and does nothing while the partition is closed.
func (p *Part) Tick() {
	if !p.IsOpen() {
		return
	}
	now := p.Clock.Monotonic()
	p.answerExpiredWatchers(now)
	if now < p.nextCleanUpAt {
		return
	}
	p.nextCleanUpAt = now + cleanUpInterval
	ops := p.locks.dropExpired(now)
	ops = append(ops, p.cells.dropOldEvents(now-p.HistoryTime)...)
	if len(ops) > 0 {
		p.commit(ops, func(error) {})
	}
	p.cells.dropUnusedGroups()
	p.updateGauges()
}

// CommandFor returns the method that handles calls with a verb, or nil if the verb is not one of this package.
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
