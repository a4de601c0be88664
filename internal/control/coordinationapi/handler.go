// Package coordinationapi serves applications at any steward: it reads a call about locks, numbers and cells, asks the leader of the
// key that holds the name, and writes what came of it. What it answers with 412, 429 or 503 had no effect and never will; a call whose
// outcome is not known is answered 504, which promises nothing.
package coordinationapi

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/mailru/easyjson"

	"gannetline/internal/cluster/leaderclient"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/logging"
	"gannetline/internal/platform/response"
	"gannetline/internal/platform/settings"
)

const (
	// answerTimeout is how long a call may take, beyond the wait of a watch: callers turn to another steward after a second.
	answerTimeout = 900 * time.Millisecond
	// maxWaitAtLeader is how long a watch waits in one call to the leader, so that one whose leader has gone in silence is soon
	// with the next.
	maxWaitAtLeader = time.Second
	// callVerbosity is that of the line about each call.
	callVerbosity = 1
)

// AskLeader asks the leader of a call's key within a limit; the leader may keep the answer back for the wait.
type AskLeader func(ctx context.Context, call *wire.ClientCall, limit, wait time.Duration) leaderclient.Outcome

// Handler serves the calls of applications.
type Handler struct {
	ask   AskLeader
	clock clock.Clock
	log   logging.Logger
	// leaving ends when the process is about to leave.
	leaving context.Context
}

// NewHandler makes a handler; once leaving is done, waiting watches are sent to another steward.
func NewHandler(leaving context.Context, ask AskLeader, clock clock.Clock, log logging.Logger) *Handler {
	return &Handler{ask: ask, clock: clock, log: log.V(callVerbosity), leaving: leaving}
}

// Register serves the calls on a mux.
func (h *Handler) Register(mux *http.ServeMux) {
	for _, prefix := range []string{PrefixLocks, PrefixNumbers, PrefixCells, PrefixWatch} {
		mux.Handle(prefix, h)
	}
}

// RegisterOff answers all calls of applications on a mux where stewards keep no locks, numbers and cells.
func RegisterOff(mux *http.ServeMux) {
	off := http.HandlerFunc(func(to http.ResponseWriter, _ *http.Request) {
		response.Text(http.StatusNotImplemented, TextOff).Write(to)
	})
	for _, prefix := range []string{PrefixLocks, PrefixNumbers, PrefixCells, PrefixWatch} {
		mux.Handle(prefix, off)
	}
}

// TextOff says why there are no locks, numbers and cells, and how to have them.
const TextOff = "locks, numbers and keys are off: field active-contracts of the stewards' settings does not name " + settings.ContractCoordination

// ServeHTTP answers one call.
func (h *Handler) ServeHTTP(to http.ResponseWriter, request *http.Request) {
	arrivedAt := h.clock.Monotonic()
	command, refusal := Decode(request)
	if command == nil {
		refusal.Write(to)
		return
	}
	var reply response.Reply
	if command.Call.Verb == wire.VerbWatch {
		reply = h.watch(request.Context(), command)
	} else {
		reply = Reply(command, h.ask(request.Context(), &command.Call, answerTimeout, 0))
	}
	callsServed.With(string(command.Call.Verb), strconv.Itoa(reply.Status)).Inc()
	if h.log.Enabled() {
		h.log.Info("coordination call answered", "verb", command.Call.Verb, "name", command.Call.ID, "call", string(command.Call.Body),
			"above", command.Call.Base, "wait_ms", command.Wait.Milliseconds(), "status", reply.Status, "answer", string(reply.Body), "delay_ms", (h.clock.Monotonic() - arrivedAt).Milliseconds())
	}
	reply.Write(to)
}

// Reply is the answer to a call. A refusal that promises that nothing was done is passed on only if no attempt can have been carried
// out. That a put is refused for its revision stays true for all its attempts: the leader that says so would know of an earlier one
// that was taken, and none can be taken later, as revisions only rise.
func Reply(command *Command, outcome leaderclient.Outcome) response.Reply {
	answer, isUnknown := outcome.Answer, outcome.MayHaveRun && !command.IsRead
	switch {
	case answer == nil && isUnknown:
		return response.Text(http.StatusGatewayTimeout, "it is not known whether the call was carried out")
	case answer == nil:
		return response.Later(http.StatusServiceUnavailable, 1, "no leader answers for the name")
	case isUnknown && (answer.Status == http.StatusServiceUnavailable || answer.Status == http.StatusTooManyRequests):
		return response.Text(http.StatusGatewayTimeout, "it is not known whether the call was carried out")
	case answer.Reason != "":
		return response.Later(answer.Status, answer.RetryAfterS, answer.Reason)
	}
	return response.Raw(answer.Status, answer.Body)
}

// watch asks again until a put comes or the caller's time is over.
func (h *Handler) watch(ctx context.Context, command *Command) response.Reply {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(h.leaving, cancel)()
	deadline := h.clock.Monotonic() + command.Wait
	for {
		remaining := max(0, deadline-h.clock.Monotonic())
		wait := min(remaining, maxWaitAtLeader)
		call := command.Call
		call.RemainingMs = wait.Milliseconds()
		outcome := h.ask(ctx, &call, wait+answerTimeout, wait)
		if h.leaving.Err() != nil {
			return response.Later(http.StatusServiceUnavailable, 1, "this process is leaving")
		}
		isOver := remaining <= maxWaitAtLeader || ctx.Err() != nil
		if isOver || outcome.Answer != nil && !isWaiting(&command.Call, outcome.Answer) {
			return Reply(command, outcome)
		}
	}
}

// isWaiting tells whether the answer to a watch brings nothing new, so that the watch may go on.
func isWaiting(call *wire.ClientCall, answer *wire.ClientAnswer) bool {
	var answered wire.WatchAnswer
	return answer.Status == http.StatusOK && easyjson.Unmarshal(answer.Body, &answered) == nil &&
		len(answered.Events) == 0 && answered.Revision <= uint64(call.Base)
}
