package soak

import (
	"context"
	"maps"
	"net"
	"slices"
	"time"

	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/mailbox"
	check "gannetline/internal/simulation/coordinationcheck"
	"gannetline/internal/simulation/hollow"
)

// verb is what a client asks for.
type verb string

const (
	verbSubmit verb = "submit"
	verbState  verb = "state"
	verbCancel verb = "cancel"
	verbCount  verb = "count"
)

// outcome is how a call of a client ended.
type outcome string

const (
	// answered: a whole answer came.
	answered outcome = "answered"
	// notSent: no connection, or it broke before the whole request was sent.
	notSent outcome = "not sent"
	// closed: the request was sent whole, and the connection ended without a whole answer.
	closed outcome = "closed"
	// timedOut: no answer came in time.
	timedOut outcome = "timed out"
	// abandoned: the client closed the connection itself.
	abandoned outcome = "abandoned"
)

// Call is one call of a client as it saw it. Times are from the start of the clients, by the steady clock.
type Call struct {
	Client    int
	Gate      string
	Verb      verb
	Job       string
	RequestID string
	SentAt    time.Duration
	EndedAt   time.Duration
	Outcome   outcome
	Status    int
	// EchoedID is the request's ID as the answer gives it back; State is the job's, where the answer has one.
	EchoedID string
	State    string
	// IsKept tells that the connection had answered a call before.
	IsKept bool
	// Connection is the client's address of the connection that the request was sent on; empty where there was none.
	Connection string
}

// isAccepted tells whether the answer says that a job is kept.
func (c *Call) isAccepted() bool {
	return c.Verb == verbSubmit && c.Outcome == answered && c.Status/100 == 2
}

// Trouble is a time in which something was done to a process, or to the connections of a gate's clients.
type Trouble struct {
	Target   string
	Kind     FaultKind
	From, To time.Duration
}

// Exit is how a process ended. Asked is the fault that ended it, empty if none did; Age is how long it had run by then, and Took how
// long it took to end.
type Exit struct {
	Process string
	Asked   FaultKind
	At      time.Duration
	Age     time.Duration
	Took    time.Duration
	Code    int
	Signal  string
}

// Acknowledgement is a configuration that the operator knows to be kept.
type Acknowledgement struct {
	Version int64
	At      time.Duration
}

// Probe asks a gate for the queue of a version, and says what the gate answered.
type Probe struct {
	Gate    string
	Version int64
	SentAt  time.Duration
	Status  int
}

// ReadBack is the configuration that a steward gave.
type ReadBack struct {
	Steward string
	SentAt  time.Duration
	Version int64
}

// Sample is what one incarnation of a process uses at a moment. Disk is in bytes, for those that have one.
type Sample struct {
	Process     string
	Incarnation int
	At          time.Duration
	Memory      float64
	Goroutines  float64
	Descriptors float64
	Disk        float64
}

// History is all that was seen in a soak.
type History struct {
	Calls            []Call
	Troubles         []Trouble
	Exits            []Exit
	Acknowledgements []Acknowledgement
	Probes           []Probe
	ReadBacks        []ReadBack
	// Rollouts are how rollouts stood, each time the operator looked.
	Rollouts []RolloutSeen
	Samples  []Sample
	// Applications is what those saw who use locks, numbers and cells.
	Applications check.History
	// Runs are those that the executors tell of, with the time of day in ms; Start is that of the clients' start.
	Runs    []hollow.RunRecord
	StartMs int64
	// RepeatedFences counts orders that came under a fence well after that was refused.
	RepeatedFences int
	// FinalStates are the states in which accepted jobs were at last, by ID.
	FinalStates map[string]string
	// Stalls are the times at which the soak itself was not given a processor for a while: bounds of time say nothing there.
	Stalls []Stall
	// Mix is nil where none was asked for. Zones holds the zone of each process by its name, Stewards the names of stewards.
	Mix      *Mix
	Zones    map[string]string
	Stewards map[string]bool
	// Evacuations, KeyProbes, Streams, Lots and LotRefusals are there where the mix has their features.
	Evacuations []Evacuation
	KeyProbes   []KeyProbe
	Streams     []StreamCall
	Lots        []Lot
	LotRefusals []Violation
	// Loads is what processes used a second while the clients went on.
	Loads []ProcessLoad
	// RefusedConnections are those that relays could not connect with their gate.
	RefusedConnections []RefusedConnection
}

// RefusedConnection is a connection of a client that a relay took, and that the gate behind the relay refused: nothing that was
// sent on it reached the gate.
type RefusedConnection struct {
	Gate       string
	Connection string
	At         time.Duration
}

// Stall is a time in which the soak stood still.
type Stall struct{ From, To time.Duration }

// recorder owns the history while it is written: one goroutine runs what is posted to it.
type recorder struct {
	mailbox *mailbox.Mailbox
	ctx     context.Context
	began   time.Time
	written History
}

const recorderMailboxSize = 4096

func newRecorder(ctx context.Context) *recorder {
	r := &recorder{mailbox: mailbox.New(recorderMailboxSize), ctx: ctx, began: time.Now()}
	r.written.StartMs, r.written.FinalStates = r.began.UnixMilli(), map[string]string{}
	go r.mailbox.Run(ctx, clock.System(), mailbox.Owner{Every: time.Minute})
	return r
}

// now is the time since the start.
func (r *recorder) now() time.Duration { return time.Since(r.began) }

// write adds something to the history.
func (r *recorder) write(change func(*History)) {
	r.mailbox.Post(func() { change(&r.written) })
}

// history gives a copy of what was written so far.
func (r *recorder) history() *History {
	copied, err := mailbox.Ask(r.ctx, r.mailbox, func(answer func(History)) {
		written := r.written
		written.Calls, written.FinalStates = slices.Clone(written.Calls), maps.Clone(written.FinalStates)
		answer(written)
	})
	if err != nil {
		return &History{FinalStates: map[string]string{}}
	}
	return &copied
}

// recorded is how much has been recorded.
type recorded struct{ calls, accepted, troubles int }

func (r *recorder) counts() recorded {
	counts, _ := mailbox.Ask(r.ctx, r.mailbox, func(answer func(recorded)) {
		counts := recorded{calls: len(r.written.Calls), troubles: len(r.written.Troubles)}
		for index := range r.written.Calls {
			if r.written.Calls[index].isAccepted() {
				counts.accepted++
			}
		}
		answer(counts)
	})
	return counts
}

// refusals gives what writes the connections into the history that a gate refused.
func (r *recorder) refusals(gate string) func(client net.Addr) {
	return func(client net.Addr) {
		refused := RefusedConnection{gate, client.String(), r.now()}
		r.write(func(h *History) { h.RefusedConnections = append(h.RefusedConnections, refused) })
	}
}

// watchStalls notes when this process itself is not run for a while, until ctx is done.
func (r *recorder) watchStalls(ctx context.Context) {
	const every, isStall = 20 * time.Millisecond, 250 * time.Millisecond
	for last := r.now(); ctx.Err() == nil; {
		time.Sleep(every)
		now := r.now()
		if now-last > isStall {
			from := last
			r.write(func(h *History) { h.Stalls = append(h.Stalls, Stall{from, now}) })
		}
		last = now
	}
}
