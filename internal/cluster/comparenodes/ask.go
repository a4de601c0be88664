package comparenodes

import (
	"time"

	"gannetline/internal/cluster/peerapi"
	"gannetline/internal/span"
)

// Ask fetches a node's beliefs; a node that is silent is given up after the limit.
func Ask(address string, limit time.Duration) (*peerapi.BeliefsAnswer, error) {
	caller := peerapi.NewCaller(peerapi.Client(limit, 1))
	return peerapi.Call[peerapi.BeliefsCall, peerapi.BeliefsAnswer](caller, span.Root(), address,
		peerapi.ProcedureBeliefs, limit, &peerapi.BeliefsCall{})
}
