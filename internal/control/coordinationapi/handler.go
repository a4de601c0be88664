// Package coordinationapi is the HTTP API for locks, numbers and cells, which every steward serves to applications. It decodes a call,
// sends it to the leader of the key that holds the name, and writes the reply. A call that is answered with 412, 429 or 503 had no
// effect and never will have one. The status 504 means that the outcome is unknown.
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
	// answerTimeout limits the duration of a call, in addition to the wait of a watch. It is shorter than one second, after which callers
	// try another steward.
	answerTimeout = 900 * time.Millisecond
	// maxWaitAtLeader limits the wait of a watch in a single call to the leader. If a leader fails without closing its connections, the
	// watch thus soon continues at the next leader.
	maxWaitAtLeader = time.Second
	// callLogVerbosity is the verbosity level of the log message about each call.
	callLogVerbosity = 1
)

// AskLeader sends a call to the leader of its key and returns the outcome within the timeout. The leader may delay its answer to a
// watch by the wait.
type AskLeader func(ctx context.Context, call *wire.ClientCall, timeout, wait time.Duration) leaderclient.Outcome

// Handler serves the calls of applications over HTTP.
type Handler struct {
	askLeader AskLeader
	clock     clock.Clock
	log       logging.Logger
	// shutdown is done when the process is about to shut down.
	shutdown context.Context
}

// NewHandler returns a handler. Once the context shutdown is done, waiting watches are refused so that callers try another steward.
func NewHandler(shutdown context.Context, askLeader AskLeader, clock clock.Clock, log logging.Logger) *Handler {
	return &Handler{askLeader: askLeader, clock: clock, log: log.V(callLogVerbosity), shutdown: shutdown}
}

// Register registers the handler for its paths on a mux.
func (h *Handler) Register(mux *http.ServeMux) {
	for _, prefix := range []string{PrefixLocks, PrefixNumbers, PrefixCells, PrefixWatch} {
		mux.Handle(prefix, h)
	}
}

// RegisterOff makes a mux refuse all calls with TextOff. It is used where the settings don't enable locks, numbers and cells.
func RegisterOff(mux *http.ServeMux) {
	answerDisabled := http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		response.Text(http.StatusNotImplemented, TextOff).Write(writer)
	})
	for _, prefix := range []string{PrefixLocks, PrefixNumbers, PrefixCells, PrefixWatch} {
		mux.Handle(prefix, answerDisabled)
	}
}

// TextOff is the text of the answer while locks, numbers and cells are disabled. It names the setting that enables them.
const TextOff = "locks, numbers and keys are off: field active-contracts of the stewards' settings does not name " + settings.ContractCoordination

// ServeHTTP decodes a call, sends it to the leader and writes the reply.
func (h *Handler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	arrivedAt := h.clock.Monotonic()
	command, refusal := Decode(request)
	if command == nil {
		refusal.Write(writer)
		return
	}
	var reply response.Reply
	if command.Call.Verb == wire.VerbWatch {
		reply = h.watch(request.Context(), command)
	} else {
		reply = Reply(command, h.askLeader(request.Context(), &command.Call, answerTimeout, 0))
	}
	callsServed.With(string(command.Call.Verb), strconv.Itoa(reply.Status)).Inc()
	if h.log.Enabled() {
		h.log.Info("coordination call answered", "verb", command.Call.Verb, "name", command.Call.ID, "call", string(command.Call.Body),
			"above", command.Call.Base, "wait_ms", command.Wait.Milliseconds(), "status", reply.Status, "answer", string(reply.Body), "delay_ms", (h.clock.Monotonic() - arrivedAt).Milliseconds())
	}
	reply.Write(writer)
}

// Reply returns the HTTP reply for the outcome of a command. The statuses 429 and 503 state that the call had no effect. If the call
// changes state and an earlier attempt may have been executed, Reply returns 504 instead. The status 412 of a put with a wrong revision
// is passed on in any case: the leader would have detected an earlier attempt that was accepted, and no later attempt can be accepted,
// since revisions only rise.
func Reply(command *Command, outcome leaderclient.Outcome) response.Reply {
	answer, isOutcomeUnknown := outcome.Answer, outcome.MayHaveRun && !command.IsRead
	switch {
	case answer == nil && isOutcomeUnknown:
		return response.Text(http.StatusGatewayTimeout, "it is not known whether the call was carried out")
	case answer == nil:
		return response.Later(http.StatusServiceUnavailable, 1, "no leader answers for the name")
	case isOutcomeUnknown && (answer.Status == http.StatusServiceUnavailable || answer.Status == http.StatusTooManyRequests):
		return response.Text(http.StatusGatewayTimeout, "it is not known whether the call was carried out")
	case answer.Reason != "":
		return response.Later(answer.Status, answer.RetryAfterS, answer.Reason)
	}
	return response.Raw(answer.Status, answer.Body)
}

// watch repeats a watch call at the leader until the answer is a put, a newer revision or a refusal, or until the wait of the command is
// over. A call without an answer is repeated, too. When the process shuts down, the reply is 503.
func (h *Handler) watch(ctx context.Context, command *Command) response.Reply {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(h.shutdown, cancel)()
	deadline := h.clock.Monotonic() + command.Wait
	for {
		remaining := max(0, deadline-h.clock.Monotonic())
		wait := min(remaining, maxWaitAtLeader)
		call := command.Call
		call.RemainingMs = wait.Milliseconds()
		outcome := h.askLeader(ctx, &call, wait+answerTimeout, wait)
		if h.shutdown.Err() != nil {
			return response.Later(http.StatusServiceUnavailable, 1, "this process is leaving")
		}
		isLastAttempt := remaining <= maxWaitAtLeader || ctx.Err() != nil
		if isLastAttempt || outcome.Answer != nil && !isUnchanged(&command.Call, outcome.Answer) {
			return Reply(command, outcome)
		}
	}
}

// isUnchanged reports whether the answer to a watch has neither a put nor a newer revision, so that the watch continues. It is false for a
// refusal.
func isUnchanged(call *wire.ClientCall, answer *wire.ClientAnswer) bool {
	var watchAnswer wire.WatchAnswer
	return answer.Status == http.StatusOK && easyjson.Unmarshal(answer.Body, &watchAnswer) == nil &&
		len(watchAnswer.Events) == 0 && watchAnswer.Revision <= uint64(call.Base)
}
