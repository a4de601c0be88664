package scheduler

import (
	"github.com/mailru/easyjson"

	"gannetline/internal/cluster/peerapi/wire"
)

// The kinds of records, as the first two bytes of their names tell them.
const (
	prefixJob        = "j/"
	prefixState      = "s/"
	prefixOccurrence = "k/"
	prefixTask       = "t/"
	prefixOrder      = "o/"
	prefixExecutor   = "e/"
	prefixRenounced  = "m/"
	prefixTransfer   = "v/"
	prefixRollout    = "w/"
)

//go:generate go run github.com/mailru/easyjson/easyjson -all records.go

type jobRecord struct {
	Route      string              `json:"entry"`
	Terms      wire.RouteTerms     `json:"terms"`
	AcceptedMs int64               `json:"accepted"`
	Spec       easyjson.RawMessage `json:"spec"`
	// Tenant is the name of the tenant that the job belongs to, empty for none.
	Tenant string `json:"tenant,omitempty"`
	// IsSurplus marks a job beyond those that the tenant may expect to be done.
	IsSurplus bool `json:"surplus,omitempty"`
}

type stateRecord struct {
	Route   string `json:"entry"`
	State   string `json:"state"`
	Reason  string `json:"why,omitempty"`
	EndedMs int64  `json:"ended"`
	Tenant  string `json:"tenant,omitempty"`
	// MovedTo is the service whose pool has the job now, in the state moved.
	MovedTo string `json:"moved,omitempty"`
}

type runRecord struct {
	Number   int64  `json:"n"`
	Executor string `json:"l"`
	State    string `json:"s"`
}

type taskRecord struct {
	Done       bool        `json:"d,omitempty"`
	Failed     int         `json:"f,omitempty"`
	LastRun    int64       `json:"r,omitempty"`
	Checkpoint string      `json:"c,omitempty"`
	Runs       []runRecord `json:"x,omitempty"`
	// FailedRun is the last run of a gang that counts among Failed; it stands in the record of the first task.
	FailedRun int64 `json:"g,omitempty"`
}

type orderRecord struct {
	Executor string `json:"l"`
}

// executorRecord tells on which machine an executor that was given runs stands.
type executorRecord struct {
	Proxy string `json:"p"`
}

// renouncedRecord tells when the pool promised not to take a job under an ID.
type renouncedRecord struct {
	AtMs int64 `json:"at"`
	// Version is that of the newest configuration by which it was asked for; 0 stands for a gate that named none.
	Version int64 `json:"v,omitempty"`
}

// transferRecord tells that a job is on its way to the pool of another service; nothing of it starts here any more.
type transferRecord struct {
	To string `json:"to"`
}

// rolloutRecord is what the pool has counted for a rollout.
type rolloutRecord struct {
	Counts wire.RolloutCounts `json:"c"`
}

type timeRecord struct {
	Done bool `json:"d"`
}
