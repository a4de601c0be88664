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
	// PrefixEvacuation begins the paths of calls about zones that are to be emptied.
	PrefixEvacuation = "/v1/evacuation/"
	suffixTerminate  = "/terminate"
	pathEvacuations  = PrefixEvacuation + "retrieve"
)

// Evacuation serves the operator's orders to empty a zone and to take that back, and tells which zones are to be emptied.
type Evacuation struct {
	asker *leaderclient.Client
	// isZone tells whether there is a zone of a name.
	isZone func(string) bool
	// mayHaveWaited tells whether a call may have waited while this process stood still.
	mayHaveWaited func() bool
}

// NewEvacuation makes a handler.
func NewEvacuation(asker *leaderclient.Client, isZone func(string) bool, mayHaveWaited func() bool) *Evacuation {
	return &Evacuation{asker: asker, isZone: isZone, mayHaveWaited: mayHaveWaited}
}

// ServeHTTP answers POST /v1/evacuation/ZONE/initiate and /terminate, and GET /v1/evacuation/retrieve.
func (e *Evacuation) ServeHTTP(to http.ResponseWriter, request *http.Request) {
	call, refusal := e.decode(request)
	if call == nil {
		refusal.Write(to)
		return
	}
	EvacuationReply(call, e.asker.Ask(request.Context(), call, answerTimeout)).Write(to)
}

// decode makes a command of a call, or a refusal. Orders bear no number, so that an old copy can't be told from a new order: what may have
// waited here while the operator went on elsewhere is not taken.
func (e *Evacuation) decode(request *http.Request) (*wire.ClientCall, response.Reply) {
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

// EvacuationReply is the answer to the operator; 503 promises that the order was not taken.
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
		return shownEvacuations(answer.Body)
	}
	return response.Raw(answer.Status, answer.Body)
}

//go:generate go run github.com/mailru/easyjson/easyjson -all evacuation_messages.go

// shownEvacuations is the list as operators read it.
func shownEvacuations(body []byte) response.Reply {
	var kept wire.Evacuations
	if err := easyjson.Unmarshal(body, &kept); err != nil {
		return response.Text(http.StatusBadGateway, "the answer can't be read")
	}
	shown := &evacuationList{Number: kept.Number, Zones: []shownZone{}}
	for _, zone := range kept.Zones {
		shown.Zones = append(shown.Zones, shownZone(zone))
	}
	text, err := easyjson.Marshal(shown)
	if err != nil {
		return response.Text(http.StatusBadGateway, "the answer can't be written")
	}
	return response.Raw(http.StatusOK, text)
}
