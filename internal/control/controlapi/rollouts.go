package controlapi

import (
	"net/http"

	"gannetline/internal/cluster/leaderclient"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/configleader"
	"gannetline/internal/platform/response"
)

// PathRollouts is the path of the call that returns the state of the rollouts. Operators change rollouts by replacing the configuration.
const PathRollouts = "/v1/rollout/retrieve"

// NewRolloutsHandler creates the handler of GET /v1/rollout/retrieve. The handler forwards the call to the leader of the configuration's key.
func NewRolloutsHandler(client *leaderclient.Client) http.Handler {
	return http.HandlerFunc(func(to http.ResponseWriter, request *http.Request) {
		if request.Method != http.MethodGet {
			response.Text(http.StatusMethodNotAllowed, "only GET is taken here").Write(to)
			return
		}
		call := &wire.ClientCall{Key: configleader.Key, Verb: wire.VerbRollouts}
		Reply(call, client.Ask(request.Context(), call, answerTimeout)).Write(to)
	})
}
