package scheduler_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/peerapi/wire"
)

var _ = Describe("a run whose start is reported when its executor is already draining", func() {
	const longRunning = `{"task-descriptor":"d","step-list":[{"task-count":1,"cpu-units":1000,"long-running":true}]}`
	const long = `{"task-descriptor":"d","step-list":[{"task-count":1,"cpu-units":1000,"estimated-ms":60000}]}`
	const short = `{"task-descriptor":"d","step-list":[{"task-count":1,"cpu-units":1000,"estimated-ms":200}]}`
	var f *fleet
	var draining *fleetExecutor
	// drain starts a run, and has its executor report a drain together with its answer to the launch order. If isTakenOver is set, there is no
	// such answer, and the next leader learns from the list of runs that the run has started.
	drain := func(body string, isTakenOver bool) {
		f = newFleet(timing)
		f.add(2, wire.Capacity{CPU: 4000, Memory: 4000}, "a", "r1")
		f.submitJob(id, wire.RouteTerms{MaxAttempts: 2}, body)
		for _, executor := range f.executors {
			if f.exchangeOnce(executor); len(executor.running) > 0 {
				draining = executor
				break
			}
		}
		draining.Draining, draining.DepartureMs = true, 2000
		if isTakenOver {
			draining.Answers = nil
			f.takeOver()
		}
		f.pass(time.Second)
	}

	DescribeTable("is moved if it can't finish before the departure", func(body string, isTakenOver bool) {
		drain(body, isTakenOver)
		Expect(draining.running).To(BeEmpty())
		Expect(f.tasks()).To(HaveLen(1))
	},
		Entry("of a long-running step", longRunning, false),
		Entry("of a step with a long estimate", long, false),
		Entry("of a long-running step, with a leader change", longRunning, true),
	)

	It("is left running if it can finish before the departure", func() {
		drain(short, false)
		Expect(draining.running).To(HaveLen(1))
	})
})
