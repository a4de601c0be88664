package coordination

import (
	"github.com/mailru/easyjson"

	"gannetline/internal/cluster/peerapi/wire"
)

//go:generate go run github.com/mailru/easyjson/easyjson -all records.go

// The kinds of records, which are the prefixes of record names. Except for recordFence, a slash and a name follow.
const (
	// recordFence: f is a fenceRecord, the last fencing token that was issued.
	recordFence = "f"
	// recordLock: l/NAME is a lockRecord. It is deleted when the lock is released, or by a clean-up after it expires.
	recordLock = "l"
	// recordNumber: n/NAME is a numberRecord, the highest reserved number of a name.
	recordNumber = "n"
	// recordCell: c/NAME is a cellRecord, the last put into a cell.
	recordCell = "c"
	// recordEvent: e/GROUP/REVISION is an eventRecord, a put that is kept for watchers.
	recordEvent = "e"
)

// fenceRecord stores the last fencing token of the partition. It is written together with each lock that gets a new token.
type fenceRecord struct {
	Last uint64 `json:"last"`
}

// lockRecord stores a lock and its holder. The expiry is not stored: the hold time restarts when a leader takes over the key.
type lockRecord struct {
	Holder string `json:"holder"`
	// First and Fence are the first and the last fencing token that the holder got without a release or an expiry in between.
	First uint64 `json:"first"`
	Fence uint64 `json:"fence"`
	// HoldMs is the longest hold time that the holder requested, in milliseconds.
	HoldMs int64 `json:"hold-ms"`
}

// numberRecord stores the highest number that a leader may have issued under a name.
type numberRecord struct {
	Reserved uint64 `json:"reserved"`
}

// cellRecord stores the last put into a cell.
type cellRecord struct {
	Value    string `json:"value"`
	Revision uint64 `json:"revision"`
	// Expected is the revision that the put required the cell to have; 0 means that the cell did not exist.
	Expected uint64 `json:"expected,omitempty"`
}

// eventRecord stores a put for watchers and for the detection of retries.
type eventRecord struct {
	Name     string `json:"name"`
	Value    string `json:"value"`
	Revision uint64 `json:"revision"`
	Expected uint64 `json:"expected,omitempty"`
}

// recordName returns the record name for a kind and a name.
func recordName(kind, name string) string { return kind + "/" + name }

// newPutOp returns the operation that writes a record. It panics if the encoding fails, which can't happen for records: they are structs of
// strings and numbers.
func newPutOp(name string, record easyjson.Marshaler) wire.Op {
	value, err := easyjson.Marshal(record)
	if err != nil {
		panic("a record of texts and numbers can't be written: " + err.Error())
	}
	return wire.Op{Name: name, Value: value}
}

// newDeleteOp returns the operation that deletes a record.
func newDeleteOp(name string) wire.Op { return wire.Op{Name: name} }
