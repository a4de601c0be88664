package queuemoves_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/configcache"
	"gannetline/internal/cluster/configuration"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/queuemoves"
)

var _ = Describe("the queue routing of a pool", func() {
	// routingWith returns the routing of the pool of a service, for a list of routes and of rollouts.
	routingWith := func(service, routes, rollouts string, moved ...wire.MovedRoute) *queuemoves.Routing {
		decoded, err := configuration.Read([]byte(fmt.Sprintf(`{"config-version":7,"route-list":[%s],"rollout-list":[%s],
			"service-list":[{"name":"first"},{"name":"second"},{"name":"third"}]}`, routes, rollouts)))
		Expect(err).NotTo(HaveOccurred())
		return queuemoves.NewRouting(&configcache.Snapshot{Committed: &wire.Configuration{Version: 7, Moved: moved}, Matcher: configuration.NewMatcher(decoded)}, service)
	}
	route := func(name, kind, service string) string {
		return fmt.Sprintf(`{"name":%q,"host":%q,"path-prefix":"/q/","timeout-ms":1,"route-type":%q,"service":%q}`, name, name, kind, service)
	}
	renamed := wire.MovedRoute{Route: "renamed", Services: []string{"first"}, Names: []string{"q"}}

	DescribeTable("says whether a queue leads elsewhere", func(routes string, moved []wire.MovedRoute, hasMoved bool) {
		Expect(routingWith("first", routes, "", moved...).HasMoved("q")).To(Equal(hasMoved))
	},
		Entry("it leads here", route("q", "idempotent", "first"), nil, false),
		Entry("it leads to another service", route("q", "idempotent", "second"), nil, true),
		Entry("it was removed", route("other", "idempotent", "second"), nil, false),
		Entry("it has another name and leads here", route("renamed", "idempotent", "first"), []wire.MovedRoute{renamed}, false),
		Entry("it has another name and leads to another service", route("renamed", "idempotent", "second"), []wire.MovedRoute{renamed}, true),
		Entry("its name is that of a route for streams", route("q", "streaming", "second"), nil, false),
		Entry("its name is that of a queue that leads here, and another queue had it before",
			route("q", "idempotent", "first")+","+route("renamed", "idempotent", "second"), []wire.MovedRoute{renamed}, false),
		Entry("its former name belongs to a queue that was removed as well", route("other", "idempotent", "second"), []wire.MovedRoute{renamed}, false),
	)

	It("counts both versions of a rollout in progress as services of the queue, and moves the others' jobs to the version of their ID", func() {
		rollout := `{"name":"r","route":"q","from-service":"first","to-service":"second","steps":[{"share":1}],"agreed":{"failures":0.1},"state":"widening","begun-ms":1}`
		routes := route("q", "idempotent", "first")
		Expect(routingWith("first", routes, rollout).HasMoved("q")).To(BeFalse())
		Expect(routingWith("second", routes, rollout).HasMoved("q")).To(BeFalse())
		third := routingWith("third", routes, rollout)
		Expect(third.HasMoved("q")).To(BeTrue())
		Expect(third.ServiceFor("q", "00000000000000a0")).To(Equal("second"))
		Expect(third.Version()).To(Equal(int64(7)))
	})
})
