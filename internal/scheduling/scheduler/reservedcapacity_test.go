package scheduler_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// maxLongFraction is the fraction of the fleet's CPU that long work takes if it has all executors, as two of its runs fit on each.
const maxLongFraction = 0.75

// usedFraction is the fraction of the fleet's CPU that the runs of a queue take.
func (c *simulatedFleet) usedFraction(queue *simulatedQueue) float64 {
	var used int
	for _, executor := range c.executors {
		for _, order := range executor.running {
			if c.jobs[order.Task[:16]].queue == queue {
				used += queue.cpu
			}
		}
	}
	return float64(used) / (simulatedExecutors * executorCPU)
}

// newFleetInLull returns a fleet with a backlog of long work on which urgentJobs urgent jobs have just completed and none is pending.
func newFleetInLull(urgentJobs int) *simulatedFleet {
	const backlog = 60
	c := newSimulatedFleet(1)
	for range urgentJobs {
		c.submit(&urgentQueue)
	}
	for range backlog {
		c.submit(&longQueue)
	}
	for c.hasOpenJobs(&urgentQueue) {
		c.simulate(fleetTick, 0)
	}
	return c
}

func (c *simulatedFleet) hasOpenJobs(queue *simulatedQueue) bool {
	for _, job := range c.jobs {
		if job.queue == queue && job.completedAt == 0 {
			return true
		}
	}
	return false
}

// In a short lull of urgent work a backlog of long work could take the whole fleet, and the next urgent jobs would find no capacity.
var _ = Describe("a lull of urgent work with a backlog of long work", func() {
	It("keeps the recent demand of urgent work reserved", func() {
		c := newFleetInLull(4)
		c.simulate(500*time.Millisecond, 0)
		Expect(c.usedFraction(&longQueue)).To(BeNumerically("<", 0.7))
	})

	It("lets first runs exceed soft limits only after a while", func() {
		c := newFleetInLull(6)
		c.simulate(200*time.Millisecond, 0)
		Expect(c.usedFraction(&longQueue)).To(BeNumerically("<", 0.47))
		c.simulate(time.Second, 0)
		Expect(c.usedFraction(&longQueue)).To(BeNumerically(">", 0.55))
	})

	It("lets the reservation decay until the backlog can use the whole fleet", func() {
		c := newFleetInLull(4)
		c.simulate(20*time.Second, 0)
		Expect(c.usedFraction(&longQueue)).To(BeNumerically(">", 0.9*maxLongFraction))
	})
})
