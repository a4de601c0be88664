// Package evacuationview shows operators which zones are evacuated, which processes know that, and what still runs in each zone.
package evacuationview

import (
	"context"
	"net/http"

	"gannetline/internal/cluster/membership"
	"gannetline/internal/cluster/peerapi"
	"gannetline/internal/cluster/peerapi/wire"
)

// LoadSource returns the executors and runs in each zone, for the pools that this process leads.
type LoadSource func(ctx context.Context) []wire.ZoneLoad

// Handle registers the procedure by which an operator's tool retrieves what this process knows of evacuations. loads is nil in a process
// that leads no pools.
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
