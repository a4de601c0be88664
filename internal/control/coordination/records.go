package coordination

import (
	"github.com/mailru/easyjson"

	"gannetline/internal/cluster/peerapi/wire"
)

//go:generate go run github.com/mailru/easyjson/easyjson -all records.go

// The kinds of records, which are the prefixes of record names. Except for recordFence, a slash and a name follow.
const (
	// recordFence: f is the last fencing token that was issued.
	recordFence = "f"
	// recordLock: l/NAME is a held lock.
	recordLock = "l"
	// recordNumber: n/NAME is the highest reserved number of a name.
	recordNumber = "n"
	// recordCell: c/NAME is the last put into a cell.
	recordCell = "c"
	// recordEvent: e/GROUP/REVISION is a put that is kept for watchers.
	recordEvent = "e"
)

// fenceRecord stores the last fencing token of the partition. It is written together with each lock that gets a new token.
type fenceRecord struct {
	Last uint64 `json:"last"`
}

// lockRecord stores a held lock. Its expiry is not stored: the hold time restarts when a leader takes over the key.
type lockRecord struct {
	Holder string `json:"holder"`
	// First and Fence are the first and the last fencing token that the holder got without a release in between.
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
	// Expected is the revision of the cell that the put required; 0 stands for a cell that did not exist.
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

// newPutOp returns the operation that writes a record. Records are structs of strings and numbers, which can always be encoded as JSON.
func newPutOp(name string, record easyjson.Marshaler) wire.Op {
	value, err := easyjson.Marshal(record)
	if err != nil {
		panic("a record of texts and numbers can't be written: " + err.Error())
	}
	return wire.Op{Name: name, Value: value}
}

// newDeleteOp returns the operation that deletes a record.
func newDeleteOp(name string) wire.Op { return wire.Op{Name: name} }
