package scheduler_test

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/scheduling/scheduler"
)

// simulatedQueue is a queue of a simulatedFleet. Each job has a chain of equal steps, and each step has equal tasks. perSecond is the usual
// rate of submissions, cpu the need of a task in CPU units, and length the estimated run time of a task.
type simulatedQueue struct {
	name      string
	terms     wire.RouteTerms
	perSecond float64
	steps     int
	tasks     int
	cpu       int
	length    time.Duration
}

// The queues of a simulatedFleet. At their usual rates they ask for about two thirds of its capacity together: much urgent work, some less
// urgent work, and some long work that can wait. An order and an end take two or three ticks here, which is short compared with the runs.
var (
	urgentQueue = simulatedQueue{name: "urgent", terms: wire.RouteTerms{MaxAttempts: 3, Priority: 0, Stretch: 1.5, TargetMs: 500}, perSecond: 3.35, steps: 2, tasks: 20, cpu: 2000, length: 500 * time.Millisecond}
	usualQueue  = simulatedQueue{name: "usual", terms: wire.RouteTerms{MaxAttempts: 3, Priority: 1, Stretch: 2.2, TargetMs: 1000}, perSecond: 1.1, steps: 1, tasks: 6, cpu: 4000, length: 1400 * time.Millisecond}
	longQueue   = simulatedQueue{name: "long", terms: wire.RouteTerms{MaxAttempts: 3, Priority: 2, Stretch: 3.2, TargetMs: 3000}, perSecond: 0.2, steps: 1, tasks: 10, cpu: 6000, length: 6 * time.Second}
)

// A simulatedFleet has simulatedExecutors executors, each with executorCPU CPU units.
const (
	simulatedExecutors = 24
	executorCPU        = 16000
)

// simulatedJob is a submitted job. completedAt is 0 until all its tasks are done, and remaining counts the tasks that are not done.
type simulatedJob struct {
	queue       *simulatedQueue
	submittedAt time.Duration
	completedAt time.Duration
	remaining   int
}

// target is the longest time from submission to completion for which the job is on time.
func (j *simulatedJob) target() time.Duration {
	criticalPath := time.Duration(j.queue.steps) * j.queue.length
	return time.Duration(j.queue.terms.Stretch*float64(criticalPath)) + time.Duration(j.queue.terms.TargetMs)*time.Millisecond
}

func (j *simulatedJob) isOnTime() bool {
	return j.completedAt > 0 && j.completedAt-j.submittedAt <= j.target()
}

// simulatedFleet is a fleet under load. It submits random jobs of several queues and simulates their runs.
type simulatedFleet struct {
	*fleet
	random *rand.Rand
	jobs   map[string]*simulatedJob
	// dueJobs holds, by queue name, the number of due jobs, which may be fractional. Jobs are submitted while it is at least 1.
	dueJobs map[string]float64
	// endTimes holds when each run ends, by task and run number.
	endTimes map[string]time.Duration
	// submitted is the number of jobs submitted so far, and the ID of the last one.
	submitted int
}

func newSimulatedFleet(seed uint64) *simulatedFleet {
	timing := timing
	timing.ReservedCapacity = scheduler.DefaultReservedCapacity
	c := &simulatedFleet{fleet: newFleet(timing), random: rand.New(rand.NewPCG(seed, 3)), jobs: map[string]*simulatedJob{}, dueJobs: map[string]float64{}, endTimes: map[string]time.Duration{}}
	for number := range simulatedExecutors {
		c.add(1, wire.Capacity{CPU: executorCPU, Memory: 64000}, "a", fmt.Sprintf("r%d", number/6))
	}
	return c
}

// submit submits one job of a queue and returns its ID.
func (c *simulatedFleet) submit(queue *simulatedQueue) string {
	c.submitted++
	name := fmt.Sprintf("%016x", c.submitted)
	var steps []string
	for number := range queue.steps {
		after := ""
		if number > 0 {
			after = fmt.Sprintf(`,"depends-on":[%d]`, number-1)
		}
		steps = append(steps, fmt.Sprintf(`{"task-count":%d,"cpu-units":%d,"memory-req-mb":500,"estimated-ms":%d%s}`, queue.tasks, queue.cpu, queue.length.Milliseconds(), after))
	}
	c.jobs[name] = &simulatedJob{queue: queue, submittedAt: c.clock.Monotonic(), remaining: queue.steps * queue.tasks}
	c.submitJob(name, queue.terms, `{"task-descriptor":"d","step-list":[`+strings.Join(steps, ",")+`]}`)
	return name
}

// lengthOf is the run time of a task: its queue's length plus or minus a third, drawn from a hash of the task's name, so that every
// simulation with the same jobs has the same run times.
func (c *simulatedFleet) lengthOf(task string) time.Duration {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(task))
	return c.jobs[task[:16]].queue.length * time.Duration(67+hash.Sum64()%66) / 100
}

// endDueRuns ends the runs whose run time is over.
func (c *simulatedFleet) endDueRuns() {
	now := c.clock.Monotonic()
	for _, executor := range c.executors {
		for _, order := range slices.Clone(executor.running) {
			run := fmt.Sprint(order.Task, "/", order.Run)
			if c.endTimes[run] == 0 {
				c.endTimes[run] = now + c.lengthOf(order.Task)
			}
			if now < c.endTimes[run] {
				continue
			}
			executor.end(order.Task, "done")
			job := c.jobs[order.Task[:16]]
			job.remaining--
			if job.remaining == 0 {
				job.completedAt = now
			}
		}
	}
}

// submitDue submits the jobs of a queue that arrive within one tick. factor multiplies the queue's usual rate.
func (c *simulatedFleet) submitDue(queue *simulatedQueue, factor float64) {
	for c.dueJobs[queue.name] += queue.perSecond * factor * fleetTick.Seconds(); c.dueJobs[queue.name] >= 1; {
		c.dueJobs[queue.name] -= c.random.ExpFloat64()
		c.submit(queue)
	}
}

// simulate runs the fleet for a length of time, with each queue at factor times its usual rate.
func (c *simulatedFleet) simulate(length time.Duration, factor float64, queues ...*simulatedQueue) {
	for end := c.clock.Monotonic() + length; c.clock.Monotonic() < end; {
		for _, queue := range queues {
			c.submitDue(queue, factor)
		}
		c.endDueRuns()
		c.pass(fleetTick)
	}
}

// onTimeFraction is the fraction of on-time jobs among those of a queue that were submitted within a period. It fails if there are none.
func (c *simulatedFleet) onTimeFraction(queue *simulatedQueue, from, to time.Duration) float64 {
	fraction := c.onTimeFractionOrNaN(queue, from, to)
	Expect(math.IsNaN(fraction)).To(BeFalse())
	return fraction
}

// onTimeFractionOrNaN is like onTimeFraction, but returns NaN if there are no such jobs.
func (c *simulatedFleet) onTimeFractionOrNaN(queue *simulatedQueue, from, to time.Duration) float64 {
	var total, onTime float64
	for _, job := range c.jobs {
		if job.queue != queue || job.submittedAt < from || job.submittedAt >= to {
			continue
		}
		total++
		if job.isOnTime() {
			onTime++
		}
	}
	return onTime / total
}

// Without measures against overload, nearly all jobs would be late while more work arrives than the fleet can do, since each job would wait
// until it can barely be on time. Less urgent queues would get no capacity at all.
var _ = Describe("a pool under overload", func() {
	all := []*simulatedQueue{&urgentQueue, &usualQueue, &longQueue}

	It("completes nearly all jobs on time under the usual load", func() {
		c := newSimulatedFleet(1)
		c.simulate(30*time.Second, 1, all...)
		end := c.clock.Monotonic()
		c.simulate(10*time.Second, 1, all...)
		Expect(c.onTimeFraction(&urgentQueue, 0, end)).To(BeNumerically(">", 0.95))
		Expect(c.onTimeFraction(&usualQueue, 0, end)).To(BeNumerically(">", 0.95))
	})

	It("completes part of each queue's jobs on time under 2.5 times the usual load", func() {
		var urgent, usual float64
		const simulations = 4
		for seed := range uint64(simulations) {
			c := newSimulatedFleet(seed)
			c.simulate(8*time.Second, 1, all...)
			begin := c.clock.Monotonic()
			c.simulate(50*time.Second, 2.5, all...)
			end := c.clock.Monotonic()
			c.simulate(8*time.Second, 1, all...)
			urgent += c.onTimeFraction(&urgentQueue, begin, end) / simulations
			usual += c.onTimeFraction(&usualQueue, begin, end) / simulations
		}
		fmt.Fprintln(GinkgoWriter, "on time under overload:", urgent, usual)
		Expect(urgent).To(BeNumerically(">", 0.45))
		Expect(usual).To(BeNumerically(">", 0.5))
	})

	It("completes most jobs on time again after the overload", func() {
		c := newSimulatedFleet(2)
		c.simulate(8*time.Second, 1, all...)
		c.simulate(50*time.Second, 2.5, all...)
		c.simulate(5*time.Second, 1, all...)
		begin := c.clock.Monotonic()
		c.simulate(40*time.Second, 1, all...)
		end := c.clock.Monotonic()
		c.simulate(6*time.Second, 1, all...)
		fmt.Fprintln(GinkgoWriter, "on time after overload:", c.onTimeFraction(&urgentQueue, begin, end), c.onTimeFraction(&usualQueue, begin, end))
		Expect(c.onTimeFraction(&urgentQueue, begin, end)).To(BeNumerically(">", 0.85))
		Expect(c.onTimeFraction(&usualQueue, begin, end)).To(BeNumerically(">", 0.9))
	})

	It("keeps capacity for on-time work of lower priority while urgent work alone exceeds the capacity", func() {
		c := newSimulatedFleet(3)
		c.simulate(4*time.Second, 1, all...)
		begin := c.clock.Monotonic()
		for range 100 {
			c.simulate(100*time.Millisecond, 1, &usualQueue)
			c.simulate(100*time.Millisecond, 8, &urgentQueue)
		}
		end := c.clock.Monotonic()
		c.simulate(4*time.Second, 1, &usualQueue)
		fmt.Fprintln(GinkgoWriter, "on time during urgent overload:", c.onTimeFraction(&urgentQueue, begin, end), c.onTimeFraction(&usualQueue, begin, end))
		Expect(c.onTimeFraction(&usualQueue, begin, end)).To(BeNumerically(">", 0.6))
		Expect(c.onTimeFraction(&urgentQueue, begin, end)).To(BeNumerically(">", 0.2))
	})
})
