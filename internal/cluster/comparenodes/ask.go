package comparenodes

import (
	"context"
	"time"

	"gannetline/internal/cluster/peerapi"
	"gannetline/internal/cluster/peerapi/wire"
)

// Ask fetches a node's beliefs; a node that is silent is given up after the limit.
func Ask(address string, limit time.Duration) (*wire.BeliefsAnswer, error) {
	caller := peerapi.NewCaller(peerapi.Client(limit, 1))
	return peerapi.Call[wire.BeliefsCall, wire.BeliefsAnswer](context.Background(), caller, address,
		peerapi.ProcedureBeliefs, limit, &wire.BeliefsCall{})
}
