package simcluster_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/simulation/simcluster"
)

var _ = Describe("executors that mislead", func() {
	var c *jobCrowd
	number := 0
	load := func(span time.Duration, body string) {
		for until := c.Events.Now() + span; c.Events.Now() < until; number++ {
			c.handIn(number, body)
			c.Run(100 * time.Millisecond)
		}
	}
	starts := func(executor *simcluster.Executor) int { return executor.Starts }
	BeforeEach(func() { c, number = newJobCrowd(51), 0 })

	It("lets one that refuses by turns cost little, and gives it work again by degrees", func() {
		flapping := c.Executors[0]
		for range 8 {
			c.Refuse(flapping, true)
			load(1400*time.Millisecond, plain(24, 1500))
			c.Refuse(flapping, false)
			load(1400*time.Millisecond, plain(24, 1500))
		}
		fmt.Fprintf(GinkgoWriter, "%d refusals in 8 turns, %d of %d starts there\n", c.Refusals, starts(flapping), c.Judge.Starts)
		Expect(c.Refusals).To(BeNumerically("<", 400))
		before := starts(flapping)
		load(30*time.Second, plain(30, 1500))
		Expect(starts(flapping)).To(BeNumerically(">", before+20))
		c.Run(5 * time.Second)
		c.expectAllCompleted()
		Expect(c.Judge.Problems).To(BeEmpty())
	})

	It("gives few runs to one that dies by turns, and work again once it lasts", func() {
		dying, fair := c.Executors[0], 0
		for range 8 {
			load(1400*time.Millisecond, plain(10, 2000))
			c.Crash(dying, 1400*time.Millisecond)
			load(1400*time.Millisecond, plain(10, 2000))
		}
		for _, other := range c.Executors[1:] {
			fair += starts(other)
		}
		fmt.Fprintf(GinkgoWriter, "%d starts on the one that dies, %d on each other one\n", starts(dying), fair/5)
		Expect(starts(dying)).To(BeNumerically("<", fair/5/8))
		before := starts(dying)
		c.Run(30 * time.Second)
		load(5*time.Second, plain(24, 1500))
		Expect(starts(dying)).To(BeNumerically(">", before+50))
		c.Run(5 * time.Second)
		c.expectAllCompleted()
		Expect(c.Judge.Problems).To(BeEmpty())
	})

	It("places a refused start elsewhere at once", func() {
		for _, executor := range c.Executors[:5] {
			c.Refuse(executor, true)
		}
		c.handIn(1, plain(6, 1500))
		c.Run(700 * time.Millisecond)
		Expect(c.StateNow(id(1))).To(Equal("completed"))
		Expect(c.Judge.Problems).To(BeEmpty())
	})

	It("uses one that lost all trust as soon as there is no other room", func() {
		flapping := c.Executors[0]
		for range 5 {
			c.Refuse(flapping, true)
			load(500*time.Millisecond, plain(6, 1500))
			c.Refuse(flapping, false)
			load(500*time.Millisecond, plain(6, 1500))
		}
		for _, other := range c.Executors[1:] {
			c.Crash(other, time.Minute)
		}
		c.Run(8 * time.Second)
		c.handIn(9999, plain(4, 1500))
		c.Run(time.Second)
		Expect(c.StateNow(id(9999))).To(Equal("completed"))
		Expect(c.Judge.Problems).To(BeEmpty())
	})

	hangsOn := func(places ...int) func(string, int64, *simcluster.Executor) (time.Duration, string) {
		return func(_ string, _ int64, executor *simcluster.Executor) (time.Duration, string) {
			for _, index := range places {
				if executor == c.Executors[index] {
					return time.Hour, "done"
				}
			}
			return 400 * time.Millisecond, "done"
		}
	}

	It("moves runs that make no progress, once, and starts less where they hung", func() {
		c.Work = hangsOn(0)
		load(8*time.Second, plain(8, 1500))
		c.Run(5 * time.Second)
		c.expectAllCompleted()
		Expect(starts(c.Executors[0])).To(BeNumerically("<", c.Judge.Starts/20))
		Expect(c.Judge.Problems).To(BeEmpty())
	})

	It("leaves a task to itself that hangs wherever it runs", func() {
		c.Work = hangsOn(0, 1, 2, 3, 4, 5)
		c.handIn(1, plain(1, 1500))
		c.Run(30 * time.Second)
		Expect(c.Judge.Starts).To(Equal(5))
		Expect(c.Judge.Problems).To(BeEmpty())
	})

	It("moves no run that goes on slowly, nor one of an executor that stands still as a whole", func() {
		c.Work = func(string, int64, *simcluster.Executor) (time.Duration, string) { return 20 * time.Second, "done" }
		c.handIn(1, plain(6, 1500))
		c.Run(3 * time.Second)
		c.Refuse(c.Executors[0], true)
		c.Run(2 * time.Second)
		c.Refuse(c.Executors[0], false)
		c.Run(18 * time.Second)
		Expect(c.Judge.Starts).To(Equal(6))
		c.expectAllCompleted()
	})
})
