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
	// PrefixRetire begins the paths of calls about a storage machine that is to be emptied.
	PrefixRetire   = "/v1/retire/"
	suffixInitiate = "/initiate"
	suffixRetrieve = "/retrieve"
	retireTimeout  = 700 * time.Millisecond
)

// Retire serves the operator's calls about storage machines that are to be emptied.
type Retire struct {
	caller *peerapi.Caller
	view   func() *membership.View
	// least is how many storage machines must remain.
	least int
}

// NewRetire makes a handler; the loss of so many machines at once must still be borne afterwards.
func NewRetire(caller *peerapi.Caller, view func() *membership.View, machineLosses int) *Retire {
	return &Retire{caller: caller, view: view, least: quorum.VotersFor(machineLosses)}
}

// ServeHTTP answers POST /v1/retire/NODE/initiate and GET /v1/retire/NODE/retrieve.
func (r *Retire) ServeHTTP(to http.ResponseWriter, request *http.Request) {
	path := strings.TrimPrefix(request.URL.Path, PrefixRetire)
	node, isBeginning := strings.CutSuffix(path, suffixInitiate)
	if !isBeginning {
		var isQuestion bool
		if node, isQuestion = strings.CutSuffix(path, suffixRetrieve); !isQuestion {
			response.Text(http.StatusNotFound, "there is no such call").Write(to)
			return
		}
	}
	if isBeginning != (request.Method == http.MethodPost) {
		response.Text(http.StatusMethodNotAllowed, "a machine is emptied by POST, and asked for by GET").Write(to)
		return
	}
	r.answer(request.Context(), node, isBeginning).Write(to)
}

// answer asks the machine itself, which keeps on its disk that it is being emptied.
func (r *Retire) answer(ctx context.Context, node string, isBeginning bool) response.Reply {
	machine, others := r.find(node)
	if machine == nil {
		return response.Text(http.StatusNotFound, "no storage machine has that name")
	}
	state, err := r.ask(ctx, machine, false)
	switch {
	case err != nil:
		return response.Later(http.StatusServiceUnavailable, 1, "the machine does not answer")
	case !isBeginning && !state.IsRetiring:
		return response.Text(http.StatusNotFound, "the machine is not being emptied")
	case !isBeginning && state.IsEmpty:
		return response.Raw(http.StatusOK, []byte(`{"executor-state":"completed"}`))
	case !isBeginning:
		return response.Raw(http.StatusOK, []byte(`{"executor-state":"active"}`))
	case !state.IsRetiring && others < r.least:
		return response.Text(http.StatusConflict, "too few storage machines would remain")
	}
	if !state.IsRetiring {
		if _, err := r.ask(ctx, machine, true); err != nil {
			return response.Later(http.StatusServiceUnavailable, 1, "the machine does not answer")
		}
	}
	return response.Empty(http.StatusOK)
}

// find gives the storage machine of a name, nil if there is none, and how many others are alive.
func (r *Retire) find(node string) (machine *wire.Member, others int) {
	for _, steward := range r.view().Stewards {
		switch {
		case steward.Control != "":
		case steward.Name == node:
			machine = &steward
		case steward.State == wire.StateAlive && steward.Disk != "":
			others++
		}
	}
	return machine, others
}

func (r *Retire) ask(ctx context.Context, machine *wire.Member, begins bool) (*wire.RetireAnswer, error) {
	return peerapi.Call[wire.RetireCall, wire.RetireAnswer](ctx, r.caller, machine.Address, peerapi.ProcedureRetire, retireTimeout,
		&wire.RetireCall{Begin: begins})
}
