// Package coordinationcheck judges what applications saw of locks, numbers and cells: a History holds their calls, and Judge names what
// must not happen. The model check and the soak record histories, each with its own callers.
//
// Times are those of one steady clock. A call is judged by when it was sent and when its answer came: what was acknowledged before a
// call was sent must show in its answer, and what overlaps may come in either order.
package coordinationcheck

import (
	"time"

	"gannetline/internal/cluster/peerapi/wire"
)

// Hold is a time in which a holder counted itself the holder of a lock: from the answer to its call until it let go, died, was told
// that the lock is lost, or its own time was over.
type Hold struct {
	Lock, Holder string
	Fence        uint64
	SentAt       time.Duration
	From, To     time.Duration
}

// Number is a number that was given.
type Number struct {
	Name       string
	Value      uint64
	SentAt, At time.Duration
}

// Put is one put, over all times that it was sent. Values are unique.
type Put struct {
	Name, Value string
	Expected    uint64
	SentAt      time.Duration
	// Answers are the clear answers, in their order; IsOpen tells that an attempt got none, and IsGivenUp that all attempts were refused
	// as not done.
	Answers           []PutAnswer
	IsOpen, IsGivenUp bool
}

// PutAnswer is a clear answer to a put: its revision, or with a refusal that of its cell.
type PutAnswer struct {
	At       time.Duration
	IsTaken  bool
	Revision uint64
}

// Read is what a cell held; revision 0 is no cell.
type Read struct {
	Name, Value string
	Revision    uint64
	SentAt, At  time.Duration
}

// Watch is the answer to a watch.
type Watch struct {
	Group      string
	Above      uint64
	Events     []wire.CellEvent
	Revision   uint64
	SentAt, At time.Duration
}

// Gone is a watch that was told that the puts after a revision are no longer kept; the revision was given at GivenAt.
type Gone struct {
	Group           string
	Above           uint64
	GivenAt, SentAt time.Duration
}

// History is all that applications saw.
type History struct {
	Holds   []Hold
	Numbers []Number
	Puts    []*Put
	Reads   []Read
	Watches []Watch
	Gone    []Gone
}

// Violation is something that must not happen.
type Violation struct {
	// Oracle names the rule.
	Oracle string
	At     time.Duration
	Text   string
}

// The oracles.
const (
	// OracleOneHolder: two holders at one moment.
	OracleOneHolder = "one holder"
	// OracleFences: a fencing token that is not above one that another holder had before, or that two holders have.
	OracleFences = "fences rise"
	// OracleNumbers: a number given twice, or not above one that was given before.
	OracleNumbers = "numbers rise"
	// OracleRevisions: a revision of two puts, a put with two revisions, or one not above what was acknowledged before.
	OracleRevisions = "revisions rise"
	// OracleShown: a value that nobody put there, or a revision that the cell never had.
	OracleShown = "shown values were put"
	// OracleRefused: a put that was refused and took effect.
	OracleRefused = "refused is never shown"
	// OracleStale: an answer older than what was acknowledged before.
	OracleStale = "no stale read"
	// OracleWatches: puts that don't rise, or are left out.
	OracleWatches = "watches are complete"
	// OracleHistory: puts that are gone too soon.
	OracleHistory = "history is kept"
	// OracleLinearizable: calls about a cell that fit no order.
	OracleLinearizable = "linearizable"
)
