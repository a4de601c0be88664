package scheduler_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/peerapi/wire"
)

// lastingQueue has a single job, whose tasks run until the job is cancelled.
var lastingQueue = pressedQueue{name: "lasting", cpu: 6000, length: time.Hour}

// submitLasting submits a job with a number of long-running tasks.
func (c *pressedFleet) submitLasting(tasks int) {
	const id = "ffffffffffffff01"
	c.jobs[id] = &pressedJob{queue: &lastingQueue, remaining: tasks}
	c.handIn(id, wire.RouteTerms{MaxAttempts: 3, Priority: 2, Stretch: 1.5, TargetMs: 500}, fmt.Sprintf(
		`{"task-descriptor":"d","step-list":[{"task-count":%d,"cpu-units":%d,"memory-req-mb":500,"estimated-ms":100,"long-running":true}]}`, tasks, lastingQueue.cpu))
}

// lastingRuns returns the number of runs of the lasting job, and has the given number of them fail.
func (c *pressedFleet) lastingRuns(failing int) (running int) {
	for _, executor := range c.executors {
		for _, order := range slices.Clone(executor.running) {
			if c.jobs[order.Task[:16]].queue != &lastingQueue {
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
	// Rule LOST: while there is capacity for a task, it runs again within 6 s of the end of its last run, however busy the service is.
	// A task would wait longer if the capacity reserved for urgent jobs, or other running tasks of its step, kept it from starting.
	It("are restarted soon although free capacity is reserved for urgent jobs and other tasks of the step run", func() {
		for _, tasks := range []int{10, 20, 30} {
			c := newPressedFleet(1)
			c.submitLasting(tasks)
			c.play(5*time.Second, 1, &usualQueue)
			for range 8 {
				c.submit(&urgentQueue)
			}
			c.play(4*time.Second, 1, &usualQueue)
			Expect(c.lastingRuns(5)).To(Equal(tasks))
			c.play(2*time.Second, 1, &usualQueue)
			Expect(c.lastingRuns(0)).To(Equal(tasks), "of %d tasks", tasks)
		}
	})
})
