package scheduler_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/scheduling/scheduler"
)

var _ = Describe("a job that has nothing running, while less than half of all room is in use", func() {
	const lateID = "5c0e7a21d94b3fff"
	lasting := func(tasks, cpu int) string {
		return fmt.Sprintf(`{"task-descriptor":"d","step-list":[{"task-count":%d,"cpu-units":%d,"long-running":true,"anti-affinity":2}]}`, tasks, cpu)
	}
	long := func(cpu int, more string) string {
		return fmt.Sprintf(`{"task-descriptor":"d","step-list":[{"task-count":1,"cpu-units":%d,"estimated-ms":60000%s}]}`, cpu, more)
	}
	name := func(number int) string { return fmt.Sprintf("5c0e7a21d94b%04x", number) }
	var f *fleet
	hasStarted := func(id string) bool {
		for _, task := range f.tasks() {
			if task[:16] == id {
				return true
			}
		}
		return false
	}
	burstOfUrgent := func() {
		f.handIn(name(0), wire.RouteTerms{MaxAttempts: 2}, `{"task-descriptor":"d","step-list":[{"task-count":40,"cpu-units":4000,"estimated-ms":200}]}`)
		for range 10 {
			f.pass(4 * fleetTick)
			f.endAll("done")
		}
		Expect(f.state(name(0))).To(ContainSubstring("completed"))
		f.handIn(name(99), wire.RouteTerms{MaxAttempts: 2}, lasting(1, 10))
	}
	BeforeEach(func() {
		timing := timing
		timing.ReservedCapacity = scheduler.DefaultReservedCapacity
		f = newFleet(timing)
		f.add(10, wire.Capacity{CPU: 4000, Memory: 4000}, "a", "r1")
	})

	It("starts though room is kept for the urgent, who asked for much a while ago", func() {
		burstOfUrgent()
		f.handIn(name(1), wire.RouteTerms{Priority: 1, MaxAttempts: 2}, lasting(20, 1000))
		f.pass(time.Second)
		f.handIn(lateID, wire.RouteTerms{Priority: 1, MaxAttempts: 2}, long(1000, ""))
		f.pass(3 * time.Second)
		Expect(hasStarted(lateID)).To(BeTrue())
	})

	It("starts though many large tasks wait for executors with a label that are full", func() {
		f.add(1, wire.Capacity{CPU: 4000, Memory: 4000}, "b", "r1")
		for number := range 14 {
			f.handIn(name(number), wire.RouteTerms{MaxAttempts: 2}, long(3000, `,"required-labels":"b"`))
		}
		f.pass(time.Second)
		f.handIn(lateID, wire.RouteTerms{Priority: 1, MaxAttempts: 2}, long(500, ""))
		f.pass(3 * time.Second)
		Expect(hasStarted(lateID)).To(BeTrue())
	})

	It("starts though many tasks wait that need a whole executor", func() {
		f.handIn(name(0), wire.RouteTerms{MaxAttempts: 2}, `{"task-descriptor":"d","step-list":[{"task-count":10,"cpu-units":400,"long-running":true,"anti-affinity":1}]}`)
		f.pass(time.Second)
		for number := range 14 {
			f.handIn(name(1+number), wire.RouteTerms{MaxAttempts: 2}, long(4000, ""))
		}
		f.pass(time.Second)
		f.handIn(lateID, wire.RouteTerms{Priority: 1, MaxAttempts: 2}, long(500, ""))
		f.pass(3 * time.Second)
		Expect(hasStarted(lateID)).To(BeTrue())
	})

	It("starts though all executors died a moment ago and have yet to earn trust", func() {
		for _, executor := range f.executors {
			executor.Gone, executor.Executor = []string{executor.Executor}, executor.Executor+"-next"
		}
		f.pass(time.Second)
		for number := range 14 {
			f.handIn(name(number), wire.RouteTerms{MaxAttempts: 2}, long(500, ""))
		}
		f.pass(3 * time.Second)
		Expect(f.tasks()).To(HaveLen(14))
	})

	It("starts though lost executors, whose holds have yet to lapse, count as full", func() {
		f.handIn(name(0), wire.RouteTerms{MaxAttempts: 2}, `{"task-descriptor":"d","step-list":[{"task-count":5,"cpu-units":4000,"long-running":true}]}`)
		f.pass(200 * time.Millisecond)
		for _, executor := range f.executors {
			executor.isSilent = len(executor.running) > 0
		}
		f.handIn(name(1), wire.RouteTerms{MaxAttempts: 2}, `{"task-descriptor":"d","step-list":[{"task-count":5,"cpu-units":1100,"long-running":true,"anti-affinity":1}]}`)
		f.pass(200 * time.Millisecond)
		for number := range 14 {
			f.handIn(name(2+number), wire.RouteTerms{MaxAttempts: 2}, long(4000, ""))
		}
		f.pass(200 * time.Millisecond)
		f.handIn(lateID, wire.RouteTerms{Priority: 1, MaxAttempts: 2}, long(500, ""))
		f.pass(3 * time.Second)
		Expect(f.executors[0].isSilent).To(BeTrue())
		Expect(hasStarted(lateID)).To(BeTrue())
	})

	It("starts though most of the room is on executors that are lost or leaving, and the others are well used", func() {
		f.handIn(name(0), wire.RouteTerms{MaxAttempts: 2}, `{"task-descriptor":"d","step-list":[{"task-count":4,"cpu-units":4000,"long-running":true}]}`)
		f.pass(200 * time.Millisecond)
		leaving := 0
		for _, executor := range f.executors {
			executor.isSilent = len(executor.running) > 0
			if !executor.isSilent && leaving < 2 {
				executor.Draining = true
				leaving++
			}
		}
		f.pass(200 * time.Millisecond)
		f.handIn(name(1), wire.RouteTerms{MaxAttempts: 2}, `{"task-descriptor":"d","step-list":[{"task-count":4,"cpu-units":2600,"long-running":true,"anti-affinity":1}]}`)
		f.pass(200 * time.Millisecond)
		for number := range 14 {
			f.handIn(name(2+number), wire.RouteTerms{MaxAttempts: 2}, long(4000, ""))
		}
		f.pass(200 * time.Millisecond)
		f.handIn(lateID, wire.RouteTerms{Priority: 1, MaxAttempts: 2}, long(500, ""))
		f.pass(2800 * time.Millisecond)
		Expect(hasStarted(lateID)).To(BeTrue())
	})

	It("starts, if it is a gang, though room is kept for the urgent", func() {
		burstOfUrgent()
		f.handIn(name(1), wire.RouteTerms{Priority: 1, MaxAttempts: 2}, lasting(10, 1000))
		f.pass(time.Second)
		f.handIn(lateID, wire.RouteTerms{Priority: 1, MaxAttempts: 2},
			`{"task-descriptor":"d","step-list":[{"task-count":5,"cpu-units":2800,"estimated-ms":60000,"gang-scheduled":true}]}`)
		f.pass(3 * time.Second)
		Expect(hasStarted(lateID)).To(BeTrue())
	})
})
