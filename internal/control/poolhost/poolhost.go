// Package poolhost runs a pool, or a lots partition, on a goroutine of its own. The replication engine, which elects the leader and
// replicates the changes, runs on another goroutine. So the engine keeps renewing its lease while the pool loads, places tasks or handles
// a burst of exchanges, however long that takes. Names and comments in this package say "pool" for a lots partition, too.
package poolhost

import (
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/replication"
	"gannetline/internal/platform/mailbox"
	"gannetline/internal/scheduling/scheduler"
)

// mailboxSize is how many calls may wait for the pool's goroutine.
const mailboxSize = 1024

// Pool is the state machine that a Host runs: a scheduler.Pool or a lots.Part. Its methods run on the goroutine of the host's Mailbox.
type Pool interface {
	// Open starts a leadership of the key with all its committed pairs.
	Open(leadership scheduler.Leadership, pairs []wire.Op)
	// Close ends the leadership.
	Close()
}

// Host is the replication.StateMachine of a pool. The engine calls it on the engine's goroutine. The host passes the calls on to the pool's
// goroutine, which runs the functions of Mailbox.
type Host struct {
	pool          Pool
	engineMailbox *mailbox.Mailbox
	poolMailbox   *mailbox.Mailbox
	outbox        *mailbox.Outbox
}

// New creates the host of a pool. The engine runs on the goroutine of engineMailbox.
func New(pool Pool, engineMailbox *mailbox.Mailbox) *Host {
	poolMailbox := mailbox.New(mailboxSize)
	return &Host{pool: pool, engineMailbox: engineMailbox, poolMailbox: poolMailbox, outbox: mailbox.NewOutbox(poolMailbox)}
}

// Mailbox returns the mailbox of the pool's goroutine. The caller has to run it.
func (h *Host) Mailbox() *mailbox.Mailbox { return h.poolMailbox }

// Flush posts the calls for which the pool's mailbox was full before. The engine's goroutine calls it after each batch of its own calls.
func (h *Host) Flush() { h.outbox.Flush() }

// Open makes the pool load the committed pairs, unless the leadership has ended by then. Calls that arrive meanwhile wait in the pool's
// mailbox.
func (h *Host) Open(leadership *replication.Leadership, pairs []wire.Op) error {
	h.outbox.Send(func() {
		if leadership.IsOpen() {
			h.pool.Open(&hostedLeadership{leadership, h}, pairs)
		}
	})
	return nil
}

// Close ends the pool's leadership. The pool receives the outcomes of the commits that were pending in the engine before it is closed.
// Commits that the pool has sent but the engine has not received yet fail after that.
func (h *Host) Close() { h.outbox.Send(h.pool.Close) }

// hostedLeadership is a leadership that the pool's goroutine may use. It passes commits to the engine's goroutine.
type hostedLeadership struct {
	*replication.Leadership
	host *Host
}

// Commit makes a change durable on a quorum of the voters. The function done runs on the pool's goroutine.
func (l *hostedLeadership) Commit(ops []wire.Op, done func(error)) {
	l.host.engineMailbox.Post(func() {
		l.Leadership.Commit(ops, func(err error) { l.host.outbox.Send(func() { done(err) }) })
	})
}
