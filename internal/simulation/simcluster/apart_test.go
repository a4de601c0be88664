package simcluster_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/simulation/simcluster"
)

const redundantWithAntiAffinity = `{"task-descriptor":"d","step-list":[{"task-count":3,"cpu-units":500,"estimated-ms":100,"redundant":true,"anti-affinity":1}]}`

var _ = Describe("speculative runs of a step with anti-affinity", func() {
	It("share no executor with each other or with the step's other runs", func() {
		c := newHarness(61, simcluster.WithWork(func(_ string, run int64, _ *simcluster.Executor) (time.Duration, string) {
			if run == 1 {
				return 3 * time.Second, "done"
			}
			return 200 * time.Millisecond, "done"
		}))
		for number := range 20 {
			c.submitJob(number, redundantWithAntiAffinity)
		}
		c.Run(8 * time.Second)
		c.expectAllCompleted()
		Expect(c.Checker.Starts).To(BeNumerically(">", 70))
		Expect(c.Checker.Violations).To(BeEmpty())
	})
})
