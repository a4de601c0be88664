package executorapi

import (
	"io"
	"net/http"
	"strings"

	"github.com/mailru/easyjson"

	"gannetline/internal/platform/response"
)

const (
	pathPrefix     = "/v1/executors/"
	verbHeartbeat  = "heartbeat"
	verbDeregister = "deregister"
	// maxHeartbeatBytes is the maximum size of a heartbeat.
	maxHeartbeatBytes = 64 << 10
)

// The states that an executor reports in its heartbeats.
const (
	stateReady    = "ready"
	stateDraining = "draining"
)

// Command is a decoded call of an executor: a deregistration, or a heartbeat. The table that owns the executor's state carries it out.
type Command struct {
	// Executor is the ID of the calling incarnation.
	Executor string
	// Heartbeat is nil if IsDeregistration is set.
	Heartbeat        *Heartbeat
	IsDeregistration bool
}

// Decode decodes an executor's call. A reply with a status means that the call was refused.
func Decode(request *http.Request) (Command, response.Reply) {
	rest, isExecutor := strings.CutPrefix(request.URL.Path, pathPrefix)
	id, verb, hasVerb := strings.Cut(rest, "/")
	if !isExecutor || !hasVerb || id == "" || verb != verbHeartbeat && verb != verbDeregister {
		return Command{}, response.Text(http.StatusNotFound, "there is no such call")
	}
	if request.Method != http.MethodPost {
		return Command{}, response.Text(http.StatusMethodNotAllowed, "only POST is taken here")
	}
	if verb == verbDeregister {
		return Command{Executor: id, IsDeregistration: true}, response.Reply{}
	}
	text, err := io.ReadAll(io.LimitReader(request.Body, maxHeartbeatBytes+1))
	if err != nil || len(text) > maxHeartbeatBytes {
		return Command{}, response.Text(http.StatusRequestEntityTooLarge, "the heartbeat is too large")
	}
	heartbeat := &Heartbeat{}
	if err := easyjson.Unmarshal(text, heartbeat); err != nil {
		return Command{}, response.Text(http.StatusBadRequest, "the heartbeat can't be read: "+err.Error())
	}
	if problem := heartbeat.check(); problem != "" {
		return Command{}, response.Text(http.StatusBadRequest, problem)
	}
	return Command{Executor: id, Heartbeat: heartbeat}, response.Reply{}
}

// check describes what is wrong with a heartbeat, for the answer to the executor. It returns an empty text if the heartbeat is valid.
func (b *Heartbeat) check() string {
	switch {
	case b.Service == "":
		return "field service is missing"
	case b.Capacity.CPU < 0 || b.Capacity.Memory < 0 || b.Capacity.GPU < 0:
		return "field capacity is negative"
	case b.DepartureMs < 0:
		return "field departure-ms is negative"
	case b.State != stateReady && b.State != stateDraining:
		return "field executor-state is neither ready nor draining"
	}
	return ""
}
