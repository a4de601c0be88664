// Package controlapi serves the operator at any steward: it reads a request, asks the leader of the configuration and
// writes what came of it.
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
	answerTimeout         = 900 * time.Millisecond
)

// Decode makes a command of an operator's call, or a refusal.
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

// decodeReplace reads a replacement of the configuration, or returns the reply that refuses it.
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

// Handler asks the leader of the configuration's key, wherever it is.
func Handler(asker *leaderclient.Client) http.Handler {
	return http.HandlerFunc(func(to http.ResponseWriter, request *http.Request) {
		call, refusal := Decode(request)
		if call == nil {
			refusal.Write(to)
			return
		}
		Reply(call, asker.Ask(request.Context(), call, answerTimeout)).Write(to)
	})
}

// Reply is the answer to the operator. A refusal is passed on only if it says what became of the call:
// if an earlier try may have been carried out, that is so only where the current version is known to be beyond the
// call's base. Versions only rise, so no try can be taken from then on, and one taken before would have been confirmed.
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
