// Package localproxy connects the leader of a pool with the executor on the same machine. It delivers the leader's orders,
// renews the lease of the executor's runs within the leader's grants, and reports the executor's state to the leader.
package localproxy

import (
	"time"

	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/logging"
)

// Table holds a local proxy's state: the incarnations of its executor and the leader's orders. It does no I/O and belongs to one
// goroutine; the proxy's loops get their next call from it and give it the results.
type Table struct {
	clock   clock.Clock
	log     logging.Logger
	service string
	domain  string
	name    string
	// current is the incarnation of the executor that sent the last heartbeat, or the latest of others once that one has ended. It is nil
	// before the first heartbeat and after the last known incarnation has ended.
	current *executorState
	// others are the earlier current incarnations that are not known to have ended. They count as gone once the current incarnation answers
	// a hold that was composed after it became current.
	others []*executorState
	// gone are the IDs of the last maxGone incarnations that have ended.
	gone []string
	// deregistered are the IDs of the last maxGone incarnations that deregistered while this process did not know them. Their heartbeats may
	// still arrive.
	deregistered []string
	// drainTime is how long an executor is expected to serve after it deregistered without draining first.
	drainTime time.Duration
	// These functions signal the proxy's loops; see NewTable and WithStartSignal.
	onReportDue  func()
	onListDue    func()
	onAckDue     func()
	onRunStarted func()
	// session is the number of this proxy process (see WithSession). 0 disables the numbered changes (see feed).
	session uint64
	// evacuation reports whether an evacuation of the zone is ordered, and when this process was informed of it, on the table's clock.
	evacuation func() (since time.Duration, isOrdered bool)
	// evacuationGrace is how long after that time launch orders are still carried out.
	evacuationGrace time.Duration
}

// TableOption configures a table.
type TableOption func(*Table)

// WithSession sets the number of this proxy process, so that exchanges carry only what has changed. The number should be higher than that of
// any earlier proxy process on this machine.
func WithSession(number uint64) TableOption { return func(t *Table) { t.session = number } }

// WithDrainTime sets how long an executor that deregisters without draining first keeps serving, at least.
func WithDrainTime(length time.Duration) TableOption { return func(t *Table) { t.drainTime = length } }

// WithStartSignal sets the function that is called instead of onReportDue when a run was started, as that report can be delayed.
func WithStartSignal(onStart func()) TableOption { return func(t *Table) { t.onRunStarted = onStart } }

// NewTable returns a table without an executor. The functions must not block. onReportDue is called when a report should be sent
// to the leader or its grant renewed, onListDue when the leader wants a complete list of runs, and onAckDue when a hold is due at
// once, for example to acknowledge ends to the executor.
func NewTable(clock clock.Clock, log logging.Logger, service, domain, name string, onReportDue, onListDue, onAckDue func(), options ...TableOption) *Table {
	table := &Table{clock: clock, log: log, service: service, domain: domain, name: name, onReportDue: onReportDue, onListDue: onListDue, onAckDue: onAckDue,
		onRunStarted: onReportDue, drainTime: defaultDrainTime, evacuation: noEvacuation}
	for _, option := range options {
		option(table)
	}
	return table
}

func (t *Table) now() time.Duration { return t.clock.Monotonic() }
