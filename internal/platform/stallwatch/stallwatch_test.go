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

var _ = Describe("a stall watch", func() {
	It("suspects calls right after a stall, whoever runs first, and no others", func() {
		now := clock.NewFake(0)
		watch := New(now)
		Expect(watch.MayHaveWaited()).To(BeFalse())
		for range 20 {
			now.Advance(interval)
			watch.check()
			Expect(watch.MayHaveWaited()).To(BeFalse())
		}
		now.Advance(3 * time.Second)
		Expect(watch.MayHaveWaited()).To(BeTrue())
		watch.check()
		Expect(watch.MayHaveWaited()).To(BeTrue())
		for range suspicion / interval {
			now.Advance(interval)
			watch.check()
		}
		Expect(watch.MayHaveWaited()).To(BeFalse())
	})
})
