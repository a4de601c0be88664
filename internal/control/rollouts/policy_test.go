package rollouts_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/configcache"
	"gannetline/internal/cluster/configuration"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/rollouts"
	"gannetline/internal/scheduling/scheduler"
)

var _ = Describe("the policy of the pool that runs the new version", func() {
	// policyWith returns the policy of the new version's pool after a rollback, with a list of routes.
	policyWith := func(routes string, moved ...wire.MovedRoute) scheduler.RolloutPolicy {
		decoded, err := configuration.Read([]byte(fmt.Sprintf(`{"config-version":1,"route-list":[%s],"service-list":[{"name":"old"},{"name":"new"}],
			"rollout-list":[{"name":"r","route":"q","from-service":"old","to-service":"new","steps":[{"share":1}],"agreed":{"failures":0.1},"state":"turned-back","begun-ms":1}]}`, routes)))
		Expect(err).NotTo(HaveOccurred())
		snapshot := &configcache.Snapshot{Committed: &wire.Configuration{Version: decoded.Version, Moved: moved}, Matcher: configuration.NewMatcher(decoded)}
		return rollouts.PolicyFor(snapshot, "new")
	}
	route := func(name, service string) string {
		return fmt.Sprintf(`{"name":%q,"host":"h","path-prefix":"/q/","timeout-ms":1,"route-type":"idempotent","service":%q}`, name, service)
	}

	It("returns its jobs after a rollback, unless the queue leads to it", func() {
		Expect(policyWith(route("q", "old")).Rollouts).To(ConsistOf(scheduler.RolloutTerms{Name: "r", BegunMs: 1, Route: "q", ReturnTo: "old", IsRepeatable: true}))
		Expect(policyWith(route("q", "new")).Rollouts).To(BeEmpty())
	})

	// Guards against jobs of a version that was rolled back that were started there after their queue had been removed or renamed.
	It("returns its jobs also if the queue was removed or has another name", func() {
		returned := scheduler.RolloutTerms{Name: "r", BegunMs: 1, Route: "q", ReturnTo: "old"}
		Expect(policyWith("").Rollouts).To(ConsistOf(returned))
		Expect(policyWith(route("renamed", "old")).Rollouts).To(ConsistOf(returned))
	})

	// Guards against jobs that two pools passed to each other for ever: one returned them, and the other moved them to where the queue led.
	It("keeps its jobs if the queue leads to it under another name", func() {
		moved := wire.MovedRoute{Route: "renamed", Services: []string{"old"}, Names: []string{"q"}}
		Expect(policyWith(route("renamed", "new"), moved).Rollouts).To(BeEmpty())
		Expect(policyWith(route("renamed", "old"), moved).Rollouts).To(HaveLen(1))
	})
})
