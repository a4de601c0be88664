// Package localproxy stands between the leader of a pool and the executor on its own machine: it carries orders,
// renews the lease of its runs by what it was granted, and reports what the executor says.
package localproxy

import (
	"time"

	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/logging"
)

// Table is what a local proxy knows of its executor and of the leader's orders. It is owned by one goroutine; the loops
// ask it what to do next and tell it what came back.
type Table struct {
	clock   clock.Clock
	log     logging.Logger
	service string
	domain  string
	name    string
	// current is the incarnation of the executor that sent a heartbeat last; nil while there is none.
	current *executorState
	// others have sent heartbeats as well and may be over; the next answer of the current incarnation shows it.
	others []*executorState
	// gone are the IDs of the last incarnations that are over.
	gone []string
	// deregistered are those of incarnations that this process does not know; a heartbeat of theirs may still come.
	deregistered []string
	drainTime    time.Duration
	onReportDue  func()
	onListDue    func()
	onAckDue     func()
	onRunStarted func()
	session      uint64
	// evacuation tells whether, and since when, the zone is to be emptied.
	evacuation func() (since time.Duration, isOrdered bool)
	// evacuationGrace is for how long after that launches are still carried out.
	evacuationGrace time.Duration
}

// TableOption changes how a table is made.
type TableOption func(*Table)

// WithSession lets only changes travel to the leader; the number should rise from one process beside the executor to the next.
func WithSession(number uint64) TableOption { return func(t *Table) { t.session = number } }

// WithDrainTime says how long an executor serves on at least once it has said that it leaves.
func WithDrainTime(length time.Duration) TableOption { return func(t *Table) { t.drainTime = length } }

// WithStartSignal is called, instead of the signal for a report, for a change that can wait for a moment: that a run was started.
func WithStartSignal(onStart func()) TableOption { return func(t *Table) { t.onRunStarted = onStart } }

// NewTable makes a table without an executor. The functions signal that there is something to do: onReportDue when the
// lease should be renewed or a report sent, onListDue when the runs should be listed anew, onAckDue when an end is to be
// acknowledged. They must not block.
func NewTable(clock clock.Clock, log logging.Logger, service, domain, name string, onReportDue, onListDue, onAckDue func(), options ...TableOption) *Table {
	table := &Table{clock: clock, log: log, service: service, domain: domain, name: name, onReportDue: onReportDue, onListDue: onListDue, onAckDue: onAckDue,
		onRunStarted: onReportDue, drainTime: defaultDrainTime, evacuation: noEvacuation}
	for _, option := range options {
		option(table)
	}
	return table
}

func (t *Table) now() time.Duration { return t.clock.Monotonic() }
