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
		now := clock.NewFake(0)
		detector := New(now)
		Expect(detector.MayHaveWaited()).To(BeFalse())
		for range 20 {
			now.Advance(checkInterval)
			detector.check()
			Expect(detector.MayHaveWaited()).To(BeFalse())
		}
		now.Advance(3 * time.Second)
		Expect(detector.MayHaveWaited()).To(BeTrue())
		detector.check()
		Expect(detector.MayHaveWaited()).To(BeTrue())
		for range suspicionPeriod / checkInterval {
			now.Advance(checkInterval)
			detector.check()
		}
		Expect(detector.MayHaveWaited()).To(BeFalse())
	})
})
