package scheduler_test

import (
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/scheduling/scheduler"
)

// On a small fleet a run is much larger than a share. Without accounts over time, a share would then get either nothing or far too much.
var _ = Describe("shares on a single executor that each run fills", func() {
	const runTime = 200 * time.Millisecond
	var f *fleet
	var submitted int
	terms := func(priority int, targetMs int64) wire.RouteTerms {
		return wire.RouteTerms{MaxAttempts: 2, Priority: priority, Stretch: 1, TargetMs: targetMs}
	}
	submit := func(prefix string, terms wire.RouteTerms) {
		submitted++
		f.submitJob(fmt.Sprintf("%s%015x", prefix, submitted), terms, fmt.Sprintf(`{"task-descriptor":"d","step-list":[{"task-count":1,"cpu-units":4000,"estimated-ms":%d}]}`, runTime.Milliseconds()))
	}
	// simulate keeps the most urgent queue full and ends each run after runTime. It counts the started runs by the first letter of the job ID.
	simulate := func(length time.Duration) map[string]int {
		counts, startedAt := map[string]int{}, map[string]time.Duration{}
		for end := f.clock.Monotonic() + length; f.clock.Monotonic() < end; {
			submit("a", terms(0, 60000))
			for _, task := range f.tasks() {
				if startedAt[task] == 0 {
					startedAt[task] = f.clock.Monotonic()
					counts[task[:1]]++
				}
				if f.clock.Monotonic()-startedAt[task] >= runTime {
					f.executors[0].end(task, "done")
				}
			}
			f.pass(fleetTick)
		}
		return counts
	}
	BeforeEach(func() {
		submitted = 0
		timing := timing
		timing.ReservedCapacity = scheduler.DefaultReservedCapacity
		f = newFleet(timing)
		f.add(1, wire.Capacity{CPU: 4000, Memory: 4000}, "a", "r1")
	})

	It("give a lower priority about its share once its work can't wait, although a run exceeds the share", func() {
		simulate(time.Second)
		for range 40 {
			submit("b", terms(1, 60000))
		}
		counts := simulate(14 * time.Second)
		Expect(counts["b"]).To(BeZero())
		simulate(2 * time.Second)
		counts = simulate(30 * time.Second)
		fraction := float64(counts["b"]) / float64(counts["a"]+counts["b"])
		Expect(fraction).To(BeNumerically("~", 0.15, 0.05), "%v", counts)
	})

	It("give expired work a small share, oldest first", func() {
		for range 40 {
			submit("c", terms(1, 1))
		}
		f.pass(time.Second)
		counts := simulate(40 * time.Second)
		fraction := float64(counts["c"]) / float64(counts["a"]+counts["c"])
		Expect(fraction).To(BeNumerically("~", 0.05, 0.03), "%v", counts)
		Expect(f.state("c" + fmt.Sprintf("%015x", 2))).To(ContainSubstring("completed"))
		Expect(f.state("c" + fmt.Sprintf("%015x", 40))).To(ContainSubstring("queued"))
	})
})

// Under overload, the order by target would let nearly all jobs become late.
var _ = Describe("the order of jobs of one queue", func() {
	var f *fleet
	submit := func(number int) {
		f.submitJob(fmt.Sprintf("%016x", number), wire.RouteTerms{MaxAttempts: 2, Stretch: 1, TargetMs: 1000},
			`{"task-descriptor":"d","step-list":[{"task-count":1,"cpu-units":4000,"estimated-ms":400}]}`)
	}
	running := func() string { return strings.TrimLeft(strings.Join(f.tasks(), " "), "0") }
	BeforeEach(func() {
		f = newFleet(timing)
		f.add(1, wire.Capacity{CPU: 4000, Memory: 4000}, "a", "r1")
	})

	It("is by target while no job has missed its target", func() {
		for number := range 3 {
			submit(number + 1)
			f.pass(100 * time.Millisecond)
		}
		Expect(running()).To(HavePrefix("1."))
		f.endAll("done")
		f.pass(100 * time.Millisecond)
		Expect(running()).To(HavePrefix("2."))
	})

	It("is newest first after a missed target, and by target again some time later", func() {
		for number := range 4 {
			submit(number + 1)
			f.pass(100 * time.Millisecond)
		}
		f.pass(900 * time.Millisecond)
		submit(5)
		submit(6)
		f.pass(100 * time.Millisecond)
		submit(7)
		f.endAll("done")
		f.pass(100 * time.Millisecond)
		Expect(running()).To(HavePrefix("7."))
		f.pass(8 * time.Second)
		f.endAll("done")
		f.pass(fleetTick)
		submit(8)
		f.pass(fleetTick)
		submit(9)
		f.pass(50 * time.Millisecond)
		f.endAll("done")
		f.pass(100 * time.Millisecond)
		Expect(running()).To(HavePrefix("8."))
	})
})

// Reservations for urgent work must neither keep long work from unused capacity for ever nor vanish under overload.
var _ = Describe("the capacity reserved for urgent work", func() {
	var f *fleet
	name := func(number int) string { return fmt.Sprintf("%016x", number) }
	submit := func(number, priority, tasks int, targetMs int64, fields string) {
		f.submitJob(name(number), wire.RouteTerms{MaxAttempts: 2, Priority: priority, Stretch: 1, TargetMs: targetMs},
			fmt.Sprintf(`{"task-descriptor":"d","step-list":[{"task-count":%d,"cpu-units":1000%s}]}`, tasks, fields))
	}
	const short, long, longRunning = `,"estimated-ms":100`, `,"estimated-ms":60000`, `,"long-running":true`
	started := func(number int) (count int) {
		for _, task := range f.tasks() {
			if task[:16] == name(number) {
				count++
			}
		}
		return count
	}
	// finish ends all runs of a job until the job is completed.
	finish := func(number int) {
		for range 100 {
			for _, executor := range f.executors {
				for _, order := range append([]wire.Order(nil), executor.running...) {
					if order.Task[:16] == name(number) {
						executor.end(order.Task, "done")
					}
				}
			}
			f.pass(fleetTick)
			if strings.Contains(f.state(name(number)), "completed") {
				return
			}
		}
		Fail("the job did not end")
	}
	BeforeEach(func() {
		timing := timing
		timing.ReservedCapacity = scheduler.DefaultReservedCapacity
		f = newFleet(timing)
		f.add(10, wire.Capacity{CPU: 4000, Memory: 64000}, "a", "r1")
		submit(1, 0, 1, 0, longRunning)
	})

	It("is at most the fleet's capacity, however large the urgent demand was", func() {
		submit(2, 0, 800, 60000, short)
		finish(2)
		f.pass(20 * time.Second)
		submit(3, 1, 40, 60000, long)
		f.pass(time.Second)
		Expect(started(3)).To(BeNumerically(">=", 20))
	})

	It("is larger after urgent jobs missed their targets, and as usual some time later", func() {
		submit(2, 0, 39, 200, short)
		f.pass(100 * time.Millisecond)
		submit(3, 0, 39, 200, short)
		f.pass(500 * time.Millisecond)
		finish(2)
		finish(3)
		submit(4, 1, 1, 0, longRunning)
		submit(5, 1, 38, 60000, short)
		finish(5)
		submit(6, 2, 40, 60000, long)
		f.pass(time.Second)
		Expect(started(6)).To(BeNumerically("~", 6, 1))
		f.pass(3 * time.Second)
		Expect(started(6)).To(BeNumerically("~", 12, 1))
	})
})
