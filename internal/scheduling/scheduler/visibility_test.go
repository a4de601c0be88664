package scheduler_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/peerapi/wire"
)

var _ = Describe("the job of a tenant", func() {
	var f *fleet
	BeforeEach(func() {
		f = newFleet(timing)
		f.pool.Submit(&wire.ClientCall{Route: "e", ID: jobID(0), Tenant: "team", Terms: &wire.RouteTerms{}, Body: []byte(singleTask)}, func(wire.ClientAnswer) {})
		f.settle()
	})
	// statusOf returns the status of the answers to a read and to a cancel by a call that names the job.
	statusOf := func(call wire.ClientCall) (read, cancelled int) {
		call.ID = jobID(0)
		f.pool.State(&call, func(answer wire.ClientAnswer) { read = answer.Status })
		f.settle()
		f.pool.Cancel(&call, func(answer wire.ClientAnswer) { cancelled = answer.Status })
		f.settle()
		return read, cancelled
	}

	// Guards against calls without a key that read and cancelled tenants' jobs through a public queue of the same service.
	It("is hidden from calls without a tenant to another queue, and goes on", func() {
		read, cancelled := statusOf(wire.ClientCall{Route: "public"})
		Expect([]int{read, cancelled}).To(Equal([]int{410, 410}))
		Expect(f.state(jobID(0))).To(ContainSubstring("queued"))
	})

	It("is hidden from other tenants", func() {
		read, cancelled := statusOf(wire.ClientCall{Route: "e", Tenant: "others"})
		Expect([]int{read, cancelled}).To(Equal([]int{410, 410}))
	})

	It("is shown to calls without a tenant to its own queue, whatever its present name, as the queue is public then", func() {
		read, _ := statusOf(wire.ClientCall{Route: "renamed", FormerRoutes: []string{"e"}})
		Expect(read).To(Equal(200))
		_, cancelled := statusOf(wire.ClientCall{Route: "e"})
		Expect(cancelled).To(Equal(200))
	})
})
