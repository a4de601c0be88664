package wire

//go:generate go run github.com/mailru/easyjson/easyjson -all coordination.go

// CoordinationKeyPrefix is the prefix of the keys that hold locks, numbers and cells of applications.
const CoordinationKeyPrefix = "coordination/"

// LockCall acquires, renews or releases the lock that the ID of the ClientCall names. Fence is the fencing token, or 0 in a call that
// acquires the lock. HoldMs is how long the caller considers itself the holder, counted from the time of the call.
type LockCall struct {
	Holder string `json:"holder"`
	Fence  uint64 `json:"fence-number,omitempty"`
	HoldMs int64  `json:"hold-time-ms,omitempty"`
}

// LockAnswer holds the fencing token of an acquired lock.
type LockAnswer struct {
	Fence uint64 `json:"fence-number"`
}

// NumberAnswer holds a number that is above all earlier ones of its sequence.
type NumberAnswer struct {
	Value uint64 `json:"value"`
}

// PutCall writes a value to the cell that the ID of the ClientCall names if the cell is at the Expected revision. 0 expects that there is no
// cell.
type PutCall struct {
	Value    string `json:"value"`
	Expected uint64 `json:"enabled,omitempty"`
}

// RevisionAnswer holds the revision of the cell after a put, or its current one if the put was refused. 0 means that there is no cell.
type RevisionAnswer struct {
	Revision uint64 `json:"revision"`
}

// CellAnswer holds the value of a cell and its revision.
type CellAnswer struct {
	Value    string `json:"value"`
	Revision uint64 `json:"revision"`
}

// WatchAnswer holds all puts in a group of cells above the revision Base of the ClientCall and up to Revision, in rising order. If Base is 0
// and the group had puts at the time of the call, Events is empty, and Revision is the current revision.
type WatchAnswer struct {
	Events   []CellEvent `json:"events"`
	Revision uint64      `json:"revision"`
}

// CellEvent is one put to a cell of a watched group.
type CellEvent struct {
	Name     string `json:"name"`
	Value    string `json:"value"`
	Revision uint64 `json:"revision"`
}

// CoordinationCall asks a steward for reports of the keys with locks, numbers and cells that it leads.
type CoordinationCall struct{}

// CoordinationReports holds a report of each key with locks, numbers and cells that the steward leads.
type CoordinationReports struct {
	Reports []CoordinationReport `json:"reports,omitempty"`
	// IsOff is set if locks, numbers and cells are disabled in this process.
	IsOff bool `json:"off,omitempty"`
}

// CoordinationReport is a summary of a key with locks, numbers and cells for operators.
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

// LockReport describes a held lock: its holder and its fencing token. HeldMs is the time since it was acquired or, if that is shorter, since
// its leader took over. RemainingMs is the time after which another holder can acquire it if its holder neither renews nor releases it.
type LockReport struct {
	Name        string `json:"name"`
	Holder      string `json:"holder"`
	Fence       uint64 `json:"fence-number"`
	HeldMs      int64  `json:"held-ms"`
	RemainingMs int64  `json:"remaining-ms"`
}
