package controlapi

import (
	"context"
	"net/http"
	"strings"
	"time"

	"gannetline/internal/cluster/membership"
	"gannetline/internal/cluster/peerapi"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/replication/quorum"
	"gannetline/internal/platform/response"
)

const (
	// PrefixRetire is the path prefix of the calls about retiring storage machines.
	PrefixRetire   = "/v1/retire/"
	suffixInitiate = "/initiate"
	suffixRetrieve = "/retrieve"
	// retireTimeout limits a call to the storage machine.
	retireTimeout = 700 * time.Millisecond
)

// RetireHandler serves the operators' calls that start to empty a storage machine or ask for the progress.
type RetireHandler struct {
	caller *peerapi.Caller
	view   func() *membership.View
	// minRemaining is the number of other live storage machines that aren't retiring below which no machine may retire.
	minRemaining int
}

// NewRetireHandler creates a handler. The handler refuses to empty a machine if the remaining machines could not survive machineLosses
// simultaneous losses.
func NewRetireHandler(caller *peerapi.Caller, view func() *membership.View, machineLosses int) *RetireHandler {
	return &RetireHandler{caller: caller, view: view, minRemaining: quorum.VotersFor(machineLosses)}
}

// ServeHTTP answers POST /v1/retire/NODE/initiate and GET /v1/retire/NODE/retrieve.
func (r *RetireHandler) ServeHTTP(to http.ResponseWriter, request *http.Request) {
	path := strings.TrimPrefix(request.URL.Path, PrefixRetire)
	node, isInitiate := strings.CutSuffix(path, suffixInitiate)
	if !isInitiate {
		var isRetrieve bool
		if node, isRetrieve = strings.CutSuffix(path, suffixRetrieve); !isRetrieve {
			response.Text(http.StatusNotFound, "there is no such call").Write(to)
			return
		}
	}
	if isInitiate != (request.Method == http.MethodPost) {
		response.Text(http.StatusMethodNotAllowed, "a machine is emptied by POST, and asked for by GET").Write(to)
		return
	}
	r.execute(request.Context(), node, isInitiate).Write(to)
}

// execute carries out an operator's call by calling the storage machine, which stores on its disk that it is being emptied.
func (r *RetireHandler) execute(ctx context.Context, node string, isInitiate bool) response.Reply {
	machine := r.find(node)
	if machine == nil {
		return response.Text(http.StatusNotFound, "no storage machine has that name")
	}
	state, err := r.callMachine(ctx, machine, false)
	switch {
	case err != nil:
		return response.Later(http.StatusServiceUnavailable, 1, "the machine does not answer")
	case !isInitiate && !state.IsRetiring:
		return response.Text(http.StatusNotFound, "the machine is not being emptied")
	case !isInitiate && state.IsEmpty:
		return response.Raw(http.StatusOK, []byte(`{"executor-state":"completed"}`))
	case !isInitiate:
		return response.Raw(http.StatusOK, []byte(`{"executor-state":"active"}`))
	case !state.IsRetiring && r.countRemaining(ctx, node) < r.minRemaining:
		return response.Text(http.StatusConflict, "too few storage machines would remain")
	}
	if !state.IsRetiring {
		if _, err := r.callMachine(ctx, machine, true); err != nil {
			return response.Later(http.StatusServiceUnavailable, 1, "the machine does not answer")
		}
	}
	return response.Empty(http.StatusOK)
}

// find returns the storage machine with that name, nil if there is none. A steward with a control address is not a storage machine.
func (r *RetireHandler) find(node string) *wire.Member {
	for _, steward := range r.view().Stewards {
		if steward.Control == "" && steward.Name == node {
			return &steward
		}
	}
	return nil
}

// countRemaining returns the number of storage machines that would remain without a node: those that are alive, have a persistent disk and
// aren't retiring. A live machine that doesn't answer counts as remaining. Orders that arrive at the same moment may not see each other; then
// fewer machines remain, and the retiring ones keep the lots until others are added.
func (r *RetireHandler) countRemaining(ctx context.Context, node string) int {
	remains := make(chan bool)
	asked := 0
	for _, steward := range r.view().Stewards {
		if steward.Control != "" || steward.Name == node || steward.State != wire.StateAlive || steward.Disk == "" {
			continue
		}
		asked++
		go func() {
			state, err := r.callMachine(ctx, &steward, false)
			remains <- err != nil || !state.IsRetiring
		}()
	}
	count := 0
	for range asked {
		if <-remains {
			count++
		}
	}
	return count
}

// callMachine returns the state of a machine. If isStart is set, the machine starts to empty itself.
func (r *RetireHandler) callMachine(ctx context.Context, machine *wire.Member, isStart bool) (*wire.RetireAnswer, error) {
	return peerapi.Call[wire.RetireCall, wire.RetireAnswer](ctx, r.caller, machine.Address, peerapi.ProcedureRetire, retireTimeout,
		&wire.RetireCall{Begin: isStart})
}
