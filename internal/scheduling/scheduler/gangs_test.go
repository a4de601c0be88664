package scheduler_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/peerapi/wire"
)

var _ = Describe("a gang that loses a member", func() {
	const gangOfThree = `{"task-descriptor":"d","step-list":[{"task-count":3,"cpu-units":3000,"estimated-ms":60000,"gang-scheduled":true}]}`
	const secondID = "5c0e7a21d94b36f9"
	var f *fleet
	BeforeEach(func() {
		f = newFleet(timing)
		f.add(6, wire.Capacity{CPU: 4000, Memory: 4000}, "a", "r1")
		f.submitJob(id, wire.RouteTerms{MaxAttempts: 2}, gangOfThree)
		f.pass(time.Second)
		Expect(f.tasks()).To(HaveLen(3))
	})

	It("is restarted once and then keeps running", func() {
		for _, executor := range f.executors {
			if len(executor.running) > 0 {
				executor.isSilent = true
				break
			}
		}
		f.pass(10 * time.Second)
		before := f.starts()
		f.pass(10 * time.Second)
		Expect(f.starts()).To(Equal(before))
		Expect(before).To(Equal(6))
	})

	It("counts two members that failed in the same run as one failure, even with a leader change between the reports", func() {
		var failed int
		for _, executor := range f.executors {
			if len(executor.running) > 0 {
				executor.end(executor.running[0].Task, "failed")
				if failed++; failed == 1 {
					f.exchangeOnce(executor)
					f.takeOver()
					continue
				}
				break
			}
		}
		f.pass(100 * time.Millisecond)
		Expect(f.state(id)).To(ContainSubstring("active"))
	})

	It("starts completely although some of its members were refused at first", func() {
		f.endAll("lapsed")
		for _, executor := range f.executors {
			if executor.refusal = "room"; executor.Executor == "i-005" {
				executor.refusal = ""
			}
		}
		f.pass(1500 * time.Millisecond)
		for _, executor := range f.executors {
			executor.refusal = ""
		}
		f.pass(2500 * time.Millisecond)
		Expect(f.tasks()).To(HaveLen(3))
	})

	It("is stopped before its members time out, if the launch of one of them is never answered", func() {
		f.endAll("done")
		f.pass(time.Second)
		f.executors[0].refusal = "timeout"
		f.submitJob(secondID, wire.RouteTerms{MaxAttempts: 2}, gangOfThree)
		f.pass(time.Second)
		Expect(f.tasks()).To(HaveLen(2))
		f.pass(1400 * time.Millisecond)
		Expect(f.tasks()).To(BeEmpty())
	})
})
