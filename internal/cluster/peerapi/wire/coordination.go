package wire

//go:generate go run github.com/mailru/easyjson/easyjson -all coordination.go

// CoordinationKeyPrefix begins the names of the keys that hold locks, numbers and cells of applications.
const CoordinationKeyPrefix = "coordination/"

// LockCall is what an application asks of the lock that the call's ID names. Fence is 0 in a call that acquires it; HoldMs is how
// long the caller takes itself for the holder, counted from when it sends the call.
type LockCall struct {
	Holder string `json:"holder"`
	Fence  uint64 `json:"fence-number,omitempty"`
	HoldMs int64  `json:"hold-time-ms,omitempty"`
}

// LockAnswer gives the fencing token of a lock that was acquired.
type LockAnswer struct {
	Fence uint64 `json:"fence-number"`
}

// NumberAnswer gives a number that is above all that were given under its name.
type NumberAnswer struct {
	Value uint64 `json:"value"`
}

// PutCall puts a value into the cell that the call's ID names, if the cell is at the expected revision; 0 expects no cell.
type PutCall struct {
	Value    string `json:"value"`
	Expected uint64 `json:"enabled,omitempty"`
}

// RevisionAnswer gives the revision of a cell: that of the put, or with a refused put the one that it has. 0 is no cell.
type RevisionAnswer struct {
	Revision uint64 `json:"revision"`
}

// CellAnswer gives what a cell holds.
type CellAnswer struct {
	Value    string `json:"value"`
	Revision uint64 `json:"revision"`
}

// WatchAnswer gives all puts in a group above the revision that the call's Base names and up to Revision, in rising order.
type WatchAnswer struct {
	Events   []CellEvent `json:"events"`
	Revision uint64      `json:"revision"`
}

// CellEvent is one put.
type CellEvent struct {
	Name     string `json:"name"`
	Value    string `json:"value"`
	Revision uint64 `json:"revision"`
}

// CoordinationCall asks a steward what it knows of locks, numbers and cells as the leader of their keys.
type CoordinationCall struct{}

// CoordinationReports has a report of each such key that the steward leads.
type CoordinationReports struct {
	Reports []CoordinationReport `json:"reports,omitempty"`
	// IsOff tells that this process keeps no locks, numbers and cells.
	IsOff bool `json:"off,omitempty"`
}

// CoordinationReport is what the leader of a key with locks, numbers and cells tells an operator of it.
type CoordinationReport struct {
	Key      string       `json:"key"`
	Epoch    uint64       `json:"epoch"`
	Locks    []LockReport `json:"locks"`
	Numbers  int          `json:"numbers"`
	Cells    int          `json:"cells"`
	Events   int          `json:"events"`
	Watchers int          `json:"watchers"`
	Bytes    int          `json:"bytes"`
}

// LockReport is a lock that is held: by whom, under which fencing token, for how long by now, and for how long at least if the
// holder does not renew it.
type LockReport struct {
	Name        string `json:"name"`
	Holder      string `json:"holder"`
	Fence       uint64 `json:"fence-number"`
	HeldMs      int64  `json:"held-ms"`
	RemainingMs int64  `json:"remaining-ms"`
}
