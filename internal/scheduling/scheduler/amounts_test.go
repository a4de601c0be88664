package scheduler_test

import (
	"fmt"
	"math"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/peerapi/wire"
)

// largeAmounts are amounts whose sums and products with small numbers exceed 64 bits or wrap around to 0.
var largeAmounts = []int64{1 << 53, 1 << 60, 1 << 61, 1 << 62, math.MaxInt64}

var _ = Describe("a job that asks for more than any executor has", func() {
	const (
		ordinary = `{"task-descriptor":"d","step-list":[{"task-count":2,"cpu-units":250,"memory-req-mb":100,"estimated-ms":900},
			{"task-count":1,"cpu-units":250,"memory-req-mb":100,"estimated-ms":900,"depends-on":[0]}]}`
		ordinaryJobs = 4
	)
	terms := wire.RouteTerms{Priority: 2, MaxAttempts: 4, Stretch: 3.2, TargetMs: 3000}
	// expectOthersToComplete submits ordinary jobs before and after a job, and expects the executors to complete them all.
	expectOthersToComplete := func(f *fleet, job string) {
		f.add(2, wire.Capacity{CPU: 16000, Memory: 32768})
		id := func(number int) string { return fmt.Sprintf("%016x", number) }
		submitSome := func(from int) {
			for number := range ordinaryJobs / 2 {
				f.submitJob(id(from+number), terms, ordinary)
			}
		}
		submitSome(1)
		f.submitJob(id(0xdead), terms, job)
		f.pass(4 * fleetTick)
		submitSome(1 + ordinaryJobs/2)
		for range 6 {
			f.pass(10 * fleetTick)
			f.endAll("done")
		}
		f.takeOver()
		f.pass(10 * fleetTick)
		for number := 1; number <= ordinaryJobs; number++ {
			Expect(f.state(id(number))).To(ContainSubstring("completed"))
		}
	}

	// Guards against a division by zero that ended one leader of the pool after the other, as the work of a job wrapped around to 0 in 64 bits.
	for _, field := range []string{"cpu-units", "memory-req-mb", "gpu-count", "estimated-ms"} {
		for _, amount := range largeAmounts {
			It(fmt.Sprintf("leaves the other jobs alone: %s %d", field, amount), func() {
				job := strings.Replace(`{"task-descriptor":"d","step-list":[{"task-count":5,"cpu-units":1000,"memory-req-mb":100,"gpu-count":1,"estimated-ms":6000},
					{"task-count":5,"cpu-units":1000,"memory-req-mb":100,"gpu-count":1,"estimated-ms":6000,"depends-on":[0]}]}`, fmt.Sprintf(`"%s":`, field), fmt.Sprintf(`"%s":%d,"former":`, field, amount), 2)
				expectOthersToComplete(newFleet(timing), job)
			})
		}
	}

	DescribeTable("leaves the other jobs alone:", func(job string) {
		expectOthersToComplete(newFleet(timing), job)
	},
		Entry("five tasks of one step", `{"step-list":[{"task-count":5,"cpu-units":4611686018427387904,"memory-req-mb":100,"estimated-ms":6000}]}`),
		Entry("a gang", `{"step-list":[{"task-count":4,"cpu-units":4611686018427387904,"memory-req-mb":4611686018427387904,"estimated-ms":6000,"gang-scheduled":true}]}`),
		Entry("tasks that last", `{"step-list":[{"task-count":4,"cpu-units":4611686018427387904,"estimated-ms":4611686018427387904,"long-running":true}]}`),
		Entry("all amounts in many tasks", `{"step-list":[{"task-count":20000,"cpu-units":9223372036854775807,"memory-req-mb":9223372036854775807,"gpu-count":9223372036854775807,"estimated-ms":9223372036854775807}]}`),
		Entry("repeated far in the future", `{"first-run-ms":9223372036854775807,"period-ms":9223372036854775807,"repeat-count":100000,"step-list":[{"task-count":1,"cpu-units":250}]}`),
	)

	It("keeps its place behind the others if their sums exceed 64 bits", func() {
		f := newFleet(timing)
		for number := range 40 {
			f.submitJob(fmt.Sprintf("%016x", 0xa000+number), terms, `{"step-list":[{"task-count":500,"cpu-units":1152921504606846976,"memory-req-mb":1152921504606846976,"estimated-ms":1152921504606846976}]}`)
		}
		expectOthersToComplete(f, ordinary)
	})

	It("does not release its occurrences at once if their times exceed 64 bits", func() {
		f := newFleet(timing)
		f.add(2, wire.Capacity{CPU: 16000, Memory: 32768})
		f.submitJob(fmt.Sprintf("%016x", 1), terms, `{"first-run-ms":4611686018427387904,"period-ms":4611686018427387904,"repeat-count":1000,"step-list":[{"task-count":1,"cpu-units":250}]}`)
		f.pass(2 * time.Second)
		Expect(f.starts()).To(BeZero())
	})
})

var _ = Describe("executors that report more capacity than there can be", func() {
	// Guards against a total capacity that wraps around below zero, and leaves nothing to the jobs.
	It("get jobs, and so do the others", func() {
		f := newFleet(timing)
		f.add(3, wire.Capacity{CPU: 1 << 62, Memory: 1 << 62, GPU: 1 << 62})
		f.add(1, wire.Capacity{CPU: 16000, Memory: 32768})
		for number := range 40 {
			f.submitJob(fmt.Sprintf("%016x", number+1), wire.RouteTerms{Priority: 2, MaxAttempts: 4}, `{"step-list":[{"task-count":2,"cpu-units":1000,"memory-req-mb":100,"estimated-ms":60000}]}`)
		}
		f.pass(2 * time.Second)
		Expect(f.starts()).To(Equal(80))
	})
})
