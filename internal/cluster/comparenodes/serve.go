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
	View func() *membership.View
	Page func() *configcache.Snapshot
	Ring func(ctx context.Context) ([]wire.KeyBelief, []wire.JobBelief, []wire.ExecutorBelief)
}

// Handle lets an operator's tool ask this node for its beliefs.
func Handle(mux *http.ServeMux, sources Sources) {
	peerapi.Serve(mux, peerapi.ProcedureBeliefs, func(ctx context.Context, _ *wire.BeliefsCall) (*wire.BeliefsAnswer, error) {
		view := sources.View()
		answer := &wire.BeliefsAnswer{Name: view.Self.Name, Role: view.Self.Role, Members: view.Members}
		for _, fact := range view.Owners {
			answer.Leaders = append(answer.Leaders, fact)
		}
		if sources.Page != nil {
			if page := sources.Page(); page != nil {
				answer.ConfigVersion = page.Fact.Version
			}
		}
		if sources.Ring != nil {
			answer.Keys, answer.Jobs, answer.Executors = sources.Ring(ctx)
		}
		return answer, nil
	})
}
