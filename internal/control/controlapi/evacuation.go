package controlapi

import (
	"net/http"
	"strings"

	"github.com/mailru/easyjson"

	"gannetline/internal/cluster/leaderclient"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/configleader"
	"gannetline/internal/platform/response"
)

const (
	// PrefixEvacuation is the path prefix of the calls about evacuations of zones.
	PrefixEvacuation = "/v1/evacuation/"
	suffixTerminate  = "/terminate"
	pathEvacuations  = PrefixEvacuation + "retrieve"
)

// EvacuationHandler serves the operators' calls that start or end the evacuation of a zone, or list the zones to be emptied.
type EvacuationHandler struct {
	client *leaderclient.Client
	// isZone reports whether a zone with that name exists.
	isZone func(string) bool
	// mayHaveWaited reports whether a call may have waited because this process was suspended.
	mayHaveWaited func() bool
}

// NewEvacuationHandler creates a handler. The handler refuses to start or end an evacuation if the name is no zone, or if the call may have
// waited, because its caller may have retried at another steward meanwhile.
func NewEvacuationHandler(client *leaderclient.Client, isZone func(string) bool, mayHaveWaited func() bool) *EvacuationHandler {
	return &EvacuationHandler{client: client, isZone: isZone, mayHaveWaited: mayHaveWaited}
}

// ServeHTTP answers POST /v1/evacuation/ZONE/initiate and /terminate, and GET /v1/evacuation/retrieve.
func (e *EvacuationHandler) ServeHTTP(to http.ResponseWriter, request *http.Request) {
	call, refusal := e.decode(request)
	if call == nil {
		refusal.Write(to)
		return
	}
	EvacuationReply(call, e.client.Ask(request.Context(), call, answerTimeout)).Write(to)
}

// decode converts an operator's request to a call of the configuration's leader. If the request is refused, the call is nil. An order to
// start or end an evacuation has no number, so a delayed order can't be distinguished from a new one. An order that may have waited here is
// therefore refused, because the operator may have given a later order at another steward meanwhile.
func (e *EvacuationHandler) decode(request *http.Request) (*wire.ClientCall, response.Reply) {
	path := request.URL.Path
	if path == pathEvacuations {
		if request.Method != http.MethodGet {
			return nil, response.Text(http.StatusMethodNotAllowed, "only GET is taken here")
		}
		return &wire.ClientCall{Key: configleader.Key, Verb: wire.VerbEvacuations}, response.Reply{}
	}
	verb := wire.VerbEvacuate
	zone, isOrder := strings.CutSuffix(strings.TrimPrefix(path, PrefixEvacuation), suffixInitiate)
	if !isOrder {
		verb = wire.VerbEndEvacuation
		zone, isOrder = strings.CutSuffix(strings.TrimPrefix(path, PrefixEvacuation), suffixTerminate)
	}
	switch {
	case !isOrder:
		return nil, response.Text(http.StatusNotFound, "there is no such call")
	case request.Method != http.MethodPost:
		return nil, response.Text(http.StatusMethodNotAllowed, "only POST is taken here")
	case request.ContentLength > 0:
		return nil, response.Text(http.StatusBadRequest, "the call has no body")
	case !e.isZone(zone):
		return nil, response.Text(http.StatusNotFound, "there is no zone of that name")
	case e.mayHaveWaited():
		return nil, response.Later(http.StatusServiceUnavailable, 1, "this process stood still, and the call may have waited")
	}
	return &wire.ClientCall{Key: configleader.Key, Verb: verb, ID: zone}, response.Reply{}
}

// EvacuationReply converts the outcome of a call to the reply to the operator. Status 503 means that the call had no effect, and status 504
// that this is unknown.
func EvacuationReply(call *wire.ClientCall, outcome leaderclient.Outcome) response.Reply {
	answer := outcome.Answer
	switch {
	case answer == nil && outcome.MayHaveRun:
		return response.Text(http.StatusGatewayTimeout, "it is not known whether the order was taken")
	case answer == nil:
		return response.Later(http.StatusServiceUnavailable, 1, "the configuration's leader does not answer")
	case answer.Reason != "":
		return response.Later(answer.Status, answer.RetryAfterS, answer.Reason)
	case call.Verb == wire.VerbEvacuations:
		return newListReply(answer.Body)
	}
	return response.Raw(answer.Status, answer.Body)
}

//go:generate go run github.com/mailru/easyjson/easyjson -all evacuation_messages.go

// newListReply converts the leader's list of evacuations to the reply to the operator.
func newListReply(body []byte) response.Reply {
	var stored wire.Evacuations
	if err := easyjson.Unmarshal(body, &stored); err != nil {
		return response.Text(http.StatusBadGateway, "the answer can't be read")
	}
	list := &evacuationList{Number: stored.Number, Zones: []listedZone{}}
	for _, zone := range stored.Zones {
		list.Zones = append(list.Zones, listedZone(zone))
	}
	text, err := easyjson.Marshal(list)
	if err != nil {
		return response.Text(http.StatusBadGateway, "the answer can't be written")
	}
	return response.Raw(http.StatusOK, text)
}
