package scheduler_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/peerapi/wire"
)

// lastingQueue has one job, whose tasks run until it is cancelled.
var lastingQueue = pressedQueue{name: "lasting", cpu: 6000, length: time.Hour}

// submitLasting brings a job of so many tasks that last.
func (c *pressedFleet) submitLasting(tasks int) {
	const id = "ffffffffffffff01"
	c.jobs[id] = &pressedJob{queue: &lastingQueue, remaining: tasks}
	c.handIn(id, wire.RouteTerms{MaxAttempts: 3, Priority: 2, Stretch: 1.5, TargetMs: 500}, fmt.Sprintf(
		`{"task-descriptor":"d","step-list":[{"task-count":%d,"cpu-units":%d,"memory-req-mb":500,"estimated-ms":100,"long-running":true}]}`, tasks, lastingQueue.cpu))
}

// lastingRuns counts the runs of the lasting job, and ends so many of them.
func (c *pressedFleet) lastingRuns(ending int) (running int) {
	for _, executor := range c.executors {
		for _, order := range slices.Clone(executor.running) {
			if c.jobs[order.Task[:16]].queue != &lastingQueue {
				continue
			}
			if running++; running <= ending {
				executor.end(order.Task, "failed")
			}
		}
	}
	return running
}

var _ = Describe("tasks that last", func() {
	// Rule LOST: each has a run within 6 s of its last one, however full the service is, while there is room for it.
	It("start again soon, though what is free is kept for the urgent and others of their step run", func() {
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
