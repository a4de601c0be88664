package comparenodes

import (
	"context"
	"time"

	"gannetline/internal/cluster/peerapi"
	"gannetline/internal/cluster/peerapi/wire"
)

// RetrieveBeliefs retrieves what a node knows of the cluster. It fails if the node doesn't answer within the timeout.
func RetrieveBeliefs(address string, timeout time.Duration) (*wire.BeliefsAnswer, error) {
	caller := peerapi.NewCaller(peerapi.Client(timeout, 1))
	return peerapi.Call[wire.BeliefsCall, wire.BeliefsAnswer](context.Background(), caller, address,
		peerapi.ProcedureBeliefs, timeout, &wire.BeliefsCall{})
}
