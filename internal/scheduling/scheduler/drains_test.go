package scheduler_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/peerapi/wire"
)

var _ = Describe("a run whose start is told once its executor is leaving", func() {
	const lasting = `{"task-descriptor":"d","step-list":[{"task-count":1,"cpu-units":1000,"long-running":true}]}`
	const long = `{"task-descriptor":"d","step-list":[{"task-count":1,"cpu-units":1000,"estimated-ms":60000}]}`
	const short = `{"task-descriptor":"d","step-list":[{"task-count":1,"cpu-units":1000,"estimated-ms":200}]}`
	var f *fleet
	var leaving *fleetExecutor
	// leave has the executor say that it leaves along with its answer to the start, and maybe to another leader.
	leave := func(body string, isTakenOver bool) {
		f = newFleet(timing)
		f.add(2, wire.Capacity{CPU: 4000, Memory: 4000}, "a", "r1")
		f.handIn(id, wire.RouteTerms{MaxAttempts: 2}, body)
		for _, executor := range f.executors {
			if f.exchangeOnce(executor); len(executor.running) > 0 {
				leaving = executor
				break
			}
		}
		leaving.Draining, leaving.DepartureMs = true, 2000
		if isTakenOver {
			leaving.Answers = nil
			f.takeOver()
		}
		f.pass(time.Second)
	}

	DescribeTable("is moved if it would not end there in time", func(body string, isTakenOver bool) {
		leave(body, isTakenOver)
		Expect(leaving.running).To(BeEmpty())
		Expect(f.tasks()).To(HaveLen(1))
	},
		Entry("as it lasts", lasting, false),
		Entry("as it is long", long, false),
		Entry("as it lasts, where the leader changes", lasting, true),
	)

	It("stays where it is if it will", func() {
		leave(short, false)
		Expect(leaving.running).To(HaveLen(1))
	})
})
