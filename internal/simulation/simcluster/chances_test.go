package simcluster_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/simulation/simcluster"
)

var _ = Describe("a backlog that has already missed its target", func() {
	work := func(string, int64, *simcluster.Executor) (time.Duration, string) {
		return 200 * time.Millisecond, "done"
	}
	var c *harness
	BeforeEach(func() {
		c = newHarness(31, simcluster.WithWork(work))
		for number := range 120 {
			c.submitJob(number, plain(40, 4000))
		}
		c.Run(4 * time.Second)
		Expect(c.JobState(id(119))).NotTo(Equal("completed"))
	})

	It("doesn't delay jobs submitted after it", func() {
		for number := range 5 {
			c.submitJob(200+number, plain(4, 4000))
			c.Run(550 * time.Millisecond)
			Expect(c.JobState(id(200 + number))).To(Equal("completed"))
		}
		Expect(c.JobState(id(119))).NotTo(Equal("completed"))
	})

	It("still completes while later jobs that use all capacity complete too", func() {
		const maxRounds = 1000
		c := newHarness(32, simcluster.WithWork(work))
		for number := range 30 {
			c.submitJob(number, plain(40, 4000))
		}
		c.Run(4 * time.Second)
		Expect(c.JobState(id(29))).NotTo(Equal("completed"))
		rounds, completedInTime := 0, 0
		for ; rounds < maxRounds && c.JobState(id(29)) != "completed"; rounds++ {
			c.submitJob(200+rounds, plain(24, 4000))
			c.Run(200 * time.Millisecond)
			if earlier := rounds - 5; earlier >= 0 && c.JobState(id(200+earlier)) == "completed" {
				completedInTime++
			}
		}
		Expect(rounds).To(BeNumerically("<", maxRounds))
		Expect(completedInTime).To(BeNumerically(">", rounds*3/10))
		Expect(c.Checker.Violations).To(BeEmpty())
	})
})
