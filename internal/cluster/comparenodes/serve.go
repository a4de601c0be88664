// Package comparenodes shows what a node believes, and how two nodes differ in that.
package comparenodes

import (
	"context"
	"net/http"

	"gannetline/internal/cluster/configcache"
	"gannetline/internal/cluster/membership"
	"gannetline/internal/cluster/peerapi"
	"gannetline/internal/cluster/peerapi/wire"
)

// Sources are where a node's beliefs come from: its view of the members, the configuration that it applies, and what
// it knows of keys, jobs and executors. Ring may be nil on a node that leads no keys.
type Sources struct {
	View          func() *membership.View
	Configuration func() *configcache.Snapshot
	Keys          func(ctx context.Context) ([]wire.KeyBelief, []wire.JobBelief, []wire.ExecutorBelief)
}

// Handle lets an operator's tool ask this node for its beliefs.
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
