// Package executorapi holds the messages between executors and local proxies, the client that calls an executor, and the
// reading of an executor's calls.
package executorapi

import (
	"github.com/mailru/easyjson/jlexer"
	"github.com/mailru/easyjson/jwriter"

	"gannetline/internal/cluster/peerapi/wire"
)

//go:generate go run github.com/mailru/easyjson/easyjson wire.go

// Heartbeat is an executor's heartbeat. Times are in milliseconds; ClockMs is the executor's monotonic clock, and Sequence
// rises with each call of one incarnation.
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

// RunStart orders a run of a task. The executor refuses it below its highest fence, or once its own clock has passed
// ExpiryMs; Saved is the checkpoint to begin from.
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

// RunStop orders the end of one run.
//
//easyjson:json
type RunStop struct {
	Task  string `json:"task-id"`
	Run   int64  `json:"run-id"`
	Fence uint64 `json:"fence-number"`
}

// MaxEndsPerAnswer is how many ends an answer to a hold lists at most; those beyond are listed once these are acknowledged.
const MaxEndsPerAnswer = 500

// Hold extends all runs of the executor until ExpiryMs on its clock, acknowledges its ends up to LastSeen, and waits
// up to WaitMs for an end.
//
//easyjson:json
type Hold struct {
	ExpiryMs int64  `json:"expiry-ms,omitempty"`
	Fence    uint64 `json:"fence-number"`
	LastSeen int64  `json:"last-seen"`
	WaitMs   int64  `json:"wait-time-ms,omitempty"`
}

// Answer is what an executor says to any call: its clock, why it refused, what runs, and what has ended.
//
//easyjson:json
type Answer struct {
	ClockMs int64        `json:"clock-ms"`
	Reason  string       `json:"reason"`
	Running []RunningRow `json:"running-count"`
	Ends    []EndRow     `json:"end-state"`
}

// RunningRow is [task, run, saved, percent].
type RunningRow wire.RunReport

// UnmarshalEasyJSON reads the row from a JSON list; further elements are skipped.
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

// MarshalEasyJSON writes the row as a JSON list.
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

// EndRow is [N, task, run, how, saved].
type EndRow wire.EndReport

// UnmarshalEasyJSON reads the row from a JSON list; further elements are skipped.
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

// MarshalEasyJSON writes the row as a JSON list.
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

// readRow reads a JSON list element by element; nulls are skipped.
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
