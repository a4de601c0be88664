package stallwatch

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/platform/clock"
)

func TestStallwatch(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "stallwatch")
}

var _ = Describe("Watch", func() {
	It("suspects calls for a while after a stall, before and after the next check, and no others", func() {
		fakeClock := clock.NewFake(0)
		detector := New(fakeClock)
		Expect(detector.MayHaveWaited()).To(BeFalse())
		for range 20 {
			fakeClock.Advance(checkInterval)
			detector.check()
			Expect(detector.MayHaveWaited()).To(BeFalse())
		}
		fakeClock.Advance(3 * time.Second)
		Expect(detector.MayHaveWaited()).To(BeTrue())
		detector.check()
		Expect(detector.MayHaveWaited()).To(BeTrue())
		for range suspicionPeriod / checkInterval {
			fakeClock.Advance(checkInterval)
			detector.check()
		}
		Expect(detector.MayHaveWaited()).To(BeFalse())
	})
})
