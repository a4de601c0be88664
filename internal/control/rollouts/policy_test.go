package rollouts_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/configuration"
	"gannetline/internal/control/rollouts"
	"gannetline/internal/scheduling/scheduler"
)

var _ = Describe("the policy of the pool that runs the new version", func() {
	// policyWith returns the policy of the new version's pool after a rollback, with a list of routes.
	policyWith := func(routes string) scheduler.RolloutPolicy {
		decoded, err := configuration.Read([]byte(fmt.Sprintf(`{"config-version":1,"route-list":[%s],"service-list":[{"name":"old"},{"name":"new"}],
			"rollout-list":[{"name":"r","route":"q","from-service":"old","to-service":"new","steps":[{"share":1}],"agreed":{"failures":0.1},"state":"turned-back","begun-ms":1}]}`, routes)))
		Expect(err).NotTo(HaveOccurred())
		return rollouts.PolicyFor(decoded.Version, configuration.NewMatcher(decoded), "new")
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
})
