package simcluster_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/simulation/simcluster"
)

var _ = Describe("a step whose data lies on one rack", func() {
	near := func(label string, estimate int) string {
		return fmt.Sprintf(`{"task-descriptor":"d","step-list":[{"task-count":2,"cpu-units":8000,"estimated-ms":%d,"affinity-labels":"%s"}]}`, estimate, label)
	}
	var c *jobCrowd
	var rack string
	var away int
	BeforeEach(func() {
		away = 0
		timing := simcluster.DefaultTiming
		timing.RemoteFactor = 3
		c = newJobCrowd(33, simcluster.WithTiming(timing), simcluster.WithWork(func(task string, _ int64, executor *simcluster.Executor) (time.Duration, string) {
			if task[:16] != id(50) {
				return 400 * time.Millisecond, "done"
			}
			if executor.Labels[len(executor.Labels)-1] != rack {
				away++
			}
			return 200 * time.Millisecond, "done"
		}))
		rack = c.Executors[0].Labels[len(c.Executors[0].Labels)-1]
		places := 0
		for _, executor := range c.Executors {
			if executor.Labels[len(executor.Labels)-1] == rack {
				places += 4
			}
		}
		c.handIn(1, fmt.Sprintf(`{"task-descriptor":"d","step-list":[{"task-count":%d,"cpu-units":4000,"required-labels":"%s"}]}`, places, rack))
		c.Run(40 * time.Millisecond)
	})

	It("waits for room there if that is soon enough", func() {
		c.handIn(50, near(rack, 2000))
		c.Run(1500 * time.Millisecond)
		Expect(c.StateNow(id(50))).To(Equal("completed"))
		Expect(away).To(BeZero())
	})

	It("waits no longer than it is worth", func() {
		c.handIn(50, near(rack, 200))
		c.Run(550 * time.Millisecond)
		Expect(c.StateNow(id(50))).To(Equal("completed"))
		Expect(away).To(BeNumerically(">", 0))
	})

	It("waits for nobody where no executor of the rack can be given runs", func() {
		c.handIn(50, near("elsewhere", 2000))
		c.Run(300 * time.Millisecond)
		Expect(c.StateNow(id(50))).To(Equal("completed"))
	})
})
