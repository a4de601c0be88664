package simcluster_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/simulation/simcluster"
)

const apartAndRedundant = `{"task-descriptor":"d","step-list":[{"task-count":3,"cpu-units":500,"estimated-ms":100,"redundant":true,"anti-affinity":1}]}`

var _ = Describe("spare runs of a step with anti-affinity", func() {
	It("never share an executor, with one another or with the step's other runs", func() {
		c := newJobCrowd(61, simcluster.WithWork(func(_ string, run int64, _ *simcluster.Executor) (time.Duration, string) {
			if run == 1 {
				return 3 * time.Second, "done"
			}
			return 200 * time.Millisecond, "done"
		}))
		for number := range 20 {
			c.handIn(number, apartAndRedundant)
		}
		c.Run(8 * time.Second)
		c.expectAllCompleted()
		Expect(c.Judge.Starts).To(BeNumerically(">", 70))
		Expect(c.Judge.Problems).To(BeEmpty())
	})
})
