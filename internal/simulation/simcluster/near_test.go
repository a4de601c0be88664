package simcluster_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/simulation/simcluster"
)

var _ = Describe("a step with affinity to one rack", func() {
	jobNearRack := func(label string, estimate int) string {
		return fmt.Sprintf(`{"task-descriptor":"d","step-list":[{"task-count":2,"cpu-units":8000,"estimated-ms":%d,"affinity-labels":"%s"}]}`, estimate, label)
	}
	var c *harness
	var rack string
	var remoteRuns int
	BeforeEach(func() {
		remoteRuns = 0
		timing := simcluster.DefaultTiming
		timing.RemoteFactor = 3
		c = newHarness(33, simcluster.WithTiming(timing), simcluster.WithWork(func(task string, _ int64, executor *simcluster.Executor) (time.Duration, string) {
			if task[:16] != id(50) {
				return 400 * time.Millisecond, "done"
			}
			if executor.Labels[len(executor.Labels)-1] != rack {
				remoteRuns++
			}
			return 200 * time.Millisecond, "done"
		}))
		rack = c.Executors[0].Labels[len(c.Executors[0].Labels)-1]
		slots := 0
		for _, executor := range c.Executors {
			if executor.Labels[len(executor.Labels)-1] == rack {
				slots += 4
			}
		}
		c.submitJob(1, fmt.Sprintf(`{"task-descriptor":"d","step-list":[{"task-count":%d,"cpu-units":4000,"required-labels":"%s"}]}`, slots, rack))
		c.Run(40 * time.Millisecond)
	})

	It("waits for capacity on the rack if it is free soon enough", func() {
		c.submitJob(50, jobNearRack(rack, 2000))
		c.Run(1500 * time.Millisecond)
		Expect(c.JobState(id(50))).To(Equal("completed"))
		Expect(remoteRuns).To(BeZero())
	})

	It("runs elsewhere if waiting would take longer than running there", func() {
		c.submitJob(50, jobNearRack(rack, 200))
		c.Run(550 * time.Millisecond)
		Expect(c.JobState(id(50))).To(Equal("completed"))
		Expect(remoteRuns).To(BeNumerically(">", 0))
	})

	It("doesn't wait if no executor has the label", func() {
		c.submitJob(50, jobNearRack("elsewhere", 2000))
		c.Run(300 * time.Millisecond)
		Expect(c.JobState(id(50))).To(Equal("completed"))
	})
})
