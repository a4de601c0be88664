package comparenodes

import (
	"time"

	"gannetline/internal/siblingwire"
	"gannetline/internal/span"
)

// Ask fetches a node's beliefs; a node that is silent is given up after the limit.
func Ask(address string, limit time.Duration) (*siblingwire.BeliefsAnswer, error) {
	caller := siblingwire.NewCaller(siblingwire.Client(limit, 1))
	return siblingwire.Call[siblingwire.BeliefsCall, siblingwire.BeliefsAnswer](caller, span.Root(), address,
		siblingwire.ProcedureBeliefs, limit, &siblingwire.BeliefsCall{})
}
