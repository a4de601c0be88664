package gcpacing

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestGCPacing(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "gcpacing")
}

var _ = Describe("pacer", func() {
	// recordIntervals records the same count for a number of intervals, and returns how often the heap growth changed.
	recordIntervals := func(p *pacer, cycles uint64, intervals int) (changes int) {
		for range intervals {
			if p.recordInterval(cycles) {
				changes++
			}
		}
		return changes
	}

	It("keeps the small heap growth for a process that rarely collects", func() {
		var p pacer
		Expect(recordIntervals(&p, busyCycles-1, 100)).To(BeZero())
		Expect(p.heapGrowthPercent()).To(Equal(QuietPercent))
	})

	It("raises the heap growth after one busy interval, and keeps it while a quarter of the collections remains", func() {
		var p pacer
		Expect(recordIntervals(&p, 4*busyCycles, 1)).To(Equal(1))
		Expect(p.heapGrowthPercent()).To(Equal(busyPercent))
		Expect(recordIntervals(&p, busyCycles, 100)).To(BeZero())
	})

	It("lowers the heap growth after quietIntervals quiet intervals", func() {
		var p pacer
		recordIntervals(&p, busyCycles, 1)
		Expect(recordIntervals(&p, 0, quietIntervals-1)).To(BeZero())
		Expect(recordIntervals(&p, 0, 1)).To(Equal(1))
		Expect(p.heapGrowthPercent()).To(Equal(QuietPercent))
	})

	It("reads the number of collections of this process", func() {
		Expect(countCycles()).To(BeNumerically("<", 1<<30))
	})
})
