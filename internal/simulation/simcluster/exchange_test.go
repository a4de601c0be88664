package simcluster_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("how often proxies and leader talk", func() {
	It("asks less often while nothing is to be done, and lets starts share a report", func() {
		c := newJobCrowd(31)
		c.Run(5 * time.Second)
		proxies, span := float64(len(c.Proxies)), 10.0
		polls, reports := c.Polls, c.Reports
		c.Run(10 * time.Second)
		idle := float64(c.Polls-polls) / proxies / span
		Expect(c.Reports).To(Equal(reports))
		polls, starts := c.Polls, c.Judge.Starts
		for number := range 200 {
			c.handIn(number, chain)
			c.Run(50 * time.Millisecond)
		}
		runs := float64(c.Judge.Starts - starts)
		busy, perRun := float64(c.Polls-polls)/proxies/span, float64(c.Reports-reports)/runs
		fmt.Fprintf(GinkgoWriter, "a proxy and second: %.2f polls idle, %.2f busy; %.2f reports a run of %.0f\n", idle, busy, perRun, runs)
		Expect(idle).To(BeNumerically("<", 1.8))
		Expect(perRun).To(BeNumerically("<", 0.85))
	})
})
