package executorlist

import (
	"cmp"
	"io"

	"github.com/juju/errors"
	"github.com/mailru/easyjson"

	"gannetline/internal/cluster/peerapi/wire"
)

//go:generate go run github.com/mailru/easyjson/easyjson -all page.go

// stateDraining is the state of an executor that is about to shut down.
const stateDraining = "draining"

// page is one page of the platform's list. Next is the token of the next page, and empty or null on the last one.
type page struct {
	Instances []instance `json:"instance-list"`
	Next      string     `json:"next-token"`
}

// instance is an executor in the platform's list.
type instance struct {
	ID      string `json:"executor-id"`
	Service string `json:"service"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Slots   int    `json:"slot-count"`
	State   string `json:"executor-state"`
}

func (i instance) toRecord() wire.ExecutorRecord {
	return wire.ExecutorRecord{ID: i.ID, Service: i.Service, Address: i.Address, Zone: i.Zone, Slots: i.Slots, IsDraining: i.State == stateDraining}
}

// readPage decodes a page from JSON.
func readPage(body io.Reader) (*page, error) {
	decoded := &page{}
	err := easyjson.UnmarshalFromReader(body, decoded)
	return decoded, errors.Annotate(err, "reading a page of executors")
}

// compareRecords orders records by the ID of the executor.
func compareRecords(a, b wire.ExecutorRecord) int { return cmp.Compare(a.ID, b.ID) }
