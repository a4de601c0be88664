package simcluster_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/simulation/simcluster"
)

var _ = Describe("a backlog that can't be in time any more", func() {
	steady := func(string, int64, *simcluster.Executor) (time.Duration, string) {
		return 200 * time.Millisecond, "done"
	}
	var c *jobCrowd
	BeforeEach(func() {
		c = newJobCrowd(31, simcluster.WithWork(steady))
		for number := range 120 {
			c.handIn(number, plain(40, 4000))
		}
		c.Run(4 * time.Second)
		Expect(c.StateNow(id(119))).NotTo(Equal("completed"))
	})

	It("keeps nothing that comes after it waiting", func() {
		for number := range 5 {
			c.handIn(200+number, plain(4, 4000))
			c.Run(550 * time.Millisecond)
			Expect(c.StateNow(id(200 + number))).To(Equal("completed"))
		}
		Expect(c.StateNow(id(119))).NotTo(Equal("completed"))
	})

	It("waits for its turn, and not for ever, while what comes could take all room", func() {
		for number := range 400 {
			c.handIn(200+number, plain(20, 4000))
			c.Run(200 * time.Millisecond)
		}
		Expect(c.StateNow(id(119))).To(Equal("completed"))
		Expect(c.Judge.Problems).To(BeEmpty())
	})
})
