package scheduler_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/peerapi/wire"
)

var _ = Describe("a job that has ended", func() {
	const single = `{"task-descriptor":"d","step-list":[{"task-count":1,"cpu-units":1000}]}`
	// statusTime is the retention that a deployment requires, 30 s less than KeepEnded.
	const statusTime = 120 * time.Second
	var f *fleet
	BeforeEach(func() {
		f = newFleet(timing)
		f.add(2, wire.Capacity{CPU: 4000, Memory: 4000}, "a", "r1")
	})

	DescribeTable("is kept for status_s, whatever the leaders' clocks show", func(firstOffsetMs, secondOffsetMs int64) {
		f.submitJob(id, wire.RouteTerms{MaxAttempts: 2}, single)
		f.pass(200 * time.Millisecond)
		f.clock.StepWall(firstOffsetMs)
		f.endAll("done")
		f.pass(200 * time.Millisecond)
		f.clock.StepWall(secondOffsetMs - firstOffsetMs)
		f.takeOver()
		f.clock.Advance(statusTime)
		f.pass(200 * time.Millisecond)
		Expect(f.state(id)).To(ContainSubstring("completed"))
		f.submitJob(id, wire.RouteTerms{MaxAttempts: 2}, single)
		f.pass(200 * time.Millisecond)
		Expect(f.starts()).To(Equal(1))
	},
		Entry("equal clocks", int64(0), int64(0)),
		Entry("the first clock slow, the second fast", int64(-14_000), int64(15_000)),
		Entry("the first clock fast, the second slow", int64(15_000), int64(-15_000)),
	)

	It("runs each occurrence of a repeated job once, despite clock jumps and leader changes", func() {
		f.submitJob(id, wire.RouteTerms{MaxAttempts: 2}, `{"task-descriptor":"d","step-list":[{"task-count":1,"cpu-units":1000}],`+
			`"repeat-count":4,"first-run-ms":1001000,"period-ms":2000}`)
		for _, jump := range []int64{0, 3000, -5000, 4000, -2000, 0, 0, 0} {
			f.clock.StepWall(jump)
			f.takeOver()
			f.pass(time.Second)
			f.endAll("done")
			f.pass(200 * time.Millisecond)
		}
		f.pass(4 * time.Second)
		f.endAll("done")
		f.pass(4 * time.Second)
		Expect(f.state(id)).To(ContainSubstring("completed"))
		Expect(f.starts()).To(Equal(4))
	})
})
