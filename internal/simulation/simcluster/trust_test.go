package simcluster_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/simulation/simcluster"
)

var _ = Describe("unreliable executors", func() {
	var c *harness
	number := 0
	submitFor := func(span time.Duration, body string) {
		for until := c.Events.Now() + span; c.Events.Now() < until; number++ {
			c.submitJob(number, body)
			c.Run(100 * time.Millisecond)
		}
	}
	starts := func(executor *simcluster.Executor) int { return executor.Starts }
	BeforeEach(func() { c, number = newHarness(51), 0 })

	It("limits the refusals of an intermittently refusing executor, and gives it work again gradually", func() {
		flapping := c.Executors[0]
		for range 8 {
			c.RefuseConnections(flapping, true)
			submitFor(1400*time.Millisecond, plain(24, 1500))
			c.RefuseConnections(flapping, false)
			submitFor(1400*time.Millisecond, plain(24, 1500))
		}
		fmt.Fprintf(GinkgoWriter, "%d refusals in 8 rounds, %d of %d starts on the refusing executor\n", c.Refusals, starts(flapping), c.Checker.Starts)
		Expect(c.Refusals).To(BeNumerically("<", 400))
		before := starts(flapping)
		submitFor(30*time.Second, plain(30, 1500))
		Expect(starts(flapping)).To(BeNumerically(">", before+20))
		c.Run(5 * time.Second)
		c.expectAllCompleted()
		Expect(c.Checker.Violations).To(BeEmpty())
	})

	It("gives few runs to a repeatedly crashing executor, and work again once it is stable", func() {
		crashing, otherStarts := c.Executors[0], 0
		for range 8 {
			submitFor(1400*time.Millisecond, plain(10, 2000))
			c.Crash(crashing, 1400*time.Millisecond)
			submitFor(1400*time.Millisecond, plain(10, 2000))
		}
		for _, other := range c.Executors[1:] {
			otherStarts += starts(other)
		}
		fmt.Fprintf(GinkgoWriter, "%d starts on the crashing executor, %d on each other one\n", starts(crashing), otherStarts/5)
		Expect(starts(crashing)).To(BeNumerically("<", otherStarts/5/8))
		before := starts(crashing)
		c.Run(30 * time.Second)
		submitFor(5*time.Second, plain(24, 1500))
		Expect(starts(crashing)).To(BeNumerically(">", before+50))
		c.Run(5 * time.Second)
		c.expectAllCompleted()
		Expect(c.Checker.Violations).To(BeEmpty())
	})

	It("places a refused start elsewhere at once", func() {
		for _, executor := range c.Executors[:5] {
			c.RefuseConnections(executor, true)
		}
		c.submitJob(1, plain(6, 1500))
		c.Run(700 * time.Millisecond)
		Expect(c.JobState(id(1))).To(Equal("completed"))
		Expect(c.Checker.Violations).To(BeEmpty())
	})

	It("uses an avoided executor as soon as there is no other capacity", func() {
		flapping := c.Executors[0]
		for range 5 {
			c.RefuseConnections(flapping, true)
			submitFor(500*time.Millisecond, plain(6, 1500))
			c.RefuseConnections(flapping, false)
			submitFor(500*time.Millisecond, plain(6, 1500))
		}
		for _, other := range c.Executors[1:] {
			c.Crash(other, time.Minute)
		}
		c.Run(8 * time.Second)
		c.submitJob(9999, plain(4, 1500))
		c.Run(time.Second)
		Expect(c.JobState(id(9999))).To(Equal("completed"))
		Expect(c.Checker.Violations).To(BeEmpty())
	})

	hangOn := func(indexes ...int) func(string, int64, *simcluster.Executor) (time.Duration, string) {
		return func(_ string, _ int64, executor *simcluster.Executor) (time.Duration, string) {
			for _, index := range indexes {
				if executor == c.Executors[index] {
					return time.Hour, "done"
				}
			}
			return 400 * time.Millisecond, "done"
		}
	}

	It("moves runs that make no progress, and starts fewer runs where they hung", func() {
		c.Work = hangOn(0)
		submitFor(8*time.Second, plain(8, 1500))
		c.Run(5 * time.Second)
		c.expectAllCompleted()
		Expect(starts(c.Executors[0])).To(BeNumerically("<", c.Checker.Starts/20))
		Expect(c.Checker.Violations).To(BeEmpty())
	})

	It("stops moving a task that hangs on every executor", func() {
		c.Work = hangOn(0, 1, 2, 3, 4, 5)
		c.submitJob(1, plain(1, 1500))
		c.Run(30 * time.Second)
		Expect(c.Checker.Starts).To(Equal(5))
		Expect(c.Checker.Violations).To(BeEmpty())
	})

	It("moves neither runs that progress slowly nor runs of an unreachable executor", func() {
		c.Work = func(string, int64, *simcluster.Executor) (time.Duration, string) { return 20 * time.Second, "done" }
		c.submitJob(1, plain(6, 1500))
		c.Run(3 * time.Second)
		c.RefuseConnections(c.Executors[0], true)
		c.Run(2 * time.Second)
		c.RefuseConnections(c.Executors[0], false)
		c.Run(18 * time.Second)
		Expect(c.Checker.Starts).To(Equal(6))
		c.expectAllCompleted()
	})
})
