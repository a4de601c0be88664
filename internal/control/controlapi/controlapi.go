// Package controlapi serves the operators' HTTP calls at any steward. Each handler decodes the request, calls the leader of the
// configuration's key or the machine that the call names, and writes the result.
package controlapi

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"gannetline/internal/cluster/leaderclient"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/configleader"
	"gannetline/internal/platform/headers"
	"gannetline/internal/platform/response"
)

const (
	pathReplace           = "/v1/configuration/replace"
	pathRetrieve          = "/v1/configuration/retrieve"
	maxConfigurationBytes = 8 << 20
	// answerTimeout limits a call to the leader of the configuration's key.
	answerTimeout = 900 * time.Millisecond
)

// Decode converts an operator's request to a call of the configuration's leader. If the request is invalid, the call is nil and the reply
// refuses it.
func Decode(request *http.Request) (*wire.ClientCall, response.Reply) {
	switch request.URL.Path {
	case pathRetrieve:
		if request.Method != http.MethodGet {
			return nil, response.Text(http.StatusMethodNotAllowed, "only GET is taken here")
		}
		return &wire.ClientCall{Key: configleader.Key, Verb: wire.VerbRetrieve}, response.Reply{}
	case pathReplace:
		return decodeReplace(request)
	}
	return nil, response.Text(http.StatusNotFound, "there is no such call")
}

// decodeReplace decodes a request that replaces the configuration, or returns the reply that refuses it.
func decodeReplace(request *http.Request) (*wire.ClientCall, response.Reply) {
	if request.Method != http.MethodPost {
		return nil, response.Text(http.StatusMethodNotAllowed, "only POST is taken here")
	}
	base, err := strconv.ParseInt(request.Header.Get(headers.BaseVersion), 10, 64)
	if err != nil || base < 0 {
		return nil, response.Text(http.StatusBadRequest, "header X-Base-Version is no version")
	}
	body, err := io.ReadAll(io.LimitReader(request.Body, maxConfigurationBytes+1))
	switch {
	case err != nil:
		return nil, response.Text(http.StatusBadRequest, "the body ended early")
	case len(body) > maxConfigurationBytes:
		return nil, response.Text(http.StatusRequestEntityTooLarge, "the configuration is too large")
	case !json.Valid(body):
		return nil, response.Text(http.StatusBadRequest, "the configuration can't be read: it is not JSON")
	}
	return &wire.ClientCall{Key: configleader.Key, Verb: wire.VerbReplace, Base: base, Body: body}, response.Reply{}
}

// NewConfigurationHandler creates the handler of the calls that replace and retrieve the configuration. The handler forwards them to the
// leader of the configuration's key.
func NewConfigurationHandler(client *leaderclient.Client) http.Handler {
	return http.HandlerFunc(func(to http.ResponseWriter, request *http.Request) {
		call, refusal := Decode(request)
		if call == nil {
			refusal.Write(to)
			return
		}
		Reply(call, client.Ask(request.Context(), call, answerTimeout)).Write(to)
	})
}

// Reply converts the outcome of a call to the reply to the operator. A version conflict is passed on only if it is final. If an earlier
// attempt may have been executed, the conflict is final only if the current version is above the call's base. Versions only rise, so no
// attempt can be committed from then on, and an attempt that was committed before would have been confirmed. If the conflict is not final,
// the reply is 503.
func Reply(call *wire.ClientCall, outcome leaderclient.Outcome) response.Reply {
	answer := outcome.Answer
	switch {
	case answer == nil:
		return response.Later(http.StatusServiceUnavailable, 1, "the configuration's leader does not answer")
	case answer.Status == http.StatusPreconditionFailed && outcome.MayHaveRun && call.Base >= answer.Current:
		return response.Later(http.StatusServiceUnavailable, 1, "an earlier try may have been taken")
	case answer.Reason != "":
		return response.Later(answer.Status, answer.RetryAfterS, answer.Reason)
	}
	return response.Raw(answer.Status, answer.Body)
}
