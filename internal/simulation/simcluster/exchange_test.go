package simcluster_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the rate of exchanges between proxies and leader", func() {
	It("polls less often while idle, and reports several starts together", func() {
		c := newHarness(31)
		c.Run(5 * time.Second)
		proxies, seconds := float64(len(c.Proxies)), 10.0
		polls, reports := c.Polls, c.Reports
		c.Run(10 * time.Second)
		idle := float64(c.Polls-polls) / proxies / seconds
		Expect(c.Reports).To(Equal(reports))
		polls, starts := c.Polls, c.Checker.Starts
		for number := range 200 {
			c.submitJob(number, chain)
			c.Run(50 * time.Millisecond)
		}
		runs := float64(c.Checker.Starts - starts)
		busy, perRun := float64(c.Polls-polls)/proxies/seconds, float64(c.Reports-reports)/runs
		fmt.Fprintf(GinkgoWriter, "polls per proxy and second: %.2f idle, %.2f busy; reports per run: %.2f of %.0f runs\n", idle, busy, perRun, runs)
		Expect(idle).To(BeNumerically("<", 1.8))
		Expect(perRun).To(BeNumerically("<", 0.85))
	})
})
