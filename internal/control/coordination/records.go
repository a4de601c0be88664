package coordination

import (
	"github.com/mailru/easyjson"

	"gannetline/internal/cluster/peerapi/wire"
)

//go:generate go run github.com/mailru/easyjson/easyjson -all records.go

// The kinds of records, as their names begin; a slash and the name follow, but with recordFence.
const (
	// recordFence holds the last fencing token that was given.
	recordFence = "f"
	// recordLock: l/NAME is a lock that is held.
	recordLock = "l"
	// recordNumber: n/NAME is how far the numbers under a name are reserved.
	recordNumber = "n"
	// recordCell: c/NAME is what a cell holds.
	recordCell = "c"
	// recordEvent: e/GROUP/REVISION is a put, as long as watchers may ask for it.
	recordEvent = "e"
)

// fenceRecord tells the last fencing token of the part. It is written with each lock that gets one.
type fenceRecord struct {
	Last uint64 `json:"last"`
}

// lockRecord is a lock that is held. Its time is not on disk: it counts from when a leader takes the key over.
type lockRecord struct {
	Holder string `json:"holder"`
	// First and Fence are the first and the last fencing token that the holder got without letting go.
	First uint64 `json:"first"`
	Fence uint64 `json:"fence"`
	// HoldMs is the longest time that the holder has asked for.
	HoldMs int64 `json:"hold-ms"`
}

// numberRecord tells up to which number a leader may have given numbers.
type numberRecord struct {
	Reserved uint64 `json:"reserved"`
}

// cellRecord is the last put into a cell.
type cellRecord struct {
	Value    string `json:"value"`
	Revision uint64 `json:"revision"`
	// Expected is the revision that the put named.
	Expected uint64 `json:"expected,omitempty"`
}

// eventRecord is a put.
type eventRecord struct {
	Name     string `json:"name"`
	Value    string `json:"value"`
	Revision uint64 `json:"revision"`
	Expected uint64 `json:"expected,omitempty"`
}

// recordName joins a kind and a name.
func recordName(kind, name string) string { return kind + "/" + name }

// writing is the change that writes a record. Records are structs of texts and numbers, which can always be written as JSON.
func writing(name string, record easyjson.Marshaler) wire.Op {
	value, err := easyjson.Marshal(record)
	if err != nil {
		panic("a record of texts and numbers can't be written: " + err.Error())
	}
	return wire.Op{Name: name, Value: value}
}

// dropping is the change that removes a record.
func dropping(name string) wire.Op { return wire.Op{Name: name} }
