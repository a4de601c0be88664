package executorlist

import (
	"cmp"
	"io"

	"github.com/juju/errors"
	"github.com/mailru/easyjson"

	"gannetline/internal/cluster/peerapi/wire"
)

//go:generate go run github.com/mailru/easyjson/easyjson -all page.go

// stateDraining is the state of an executor that is about to end.
const stateDraining = "draining"

// page is a page of the platform's list. Next is the token of the page that follows, empty or null on the last.
type page struct {
	Instances []instance `json:"instance-list"`
	Next      string     `json:"next-token"`
}

// instance is an executor as the platform tells of it.
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

// readPage decodes a page.
func readPage(body io.Reader) (*page, error) {
	read := &page{}
	err := easyjson.UnmarshalFromReader(body, read)
	return read, errors.Annotate(err, "reading a page of executors")
}

func compareRecords(a, b wire.ExecutorRecord) int { return cmp.Compare(a.ID, b.ID) }
