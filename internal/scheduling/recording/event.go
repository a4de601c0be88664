// Package recording writes and reads the recording of a day, a JSON line an event: what was asked of the system, and how
// long the work took.
package recording

import (
	"github.com/mailru/easyjson"

	"gannetline/internal/cluster/peerapi/wire"
)

//go:generate go run github.com/mailru/easyjson/easyjson -all event.go

// Version is that of the format; docs/recording.md describes it.
const Version = 1

// The kinds of lines: the header of a file, a job submitted, a job cancelled, a configuration, an executor's state, the
// end of a run, and how many lines were lost.
const (
	KindHeader   = "header"
	KindSubmit   = "hand-in"
	KindCancel   = "cancel"
	KindPlan     = "plan"
	KindExecutor = "executor"
	KindEnd      = "end"
	KindLost     = "lost"
)

// Event is one line; a kind fills in only the fields that it needs. AtMs is a time of day in milliseconds since 1970,
// Version that of the format (in the header), Plan that of a configuration, Count the number of lines that were lost.
type Event struct {
	Kind       string              `json:"kind"`
	AtMs       int64               `json:"at-ms"`
	Version    int                 `json:"version,omitempty"`
	Node       string              `json:"node,omitempty"`
	ID         string              `json:"id,omitempty"`
	Queue      string              `json:"queue,omitempty"`
	Terms      wire.RouteTerms     `json:"terms"`
	Body       easyjson.RawMessage `json:"body,omitempty"`
	Task       string              `json:"task,omitempty"`
	Run        int64               `json:"run,omitempty"`
	How        string              `json:"how,omitempty"`
	LengthMs   int64               `json:"length-ms,omitempty"`
	Machine    string              `json:"machine,omitempty"`
	Capacity   wire.Capacity       `json:"room"`
	Labels     []string            `json:"labels,omitempty"`
	IsDraining bool                `json:"draining,omitempty"`
	Plan       int64               `json:"plan,omitempty"`
	Count      int64               `json:"count,omitempty"`
}
