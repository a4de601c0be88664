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

// verb is the operation that a client calls.
type verb string

const (
	verbSubmit verb = "submit"
	verbState  verb = "state"
	verbCancel verb = "cancel"
	verbCount  verb = "count"
)

// outcome is the way in which a client's call ended.
type outcome string

const (
	// answered: a complete answer came.
	answered outcome = "answered"
	// notSent: there was no connection, or it broke before the whole request was sent.
	notSent outcome = "not sent"
	// closed: the whole request was sent, and the connection ended without a complete answer.
	closed outcome = "closed"
	// timedOut: the whole request was sent, and no complete answer came within the timeout.
	timedOut outcome = "timed out"
	// abandoned: the client closed the connection itself.
	abandoned outcome = "abandoned"
)

// Call is one call as its client saw it. Times count from the start of the soak, by the monotonic clock.
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
	// EchoedID is the request ID in the answer. State is the job's state, if the answer has one.
	EchoedID string
	State    string
	// IsKept is true if an earlier call was answered on the same connection.
	IsKept bool
	// Connection is the client's local address of the connection, or "" if there was none.
	Connection string
}

// isAccepted reports whether the answer says that the job was accepted.
func (c *Call) isAccepted() bool {
	return c.Verb == verbSubmit && c.Outcome == answered && c.Status/100 == 2
}

// Trouble is an interval in which a fault affected a process, or the connections of a gate's clients.
type Trouble struct {
	Target   string
	Kind     FaultKind
	From, To time.Duration
}

// Exit is the end of a process. Cause is the fault that ended it, FaultTerminate at the end of the soak, or "" if the process
// was not asked to end. Age is the time from its start to the signal, and Took the time from the signal to its end; both are 0
// without a cause. Signal names the signal that killed the process, or is "" if it exited by itself.
type Exit struct {
	Process string
	Cause   FaultKind
	At      time.Duration
	Age     time.Duration
	Took    time.Duration
	Code    int
	Signal  string
}

// Acknowledgement is a configuration version that a steward acknowledged to the operator.
type Acknowledgement struct {
	Version int64
	At      time.Duration
}

// Probe is a call to a gate for the queue of a configuration version, and the status of the answer.
type Probe struct {
	Gate    string
	Version int64
	SentAt  time.Duration
	Status  int
}

// ReadBack is the configuration version that a steward returned. Steward is the URL from which it was read.
type ReadBack struct {
	Steward string
	SentAt  time.Duration
	Version int64
}

// Sample is the resource use of one incarnation of a process. Memory and Disk are in bytes.
type Sample struct {
	Process     string
	Incarnation int
	At          time.Duration
	Memory      float64
	Goroutines  float64
	Descriptors float64
	Disk        float64
}

// History is everything that was observed in a soak.
type History struct {
	Calls            []Call
	Troubles         []Trouble
	Exits            []Exit
	Acknowledgements []Acknowledgement
	Probes           []Probe
	ReadBacks        []ReadBack
	// Rollouts are the states of rollouts each time the operator read them.
	Rollouts []RolloutSeen
	Samples  []Sample
	// Applications is the history of the applications that use locks, numbers and cells.
	Applications check.History
	// Runs are the runs that the executors report, with times of day in milliseconds. StartMs is the time of day of the start of
	// the soak, from which all other times count.
	Runs    []hollow.RunRecord
	StartMs int64
	// RepeatedFences counts orders that came under a fence well after an executor had refused it.
	RepeatedFences int
	// FinalStates maps the IDs of accepted jobs to their last known states, or to the text of the HTTP status if a gate didn't
	// return a state.
	FinalStates map[string]string
	// Stalls are the intervals in which the soak process itself did not run, recorded while the clients are active. OracleCut,
	// OracleConfiguration, OracleExit, OracleStream and OracleEvacuation report nothing that a stall explains.
	Stalls []Stall
	// Mix is nil if the options name none. Zones maps the names of processes to their zones, and Stewards contains the names of
	// stewards and of their possible replacements.
	Mix      *Mix
	Zones    map[string]string
	Stewards map[string]bool
	// Evacuations, KeyProbes, Streams, StreamRuns, Lots and LotRefusals are empty if the mix lacks their features.
	Evacuations []Evacuation
	KeyProbes   []KeyProbe
	Streams     []StreamCall
	StreamRuns  []StreamRun
	Lots        []Lot
	LotRefusals []Violation
	// Loads is the resource use per second of the processes while the clients were active.
	Loads []ProcessLoad
	// RefusedConnections are the client connections that a relay could not forward to its gate.
	RefusedConnections []RefusedConnection
}

// RefusedConnection is a client's connection that a relay accepted and whose gate refused the relay. Nothing that was sent on
// it reached the gate.
type RefusedConnection struct {
	Gate       string
	Connection string
	At         time.Duration
}

// Stall is an interval in which the soak process did not run.
type Stall struct{ From, To time.Duration }

// recorder owns the history during the soak; one goroutine runs the functions that are posted to its mailbox.
type recorder struct {
	mailbox   *mailbox.Mailbox
	ctx       context.Context
	startedAt time.Time
	data      History
}

const recorderMailboxSize = 4096

func newRecorder(ctx context.Context) *recorder {
	r := &recorder{mailbox: mailbox.New(recorderMailboxSize), ctx: ctx, startedAt: time.Now()}
	r.data.StartMs, r.data.FinalStates = r.startedAt.UnixMilli(), map[string]string{}
	go r.mailbox.Run(ctx, clock.System(), mailbox.Owner{Every: time.Minute})
	return r
}

// now returns the time since the start of the recorder.
func (r *recorder) now() time.Duration { return time.Since(r.startedAt) }

// write runs a change of the history on the recorder's goroutine.
func (r *recorder) write(change func(*History)) {
	r.mailbox.Post(func() { change(&r.data) })
}

// history returns a copy of the history so far, or an empty history if the recorder has stopped.
func (r *recorder) history() *History {
	copied, err := mailbox.Ask(r.ctx, r.mailbox, func(answer func(History)) {
		data := r.data
		data.Calls, data.FinalStates = slices.Clone(data.Calls), maps.Clone(data.FinalStates)
		answer(data)
	})
	if err != nil {
		return &History{FinalStates: map[string]string{}}
	}
	return &copied
}

// progressCounts are the counts that the soak logs as its progress: calls, accepted submissions and faults.
type progressCounts struct{ calls, accepted, troubles int }

func (r *recorder) counts() progressCounts {
	counts, _ := mailbox.Ask(r.ctx, r.mailbox, func(answer func(progressCounts)) {
		counts := progressCounts{calls: len(r.data.Calls), troubles: len(r.data.Troubles)}
		for index := range r.data.Calls {
			if r.data.Calls[index].isAccepted() {
				counts.accepted++
			}
		}
		answer(counts)
	})
	return counts
}

// refusalRecorder returns a function that records that a gate refused the connection of a client.
func (r *recorder) refusalRecorder(gate string) func(client net.Addr) {
	return func(client net.Addr) {
		refused := RefusedConnection{gate, client.String(), r.now()}
		r.write(func(h *History) { h.RefusedConnections = append(h.RefusedConnections, refused) })
	}
}

// watchStalls records the intervals in which this process did not run, until ctx is done.
func (r *recorder) watchStalls(ctx context.Context) {
	const interval, minStall = 20 * time.Millisecond, 250 * time.Millisecond
	for last := r.now(); ctx.Err() == nil; {
		time.Sleep(interval)
		now := r.now()
		if now-last > minStall {
			from := last
			r.write(func(h *History) { h.Stalls = append(h.Stalls, Stall{from, now}) })
		}
		last = now
	}
}
