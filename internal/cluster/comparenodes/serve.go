// Package comparenodes retrieves what nodes know of the cluster, and shows the differences between two nodes.
package comparenodes

import (
	"context"
	"net/http"

	"gannetline/internal/cluster/configcache"
	"gannetline/internal/cluster/membership"
	"gannetline/internal/cluster/peerapi"
	"gannetline/internal/cluster/peerapi/wire"
)

// Sources are the functions that return a node's state: its view of the members, the configuration in force, and what it knows of keys,
// jobs and executors. Configuration and Keys are nil in a node without a configuration or without replicas of keys.
type Sources struct {
	View          func() *membership.View
	Configuration func() *configcache.Snapshot
	Keys          func(ctx context.Context) ([]wire.KeyBelief, []wire.JobBelief, []wire.ExecutorBelief)
}

// Handle registers the procedure by which an operator's tool retrieves this node's state.
func Handle(mux *http.ServeMux, sources Sources) {
	peerapi.Serve(mux, peerapi.ProcedureBeliefs, func(ctx context.Context, _ *wire.BeliefsCall) (*wire.BeliefsAnswer, error) {
		view := sources.View()
		answer := &wire.BeliefsAnswer{Name: view.Self.Name, Role: view.Self.Role, Members: view.Members}
		for _, leader := range view.Leaders {
			answer.Leaders = append(answer.Leaders, leader)
		}
		if sources.Configuration != nil {
			if snapshot := sources.Configuration(); snapshot != nil {
				answer.ConfigVersion = snapshot.Committed.Version
			}
		}
		if sources.Keys != nil {
			answer.Keys, answer.Jobs, answer.Executors = sources.Keys(ctx)
		}
		return answer, nil
	})
}
