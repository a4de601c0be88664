package lots_test

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/configuration"
	"gannetline/internal/cluster/peerapi/wire"
)

var _ = Describe("a lot", func() {
	var h *harness
	BeforeEach(func() { h = newHarness() })

	Describe("of a tenant", func() {
		verbs := []wire.Verb{wire.VerbLotResults, wire.VerbLotItem, wire.VerbEndLot}
		BeforeEach(func() {
			h.tenants = []configuration.Tenant{{Name: "team", Keys: []string{"key"}}}
			h.submit(lotID, 1)
		})

		// Guards against calls without a tenant, from hosts with public routes or with none, that read and ended every tenant's lots.
		It("is hidden from calls without a tenant, also if its route is removed", func() {
			for _, route := range []*configuration.Route{h.route, nil} {
				h.changeRoute(route)
				for _, verb := range verbs {
					Expect(h.call(verb, wire.ClientCall{Item: lotID + "-0"}).Status).To(Equal(http.StatusNotFound), string(verb))
				}
				Expect(h.call(wire.VerbLotResults, wire.ClientCall{Tenant: "team"}).Status).To(Equal(http.StatusOK))
			}
		})

		It("is shown to calls without a tenant once its route is public, or there are no tenants any more", func() {
			public := *h.route
			public.IsPublic = true
			h.changeRoute(&public)
			Expect(h.call(wire.VerbLotResults, wire.ClientCall{}).Status).To(Equal(http.StatusOK))
			public.IsPublic, h.tenants = false, nil
			h.changeRoute(&public)
			Expect(h.call(wire.VerbLotResults, wire.ClientCall{}).Status).To(Equal(http.StatusOK))
		})

		// Guards against a lot that is acknowledged and not kept, as its ID is that of another tenant's lot.
		It("keeps its ID: a lot of another tenant under it is not acknowledged", func() {
			body := `{"item-list":[{"executor-id":"x","path":"/p/x"}]}`
			answer := h.call(wire.VerbSubmitLot, wire.ClientCall{Route: routeName, Tenant: "others", Body: []byte(body)})
			Expect(answer.Status).To(Equal(http.StatusConflict))
		})
	})

	It("of a public route is shown to calls without a tenant, also once the route is removed", func() {
		h.tenants = []configuration.Tenant{{Name: "team", Keys: []string{"key"}}}
		h.route.IsPublic = true
		h.call(wire.VerbSubmitLot, wire.ClientCall{Route: routeName, Body: []byte(`{"item-list":[{"executor-id":"x","path":"/p/x"}]}`)})
		h.changeRoute(nil)
		Expect(h.call(wire.VerbLotResults, wire.ClientCall{}).Status).To(Equal(http.StatusOK))
	})
})
