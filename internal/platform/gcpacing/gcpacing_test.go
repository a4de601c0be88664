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

var _ = Describe("the pace of the garbage collector", func() {
	// notes feeds the same count for so many intervals, and gives how often the heap growth changed.
	notes := func(p *pacer, cycles uint64, intervals int) (changes int) {
		for range intervals {
			if p.note(cycles) {
				changes++
			}
		}
		return changes
	}

	It("stays low for a process that collects seldom", func() {
		var p pacer
		Expect(notes(&p, manyCycles-1, 100)).To(BeZero())
		Expect(p.percent()).To(Equal(QuietPercent))
	})

	It("goes up at once where it collects often, and stays as a quarter of the collections are left", func() {
		var p pacer
		Expect(notes(&p, 4*manyCycles, 1)).To(Equal(1))
		Expect(p.percent()).To(Equal(busyPercent))
		Expect(notes(&p, manyCycles, 100)).To(BeZero())
	})

	It("goes down again once the process has been quiet for a while", func() {
		var p pacer
		notes(&p, manyCycles, 1)
		Expect(notes(&p, 0, quietIntervals-1)).To(BeZero())
		Expect(notes(&p, 0, 1)).To(Equal(1))
		Expect(p.percent()).To(Equal(QuietPercent))
	})

	It("counts the collections of this process", func() {
		Expect(collections()).To(BeNumerically("<", 1<<30))
	})
})
