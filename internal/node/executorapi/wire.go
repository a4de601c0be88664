// Package executorapi defines the messages between executors and local proxies, a client that calls an executor, and the decoding of an
// executor's calls.
package executorapi

import (
	"github.com/mailru/easyjson/jlexer"
	"github.com/mailru/easyjson/jwriter"

	"gannetline/internal/cluster/peerapi/wire"
)

//go:generate go run github.com/mailru/easyjson/easyjson wire.go

// Heartbeat is an executor's heartbeat. Times are in milliseconds. ClockMs is the reading of the executor's monotonic clock. DepartureMs is
// the time until a draining executor may shut down, 0 if unknown. Sequence increases with each heartbeat of one incarnation.
//
//easyjson:json
type Heartbeat struct {
	Service     string        `json:"service"`
	Address     string        `json:"address"`
	Domain      string        `json:"zone"`
	Version     string        `json:"config-version"`
	Slots       int           `json:"slot-count"`
	State       string        `json:"executor-state"`
	WarmUpMs    int64         `json:"cold-remaining-ms"`
	Capacity    wire.Capacity `json:"capacity"`
	Labels      []string      `json:"labels"`
	ClockMs     int64         `json:"clock-ms"`
	DepartureMs int64         `json:"departure-ms"`
	Sequence    int64         `json:"call-sequence"`
}

// RunStart orders the start of a run. The executor refuses it if Fence is lower than the highest fence it has seen, or once its own
// clock has passed ExpiryMs. Checkpoint is the checkpoint to start from; empty means from the beginning.
//
//easyjson:json
type RunStart struct {
	Task       string `json:"task-id"`
	Run        int64  `json:"run-id"`
	Descriptor string `json:"task-descriptor"`
	ExpiryMs   int64  `json:"expiry-ms"`
	Fence      uint64 `json:"fence-number"`
	Checkpoint string `json:"checkpoint-ref,omitempty"`
}

// RunStop orders an executor to stop a run.
//
//easyjson:json
type RunStop struct {
	Task  string `json:"task-id"`
	Run   int64  `json:"run-id"`
	Fence uint64 `json:"fence-number"`
}

// MaxEndsPerAnswer is the maximum number of ends in an answer to a hold. Further ends are listed once these are acknowledged.
const MaxEndsPerAnswer = 500

// Hold extends the lease of all runs of the executor until ExpiryMs on the executor's clock, and acknowledges ends up to the number
// LastSeen. Without ExpiryMs it extends no lease. The executor answers at once if it has ends with numbers above LastSeen; otherwise it
// answers after the next end, or after WaitMs at the latest.
//
//easyjson:json
type Hold struct {
	ExpiryMs int64  `json:"expiry-ms,omitempty"`
	Fence    uint64 `json:"fence-number"`
	LastSeen int64  `json:"last-seen"`
	WaitMs   int64  `json:"wait-time-ms,omitempty"`
}

// Answer is an executor's answer to any call: the reading of the executor's clock, the reason of a refusal, and, for a hold, the
// executor's running and ended runs.
//
//easyjson:json
type Answer struct {
	ClockMs int64        `json:"clock-ms"`
	Reason  string       `json:"reason"`
	Running []RunningRow `json:"running-count"`
	Ends    []EndRow     `json:"end-state"`
}

// RunningRow describes a running run, encoded as the list [task, run, checkpoint, percent].
type RunningRow wire.RunReport

// UnmarshalEasyJSON decodes the row from a JSON list. Further elements are skipped.
func (r *RunningRow) UnmarshalEasyJSON(in *jlexer.Lexer) {
	readRow(in, func(index int) {
		switch index {
		case 0:
			r.Task = in.String()
		case 1:
			r.Run = in.Int64()
		case 2:
			r.Checkpoint = in.String()
		case 3:
			r.Percent = int(in.Float64())
		default:
			in.SkipRecursive()
		}
	})
}

// MarshalEasyJSON encodes the row as a JSON list.
func (r RunningRow) MarshalEasyJSON(out *jwriter.Writer) {
	out.RawByte('[')
	out.String(r.Task)
	out.RawByte(',')
	out.Int64(r.Run)
	out.RawByte(',')
	out.String(r.Checkpoint)
	out.RawByte(',')
	out.Int(r.Percent)
	out.RawByte(']')
}

// EndRow describes an ended run, encoded as the list [number, task, run, outcome, checkpoint].
type EndRow wire.EndReport

// UnmarshalEasyJSON decodes the row from a JSON list. Further elements are skipped.
func (e *EndRow) UnmarshalEasyJSON(in *jlexer.Lexer) {
	readRow(in, func(index int) {
		switch index {
		case 0:
			e.Number = in.Int64()
		case 1:
			e.Task = in.String()
		case 2:
			e.Run = in.Int64()
		case 3:
			e.Outcome = wire.RunOutcome(in.String())
		case 4:
			e.Checkpoint = in.String()
		default:
			in.SkipRecursive()
		}
	})
}

// MarshalEasyJSON encodes the row as a JSON list.
func (e EndRow) MarshalEasyJSON(out *jwriter.Writer) {
	out.RawByte('[')
	out.Int64(e.Number)
	out.RawByte(',')
	out.String(e.Task)
	out.RawByte(',')
	out.Int64(e.Run)
	out.RawByte(',')
	out.String(string(e.Outcome))
	out.RawByte(',')
	out.String(e.Checkpoint)
	out.RawByte(']')
}

// readRow reads a JSON list and calls readElement with the index of each element, except for elements that are null.
func readRow(in *jlexer.Lexer, readElement func(index int)) {
	in.Delim('[')
	for index := 0; !in.IsDelim(']') && in.Ok(); index++ {
		if in.IsNull() {
			in.Skip()
		} else {
			readElement(index)
		}
		in.WantComma()
	}
	in.Delim(']')
}
