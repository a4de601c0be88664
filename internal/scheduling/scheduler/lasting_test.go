package scheduler_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/peerapi/wire"
)

// longRunningQueue has a single job, whose tasks run until the job is cancelled.
var longRunningQueue = simulatedQueue{name: "lasting", cpu: 6000, length: time.Hour}

// submitLongRunning submits a job with a number of long-running tasks.
func (c *simulatedFleet) submitLongRunning(tasks int) {
	const id = "ffffffffffffff01"
	c.jobs[id] = &simulatedJob{queue: &longRunningQueue, remaining: tasks}
	c.submitJob(id, wire.RouteTerms{MaxAttempts: 3, Priority: 2, Stretch: 1.5, TargetMs: 500}, fmt.Sprintf(
		`{"task-descriptor":"d","step-list":[{"task-count":%d,"cpu-units":%d,"memory-req-mb":500,"estimated-ms":100,"long-running":true}]}`, tasks, longRunningQueue.cpu))
}

// countAndFailRuns returns the number of runs of the long-running job, and lets the given number of them fail.
func (c *simulatedFleet) countAndFailRuns(failing int) (running int) {
	for _, executor := range c.executors {
		for _, order := range slices.Clone(executor.running) {
			if c.jobs[order.Task[:16]].queue != &longRunningQueue {
				continue
			}
			if running++; running <= failing {
				executor.end(order.Task, "failed")
			}
		}
	}
	return running
}

var _ = Describe("long-running tasks", func() {
	// A task for which there is capacity must run again within 6 s of the end of its last run, however busy the service is. It would wait
	// longer if the capacity reserved for urgent jobs, or other running tasks of its step, kept it from starting.
	It("are restarted soon although free capacity is reserved for urgent jobs and other tasks of the step run", func() {
		for _, tasks := range []int{10, 20, 30} {
			c := newSimulatedFleet(1)
			c.submitLongRunning(tasks)
			c.simulate(5*time.Second, 1, &usualQueue)
			for range 8 {
				c.submit(&urgentQueue)
			}
			c.simulate(4*time.Second, 1, &usualQueue)
			Expect(c.countAndFailRuns(5)).To(Equal(tasks))
			c.simulate(2*time.Second, 1, &usualQueue)
			Expect(c.countAndFailRuns(0)).To(Equal(tasks), "of %d tasks", tasks)
		}
	})
})
