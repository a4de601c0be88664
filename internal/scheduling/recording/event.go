// Package recording writes and reads recordings of a day's load, for replay in simulations. A recording is a file of JSON lines, one per
// event: submitted and cancelled jobs, executors, configurations, and how long each run took.
package recording

import (
	"github.com/mailru/easyjson"

	"gannetline/internal/cluster/peerapi/wire"
)

//go:generate go run github.com/mailru/easyjson/easyjson -all event.go

// Version is the version of the format, which docs/recording.md describes.
const Version = 1

// The kinds of events: the header of a file, a submitted job, a cancelled job, a configuration, an executor's state, the end of a run, and
// the number of events that the writer lost.
const (
	KindHeader   = "header"
	KindSubmit   = "hand-in"
	KindCancel   = "cancel"
	KindPlan     = "plan"
	KindExecutor = "executor"
	KindEnd      = "end"
	KindLost     = "lost"
)

// Event is one line. Each kind sets only the fields that it needs. AtMs is a time of day in milliseconds since 1970. A header has the Version
// of the format and the name of the recording Node. A submitted job has its ID, Queue (the route), Terms and Body, a cancelled one its ID.
// An executor has the name of its Machine, its Capacity and Labels, and whether it is draining. The end of a run has the name of the Task,
// the number of the Run, its Outcome and its run time (LengthMs). Plan is the version of a configuration, and Count the number of lost
// events.
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
	Outcome    string              `json:"how,omitempty"`
	LengthMs   int64               `json:"length-ms,omitempty"`
	Machine    string              `json:"machine,omitempty"`
	Capacity   wire.Capacity       `json:"room"`
	Labels     []string            `json:"labels,omitempty"`
	IsDraining bool                `json:"draining,omitempty"`
	Plan       int64               `json:"plan,omitempty"`
	Count      int64               `json:"count,omitempty"`
}
