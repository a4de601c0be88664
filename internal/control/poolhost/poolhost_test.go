package poolhost_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/peerapi/wire"
)

var _ = Describe("a pool on a slow processor", func() {
	It("is opened once by a new leader and registers 1,000 executors within 8 s", func() {
		s := newSteward(costs{record: 500 * time.Microsecond, exchange: time.Millisecond}, newJobRecords(4000))
		elapsed := s.runUntilFenced(startProxies(s, 1000), 30*time.Second)
		AddReportEntry("all executors registered after", elapsed.String())
		Expect(s.leaseGaps).To(BeZero(), "times that the voters could have elected another leader")
		Expect(s.openCount).To(Equal(1))
		Expect(elapsed).To(BeNumerically("<", 8*time.Second))
	})

	It("keeps its lease while it loads for many times the lease time", func() {
		s := newSteward(costs{record: 2 * time.Millisecond}, newJobRecords(4000))
		s.run(12 * time.Second)
		Expect(s.leaseGaps).To(BeZero())
		Expect(s.openCount).To(Equal(1))
		Expect(s.pool.IsOpen()).To(BeTrue())
	})

	It("keeps the leadership and reports the name of a record that it can't decode", func() {
		const damaged = "j/0000000000000001"
		s := newSteward(costs{}, []wire.Op{{Name: damaged, Value: []byte("{")}})
		s.run(2 * time.Second)
		Expect(s.leaseGaps).To(BeZero())
		Expect(s.openCount).To(Equal(1))
		Expect(s.pool.IsOpen()).To(BeTrue())
		Expect(s.pool.Unreadable()).To(Equal([]string{damaged}))
	})
})
