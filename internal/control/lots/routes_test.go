package lots_test

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/configuration"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/lots"
)

var _ = Describe("a lot", func() {
	var h *harness
	BeforeEach(func() { h = newHarness() })

	Describe("whose route is removed", func() {
		BeforeEach(func() {
			h.submit(lotID, 6)
			Expect(h.runs).To(HaveLen(4))
		})

		// Guards against items that wait for ever, neither run nor listed, once a configuration has removed their route.
		It("has dead-letter results for the items that wait, and keeps the results of those that run", func() {
			h.changeRoute(nil)
			h.endRun(lotID+"-0", lots.OutcomeCompleted, progressOf("a"))
			Expect(h.runs).To(HaveLen(3), "no further item starts")
			h.passSeconds(6)
			Expect(h.readResults(0).Results).To(HaveLen(3))
			Expect(h.readResults(1).Results[0].State).To(Equal("dead_letter"))
			h.endRun(lotID+"-1", lots.OutcomeCompleted, progressOf("b"))
			Expect(h.readResults(3).Results[0].State).To(Equal("completed"))
			h.endRun(lotID+"-2", lots.OutcomeBroken, lots.Progress{})
			h.endRun(lotID+"-3", lots.OutcomeFailed, lots.Progress{})
			h.passSeconds(1)
			Expect(h.readResults(0).Results).To(HaveLen(6), "items whose run broke off are given up as well")
		})

		It("does so under the next leader too", func() {
			h.changeRoute(nil)
			h.part.Close()
			h.open()
			h.passSeconds(6)
			Expect(h.readResults(0).Results).To(HaveLen(6))
		})

		It("goes on if the route comes back soon, also on another service", func() {
			route := *h.route
			h.changeRoute(nil)
			h.passSeconds(2)
			route.Service = "other"
			h.changeRoute(&route)
			h.passSeconds(2)
			h.changeRoute(nil)
			h.passSeconds(2)
			Expect(h.readResults(0).Results).To(BeEmpty())
			h.changeRoute(&route)
			h.endRun(lotID+"-0", lots.OutcomeCompleted, progressOf("a"))
			Expect(h.runs).To(HaveLen(4))
		})

		It("gives no item up on the word of a configuration older than its own", func() {
			route := h.route
			h.changeRoute(h.route)
			h.submit("7c41e09b52d6a3f9", 1)
			h.part.Close()
			h.version, h.route = 1, nil
			h.open()
			h.passSeconds(9)
			Expect(h.leadership.durable).To(HaveKey("b/7c41e09b52d6a3f9/0"))
			h.version, h.route = 2, route
			h.flush()
			Expect(h.runs).NotTo(BeEmpty())
		})

		DescribeTable("goes on with the route that takes its address", func(change func(*configuration.Route), goesOn bool) {
			successor := *h.route
			successor.Name = "other"
			change(&successor)
			h.changeRoute(&successor)
			h.part.Close()
			h.open()
			if !goesOn {
				Expect(h.runs).To(BeEmpty())
				return
			}
			Expect(h.runs).To(HaveLen(4))
			Expect(h.runs[0].Host).To(Equal(successor.Host))
		},
			Entry("under another name", func(*configuration.Route) {}, true),
			Entry("under another name and service", func(successor *configuration.Route) { successor.Service = "t" }, true),
			Entry("not if it is on another host", func(successor *configuration.Route) { successor.Host = "i" }, false),
			Entry("not if it has another prefix", func(successor *configuration.Route) { successor.PathPrefix = "/" }, false),
			Entry("not if it is no route for lots", func(successor *configuration.Route) { successor.Type = configuration.RouteStreaming }, false),
		)

		It("counts for the token limit of a route that takes its address", func() {
			successor := *h.route
			successor.Name, successor.UpperLimit = "other", []byte("650")
			h.changeRoute(&successor)
			body := `{"item-list":[{"executor-id":"x","path":"/p/x","token-count":100}]}`
			answer := h.call(wire.VerbSubmitLot, wire.ClientCall{ID: "7c41e09b52d6a3f9", Route: "other", Tenant: "team", Body: []byte(body)})
			Expect(answer.Status).To(Equal(http.StatusTooManyRequests))
		})
	})
})
