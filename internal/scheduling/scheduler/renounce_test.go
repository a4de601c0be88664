package scheduler_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/peerapi/wire"
)

// A submission may be delayed on its way to a pool while its job goes to the pool of another service. Without the promise the job would
// then run in both pools.
var _ = Describe("a pool whose queue has moved to another service", func() {
	const single = `{"task-descriptor":"d","step-list":[{"task-count":1,"cpu-units":1000}]}`
	var f *fleet
	ask := func(verb func(*wire.ClientCall, func(wire.ClientAnswer))) (reported wire.ClientAnswer) {
		verb(&wire.ClientCall{Route: "e", ID: id, Terms: &wire.RouteTerms{MaxAttempts: 2}, Body: []byte(single)},
			func(answer wire.ClientAnswer) { reported = answer })
		f.settle()
		return reported
	}
	BeforeEach(func() {
		f = newFleet(timing)
		f.add(2, wire.Capacity{CPU: 4000, Memory: 4000}, "a", "r1")
	})

	It("refuses the submission of a renounced job, also under the next leader", func() {
		Expect(ask(f.pool.Renounce).Status).To(Equal(410))
		Expect(ask(f.pool.Submit).Status).To(Equal(503))
		f.takeOver()
		Expect(ask(f.pool.Submit).Status).To(Equal(503))
		f.pass(200 * time.Millisecond)
		Expect(f.tasks()).To(BeEmpty())
	})

	It("accepts a renounced job only under a newer configuration than that of the promise", func() {
		askWithVersion := func(version int64, verb func(*wire.ClientCall, func(wire.ClientAnswer))) (reported wire.ClientAnswer) {
			verb(&wire.ClientCall{Route: "e", ID: id, Version: version, Body: []byte(single)}, func(answer wire.ClientAnswer) { reported = answer })
			f.settle()
			return reported
		}
		Expect(askWithVersion(5, f.pool.Renounce).Status).To(Equal(410))
		Expect(askWithVersion(4, f.pool.Renounce).Status).To(Equal(410))
		for _, version := range []int64{0, 4, 5} {
			Expect(askWithVersion(version, f.pool.Submit).Status).To(Equal(503), "version %d", version)
		}
		f.takeOver()
		Expect(askWithVersion(5, f.pool.Submit).Status).To(Equal(503))
		Expect(askWithVersion(6, f.pool.Submit).Status).To(Equal(200))
		Expect(f.leadership.has("m/")).To(BeFalse())
		Expect(askWithVersion(7, f.pool.Renounce).Status).To(Equal(200), "the pool has the job now")
	})

	It("answers a renounce call only after the commit", func() {
		var reported []wire.ClientAnswer
		f.pool.Renounce(&wire.ClientCall{Route: "e", ID: id}, func(answer wire.ClientAnswer) { reported = append(reported, answer) })
		f.pool.Flush()
		Expect(reported).To(BeEmpty())
		f.pool.Close()
		Expect(reported).To(Equal([]wire.ClientAnswer{{NotLeader: true}}))
	})

	It("keeps a job that was submitted before the renounce call", func() {
		Expect(ask(f.pool.Submit).Status).To(Equal(200))
		Expect(ask(f.pool.Renounce).Status).To(Equal(200))
	})

	It("deletes the promise once no submission can be in flight any more", func() {
		Expect(ask(f.pool.Renounce).Status).To(Equal(410))
		f.clock.Advance(timing.KeepEnded + time.Second)
		f.pass(100 * time.Millisecond)
		Expect(f.leadership.has("m/")).To(BeFalse())
		Expect(ask(f.pool.Submit).Status).To(Equal(200))
	})
})
