package poolhost_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/peerapi/wire"
)

var _ = Describe("a pool on a slow processor", func() {
	It("is taken over once, and knows all executors a few seconds later, at 1,000 of them", func() {
		s := newSteward(costs{record: 500 * time.Microsecond, exchange: time.Millisecond}, jobs(4000))
		took := s.settled(jobsOf(s, 1000), 30*time.Second)
		AddReportEntry("all known after", took.String())
		Expect(s.gaps).To(BeZero(), "times that the voters would have promised another")
		Expect(s.openings).To(Equal(1))
		Expect(took).To(BeNumerically("<", 8*time.Second))
	})

	It("keeps its lease while it loads for longer than many leases", func() {
		s := newSteward(costs{record: 2 * time.Millisecond}, jobs(4000))
		s.run(12 * time.Second)
		Expect(s.gaps).To(BeZero())
		Expect(s.openings).To(Equal(1))
		Expect(s.pool.IsOpen()).To(BeTrue())
	})

	It("keeps the key though a record of it can't be read, and names the record", func() {
		const damaged = "j/0000000000000001"
		s := newSteward(costs{}, []wire.Op{{Name: damaged, Value: []byte("{")}})
		s.run(2 * time.Second)
		Expect(s.gaps).To(BeZero())
		Expect(s.openings).To(Equal(1))
		Expect(s.pool.IsOpen()).To(BeTrue())
		Expect(s.pool.Unreadable()).To(Equal([]string{damaged}))
	})
})
