// Package evacuationview shows an operator which zones are to be emptied, which processes know of it, and what still runs there.
package evacuationview

import (
	"context"
	"net/http"

	"gannetline/internal/cluster/membership"
	"gannetline/internal/cluster/peerapi"
	"gannetline/internal/cluster/peerapi/wire"
)

// LoadSource tells what runs in each zone, as far as this process leads pools.
type LoadSource func(ctx context.Context) []wire.ZoneLoad

// Handle lets an operator's tool ask this process what it knows of evacuations. A process that leads no pools has a nil source.
func Handle(mux *http.ServeMux, view func() *membership.View, loads LoadSource) {
	peerapi.Serve(mux, peerapi.ProcedureEvacuations, func(ctx context.Context, _ *wire.EvacuationsCall) (*wire.EvacuationsAnswer, error) {
		known := view()
		answer := &wire.EvacuationsAnswer{Name: known.Self.Name, Role: known.Self.Role, Evacuations: known.Evacuations}
		if loads != nil {
			answer.Loads = loads(ctx)
		}
		return answer, nil
	})
}
