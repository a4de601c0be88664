package controlapi

import (
	"net/http"

	"gannetline/internal/cluster/leaderclient"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/configleader"
	"gannetline/internal/platform/response"
)

// PathRollouts is the path of the call that tells how the rollouts of the configuration stand. All else about them is changed with the
// configuration itself.
const PathRollouts = "/v1/rollout/retrieve"

// NewRollouts serves GET /v1/rollout/retrieve by asking the leader of the configuration.
func NewRollouts(asker *leaderclient.Client) http.Handler {
	return http.HandlerFunc(func(to http.ResponseWriter, request *http.Request) {
		if request.Method != http.MethodGet {
			response.Text(http.StatusMethodNotAllowed, "only GET is taken here").Write(to)
			return
		}
		call := &wire.ClientCall{Key: configleader.Key, Verb: wire.VerbRollouts}
		Reply(call, asker.Ask(request.Context(), call, answerTimeout)).Write(to)
	})
}
