// Package coordinationcheck checks the calls that applications made to locks, numbers and cells. A History records these calls with their
// answers, and Judge returns the violations of the guarantees. The model check and the soak record histories, each with its own callers.
//
// All times are from one monotonic clock. A call is checked by the times when it was sent and when its answer arrived: changes that were
// acknowledged before a call was sent must be visible in its answer, and overlapping calls may take effect in either order.
package coordinationcheck

import (
	"time"

	"gannetline/internal/cluster/peerapi/wire"
)

// Hold is a time in which a client believed that it held a lock: from the answer to its call, until it released the lock, stopped, received
// the answer that the lock is lost, or its own lease time was over.
type Hold struct {
	Lock, Holder string
	Fence        uint64
	SentAt       time.Duration
	From, To     time.Duration
}

// Number is a number that was issued to a client.
type Number struct {
	Name       string
	Value      uint64
	SentAt, At time.Duration
}

// Put is one put with all its attempts. Values are unique. Expected is the revision that the cell must have for the put to be
// accepted.
type Put struct {
	Name, Value string
	Expected    uint64
	SentAt      time.Duration
	// Answers are the definite answers in their order. IsOpen is set if an attempt got no definite answer; the soak also sets it
	// if its retries end without one. IsGivenUp is set if the client gave up after all attempts were refused as not carried out.
	Answers           []PutAnswer
	IsOpen, IsGivenUp bool
}

// PutAnswer is a definite answer to a put. If the put is accepted, IsTaken is true and Revision is that of the put. If it is
// refused, Revision is the current one of the cell.
type PutAnswer struct {
	At       time.Duration
	IsTaken  bool
	Revision uint64
}

// Read is the content of a cell in the answer to a read. Revision 0 means that there is no cell.
type Read struct {
	Name, Value string
	Revision    uint64
	SentAt, At  time.Duration
}

// Watch is the answer to a watch of a group: the events after the revision Above, up to Revision. With Above 0
// and no events, the answer only gives the current revision.
type Watch struct {
	Group      string
	Above      uint64
	Events     []wire.CellEvent
	Revision   uint64
	SentAt, At time.Duration
}

// Gone is a watch that was refused because the puts after a revision are no longer kept. The client received that revision at GivenAt.
type Gone struct {
	Group           string
	Above           uint64
	GivenAt, SentAt time.Duration
}

// History holds all calls of applications with their answers.
type History struct {
	Holds   []Hold
	Numbers []Number
	Puts    []*Put
	Reads   []Read
	Watches []Watch
	Gone    []Gone
}

// Violation is a breach of a guarantee.
type Violation struct {
	// Oracle names the rule.
	Oracle string
	At     time.Duration
	Text   string
}

// The names of the oracles, each with what it finds.
const (
	// OracleOneHolder finds two holders of a lock at one time.
	OracleOneHolder = "one holder"
	// OracleFences finds a fencing token that is not above an earlier one of another holder, or that two holders have.
	OracleFences = "fences rise"
	// OracleNumbers finds a number that was issued twice, or that is not above one issued before.
	OracleNumbers = "numbers rise"
	// OracleRevisions finds a revision of two puts, a put with two revisions, or a revision not above those acknowledged before.
	OracleRevisions = "revisions rise"
	// OracleShown finds a value that nobody put into the cell, or a revision that the cell never had.
	OracleShown = "shown values were put"
	// OracleRefused finds a put that was refused and took effect.
	OracleRefused = "refused is never shown"
	// OracleStale finds an answer older than a put that was acknowledged before the call.
	OracleStale = "no stale read"
	// OracleWatches finds a watch that leaves out puts, or returns them out of order.
	OracleWatches = "watches are complete"
	// OracleHistory finds puts that were dropped before the end of their retention.
	OracleHistory = "history is kept"
	// OracleLinearizable finds calls to a cell that fit no sequential order.
	OracleLinearizable = "linearizable"
)
