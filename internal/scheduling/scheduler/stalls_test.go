package scheduler_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/scheduling/scheduler"
)

var _ = Describe("a job without runs, while less than half of the capacity is in use", func() {
	const lastID = "5c0e7a21d94b3fff"
	longRunning := func(tasks, cpu int) string {
		return fmt.Sprintf(`{"task-descriptor":"d","step-list":[{"task-count":%d,"cpu-units":%d,"long-running":true,"anti-affinity":2}]}`, tasks, cpu)
	}
	long := func(cpu int, options string) string {
		return fmt.Sprintf(`{"task-descriptor":"d","step-list":[{"task-count":1,"cpu-units":%d,"estimated-ms":60000%s}]}`, cpu, options)
	}
	numberedID := func(number int) string { return fmt.Sprintf("5c0e7a21d94b%04x", number) }
	var f *fleet
	hasStarted := func(id string) bool {
		for _, task := range f.tasks() {
			if task[:16] == id {
				return true
			}
		}
		return false
	}
	// runUrgentBurst completes a burst of urgent work that asks for all capacity, so that capacity is reserved for such work afterwards. A
	// small urgent job runs on, so that the reservation decays slowly.
	runUrgentBurst := func() {
		f.submitJob(numberedID(0), wire.RouteTerms{MaxAttempts: 2}, `{"task-descriptor":"d","step-list":[{"task-count":40,"cpu-units":4000,"estimated-ms":200}]}`)
		for range 10 {
			f.pass(4 * fleetTick)
			f.endAll("done")
		}
		Expect(f.state(numberedID(0))).To(ContainSubstring("completed"))
		f.submitJob(numberedID(99), wire.RouteTerms{MaxAttempts: 2}, longRunning(1, 10))
	}
	BeforeEach(func() {
		timing := timing
		timing.ReservedCapacity = scheduler.DefaultReservedCapacity
		f = newFleet(timing)
		f.add(10, wire.Capacity{CPU: 4000, Memory: 4000}, "a", "r1")
	})

	It("starts although capacity is reserved for urgent work, which needed much a while ago", func() {
		runUrgentBurst()
		f.submitJob(numberedID(1), wire.RouteTerms{Priority: 1, MaxAttempts: 2}, longRunning(20, 1000))
		f.pass(time.Second)
		f.submitJob(lastID, wire.RouteTerms{Priority: 1, MaxAttempts: 2}, long(1000, ""))
		f.pass(3 * time.Second)
		Expect(hasStarted(lastID)).To(BeTrue())
	})

	It("starts although many large tasks wait for full executors with a required label", func() {
		f.add(1, wire.Capacity{CPU: 4000, Memory: 4000}, "b", "r1")
		for number := range 14 {
			f.submitJob(numberedID(number), wire.RouteTerms{MaxAttempts: 2}, long(3000, `,"required-labels":"b"`))
		}
		f.pass(time.Second)
		f.submitJob(lastID, wire.RouteTerms{Priority: 1, MaxAttempts: 2}, long(500, ""))
		f.pass(3 * time.Second)
		Expect(hasStarted(lastID)).To(BeTrue())
	})

	It("starts although many tasks that need a whole executor wait", func() {
		f.submitJob(numberedID(0), wire.RouteTerms{MaxAttempts: 2}, `{"task-descriptor":"d","step-list":[{"task-count":10,"cpu-units":400,"long-running":true,"anti-affinity":1}]}`)
		f.pass(time.Second)
		for number := range 14 {
			f.submitJob(numberedID(1+number), wire.RouteTerms{MaxAttempts: 2}, long(4000, ""))
		}
		f.pass(time.Second)
		f.submitJob(lastID, wire.RouteTerms{Priority: 1, MaxAttempts: 2}, long(500, ""))
		f.pass(3 * time.Second)
		Expect(hasStarted(lastID)).To(BeTrue())
	})

	It("starts although all executors have just died and their replacements are limited to one run", func() {
		for _, executor := range f.executors {
			executor.Gone, executor.Executor = []string{executor.Executor}, executor.Executor+"-next"
		}
		f.pass(time.Second)
		for number := range 14 {
			f.submitJob(numberedID(number), wire.RouteTerms{MaxAttempts: 2}, long(500, ""))
		}
		f.pass(3 * time.Second)
		Expect(f.tasks()).To(HaveLen(14))
	})

	It("starts although lost executors, whose leases have not expired, count as full", func() {
		f.submitJob(numberedID(0), wire.RouteTerms{MaxAttempts: 2}, `{"task-descriptor":"d","step-list":[{"task-count":5,"cpu-units":4000,"long-running":true}]}`)
		f.pass(200 * time.Millisecond)
		for _, executor := range f.executors {
			executor.isSilent = len(executor.running) > 0
		}
		f.submitJob(numberedID(1), wire.RouteTerms{MaxAttempts: 2}, `{"task-descriptor":"d","step-list":[{"task-count":5,"cpu-units":1100,"long-running":true,"anti-affinity":1}]}`)
		f.pass(200 * time.Millisecond)
		for number := range 14 {
			f.submitJob(numberedID(2+number), wire.RouteTerms{MaxAttempts: 2}, long(4000, ""))
		}
		f.pass(200 * time.Millisecond)
		f.submitJob(lastID, wire.RouteTerms{Priority: 1, MaxAttempts: 2}, long(500, ""))
		f.pass(3 * time.Second)
		Expect(f.executors[0].isSilent).To(BeTrue())
		Expect(hasStarted(lastID)).To(BeTrue())
	})

	It("starts although most of the capacity is on lost or draining executors and the others are well used", func() {
		f.submitJob(numberedID(0), wire.RouteTerms{MaxAttempts: 2}, `{"task-descriptor":"d","step-list":[{"task-count":4,"cpu-units":4000,"long-running":true}]}`)
		f.pass(200 * time.Millisecond)
		draining := 0
		for _, executor := range f.executors {
			executor.isSilent = len(executor.running) > 0
			if !executor.isSilent && draining < 2 {
				executor.Draining = true
				draining++
			}
		}
		f.pass(200 * time.Millisecond)
		f.submitJob(numberedID(1), wire.RouteTerms{MaxAttempts: 2}, `{"task-descriptor":"d","step-list":[{"task-count":4,"cpu-units":2600,"long-running":true,"anti-affinity":1}]}`)
		f.pass(200 * time.Millisecond)
		for number := range 14 {
			f.submitJob(numberedID(2+number), wire.RouteTerms{MaxAttempts: 2}, long(4000, ""))
		}
		f.pass(200 * time.Millisecond)
		f.submitJob(lastID, wire.RouteTerms{Priority: 1, MaxAttempts: 2}, long(500, ""))
		f.pass(2800 * time.Millisecond)
		Expect(hasStarted(lastID)).To(BeTrue())
	})

	It("starts if it is a gang, although capacity is reserved for urgent work", func() {
		runUrgentBurst()
		f.submitJob(numberedID(1), wire.RouteTerms{Priority: 1, MaxAttempts: 2}, longRunning(10, 1000))
		f.pass(time.Second)
		f.submitJob(lastID, wire.RouteTerms{Priority: 1, MaxAttempts: 2},
			`{"task-descriptor":"d","step-list":[{"task-count":5,"cpu-units":2800,"estimated-ms":60000,"gang-scheduled":true}]}`)
		f.pass(3 * time.Second)
		Expect(hasStarted(lastID)).To(BeTrue())
	})
})
