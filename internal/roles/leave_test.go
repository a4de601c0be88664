package roles

import (
	"os"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/logging"
	"gannetline/internal/pulse"
	"gannetline/internal/span"
)

var _ = Describe("a process that is told to leave", func() {
	DescribeTable("ends a gate's calls while there is time to write their answers", func(gracePeriod time.Duration) {
		times := clientLeave(gracePeriod)
		Expect(times.Notice).To(BeNumerically("<=", noticeTime))
		Expect(times.CallsEnd).To(BeNumerically(">", times.Notice))
		Expect(times.Close - times.CallsEnd).To(BeNumerically(">=", gracePeriod/8))
		Expect(times.Close).To(BeNumerically("<", gracePeriod))
	},
		Entry("a short grace period", time.Second),
		Entry("the usual one", 6*time.Second),
		Entry("a long one", time.Minute),
	)

	It("is not ended by SIGHUP once it reads settings no more", func() {
		b := &base{clock: pulse.NewFake(0), log: logging.Silent(), hangups: noticeHangups()}
		life, end := span.Cancellable(span.Root())
		end()
		Expect(b.watchSettings(life)).To(Succeed())
		Expect(syscall.Kill(os.Getpid(), syscall.SIGHUP)).To(Succeed())
		Eventually(b.hangups).Should(Receive())
	})
})

var _ = DescribeTable("the connections of clients leave descriptors for calls", func(descriptors, most int) {
	Expect(mostClientConnections(descriptors)).To(Equal(most))
},
	Entry("many descriptors", 4100, 1950),
	Entry("hardly any", 150, 1),
)
