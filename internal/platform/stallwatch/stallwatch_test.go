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
		watch := New(now)
		Expect(watch.MayHaveWaited()).To(BeFalse())
		for range 20 {
			now.Advance(checkInterval)
			watch.check()
			Expect(watch.MayHaveWaited()).To(BeFalse())
		}
		now.Advance(3 * time.Second)
		Expect(watch.MayHaveWaited()).To(BeTrue())
		watch.check()
		Expect(watch.MayHaveWaited()).To(BeTrue())
		for range suspicionPeriod / checkInterval {
			now.Advance(checkInterval)
			watch.check()
		}
		Expect(watch.MayHaveWaited()).To(BeFalse())
	})
})
