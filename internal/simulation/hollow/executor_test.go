package hollow_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/node/executorapi"
	"gannetline/internal/node/localproxy"
	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/logging"
	"gannetline/internal/simulation/hollow"
)

// world is one executor on a fake clock, with the functions that it has put off.
type world struct {
	clock    *clock.Fake
	executor *hollow.Executor
	delayed  []delayedCall
}

type delayedCall struct {
	due time.Duration
	run func()
}

func newWorld() *world {
	w := &world{clock: clock.NewFake(0)}
	w.executor = hollow.NewExecutor(hollow.ExecutorConfig{Node: "w", ID: "i-w", Capacity: wire.Capacity{CPU: 1000, Memory: 1000},
		MaxHold: 6 * time.Second, StopTimeout: 400 * time.Millisecond, ClockRate: 1}, w.clock,
		func(wait time.Duration, run func()) {
			w.delayed = append(w.delayed, delayedCall{w.clock.Monotonic() + wait, run})
		})
	return w
}

func (w *world) pass(length time.Duration) {
	for until := w.clock.Monotonic() + length; w.clock.Monotonic() < until; w.clock.Advance(time.Millisecond) {
		due := w.delayed
		w.delayed = nil
		for _, call := range due {
			if call.due <= w.clock.Monotonic() {
				call.run()
			} else {
				w.delayed = append(w.delayed, call)
			}
		}
	}
}

func (w *world) order(task string, run int64, fence uint64) executorapi.RunStart {
	return executorapi.RunStart{Task: task, Run: run, Fence: fence, ExpiryMs: w.executor.ClockMs() + 5000,
		Descriptor: hollow.Load{Length: time.Second, CPU: 600, MemoryMB: 10}.Descriptor()}
}

func (w *world) start(task string, run int64, fence uint64) (int, string) {
	status, answer := w.executor.Start(w.order(task, run, fence))
	return status, answer.Reason
}

func (w *world) hold(hold executorapi.Hold) *executorapi.Answer {
	var got *executorapi.Answer
	w.executor.Hold(hold, func(_ int, answer executorapi.Answer) { got = &answer })
	return got
}

func (w *world) ends() []executorapi.EndRow { return w.hold(executorapi.Hold{Fence: 9}).Ends }

var _ = Describe("the stand-in executor", func() {
	var w *world
	BeforeEach(func() { w = newWorld() })

	refused := func(task string, run int64, fence uint64, why string) {
		status, reason := w.start(task, run, fence)
		ExpectWithOffset(1, status).To(Equal(409))
		ExpectWithOffset(1, reason).To(Equal(why))
	}
	started := func(task string, run int64, fence uint64) {
		status, _ := w.start(task, run, fence)
		ExpectWithOffset(1, status).To(Equal(200))
	}

	It("runs a task for its time, and tells its end until it is seen", func() {
		started("a.0.0.0", 1, 1)
		w.pass(1100 * time.Millisecond)
		Expect(w.ends()).To(Equal([]executorapi.EndRow{{Number: 1, Task: "a.0.0.0", Run: 1, Outcome: "done"}}))
		Expect(w.hold(executorapi.Hold{Fence: 9, LastSeen: 1}).Ends).To(BeEmpty())
	})

	It("counts calls that go on under a refused fence, but no look of a proxy that has heard of no leader", func() {
		w.start("a.0.0.0", 1, 5)
		for range 20 {
			Expect(w.hold(executorapi.Hold{Fence: 0}).Reason).To(Equal("fence"))
			w.clock.Advance(time.Second)
		}
		Expect(w.executor.Counts().RepeatedFences).To(BeZero())
		w.hold(executorapi.Hold{Fence: 4})
		w.clock.Advance(time.Second)
		w.hold(executorapi.Hold{Fence: 4})
		Expect(w.executor.Counts().RepeatedFences).To(BeZero(), "so soon after the refusal")
		w.clock.Advance(2 * time.Second)
		w.hold(executorapi.Hold{Fence: 4})
		Expect(w.executor.Counts().RepeatedFences).To(Equal(1))
		w.start("a.0.0.0", 2, 0)
		w.executor.Stop(executorapi.RunStop{Task: "a.0.0.0", Run: 1})
		Expect(w.executor.Counts().RepeatedFences).To(Equal(3), "orders of nobody")
	})

	It("is looked at under no leader's fence by a proxy that started again, until a leader has answered that", func() {
		w.start("a.0.0.0", 1, 5)
		table := localproxy.NewTable(w.clock, logging.Silent(), "s", "d", "side-1", func() {}, func() {}, func() {})
		heartbeat := w.executor.NextHeartbeat("s", "127.0.0.1:1", "d")
		status, _ := table.Heartbeat("i-w", &heartbeat)
		Expect(status).To(Equal(200))
		work, isDue := table.NextHold(false)
		Expect(isDue).To(BeTrue())
		Expect(work.Hold.Fence).To(BeZero())
		Expect(w.hold(work.Hold).Reason).To(Equal("fence"))
	})

	It("does nothing for a lower fence", func() {
		started("a.0.0.0", 1, 5)
		refused("b.0.0.0", 1, 4, "fence")
		status, _ := w.executor.Stop(executorapi.RunStop{Task: "a.0.0.0", Run: 1, Fence: 4})
		Expect(status).To(Equal(409))
		Expect(w.hold(executorapi.Hold{Fence: 4}).Reason).To(Equal("fence"))
	})

	It("takes a start that is there already, and turns away the old, the late and what has no room", func() {
		started("a.0.0.0", 2, 1)
		started("a.0.0.0", 2, 1)
		Expect(w.executor.Counts()).To(Equal(hollow.Counts{Running: 1, Started: 1}))
		refused("b.0.0.0", 1, 1, "room")
		w.pass(1100 * time.Millisecond)
		refused("a.0.0.0", 2, 1, "old")
		late := w.order("c.0.0.0", 1, 1)
		late.ExpiryMs = w.executor.ClockMs()
		_, answer := w.executor.Start(late)
		Expect(answer.Reason).To(Equal("late"))
	})

	It("turns away a run that was stopped before it came", func() {
		w.executor.Stop(executorapi.RunStop{Task: "a.0.0.0", Run: 1, Fence: 1})
		refused("a.0.0.0", 1, 1, "old")
		started("a.0.0.0", 2, 1)
	})

	It("stops a run within the stop's time, and lists its end once", func() {
		started("a.0.0.0", 1, 1)
		w.executor.Stop(executorapi.RunStop{Task: "a.0.0.0", Run: 1, Fence: 1})
		w.pass(410 * time.Millisecond)
		w.pass(time.Second)
		Expect(w.ends()).To(Equal([]executorapi.EndRow{{Number: 1, Task: "a.0.0.0", Run: 1, Outcome: "stopped"}}))
	})

	long := func(expiry time.Duration) {
		order := w.order("a.0.0.0", 1, 1)
		order.Descriptor = hollow.Load{Length: time.Minute, CPU: 600}.Descriptor()
		order.ExpiryMs = w.executor.ClockMs() + expiry.Milliseconds()
		status, _ := w.executor.Start(order)
		Expect(status).To(Equal(200))
	}

	It("lets all lapse once nobody holds it, and cuts a hold to the longest", func() {
		long(time.Hour)
		w.pass(5900 * time.Millisecond)
		Expect(w.executor.Counts().Running).To(Equal(1))
		w.pass(200 * time.Millisecond)
		Expect(w.ends()).To(HaveExactElements(HaveField("Outcome", wire.RunOutcome("lapsed"))))
	})

	It("goes on while it is held, and a hold is never shortened", func() {
		long(5 * time.Second)
		w.pass(4 * time.Second)
		w.hold(executorapi.Hold{Fence: 1, ExpiryMs: w.executor.ClockMs() + 5000})
		w.hold(executorapi.Hold{Fence: 1, ExpiryMs: w.executor.ClockMs() + 10})
		w.pass(4 * time.Second)
		Expect(w.executor.Counts().Running).To(Equal(1))
	})

	It("extends by a start that has no room", func() {
		long(2 * time.Second)
		w.pass(1500 * time.Millisecond)
		refused("b.0.0.0", 1, 1, "room")
		w.pass(3 * time.Second)
		Expect(w.executor.Counts().Running).To(Equal(1))
	})

	It("answers a waiting hold at an end, or when its wait is over", func() {
		started("a.0.0.0", 1, 1)
		var answers []int
		wait := func() {
			w.executor.Hold(executorapi.Hold{Fence: 1, WaitMs: 700}, func(_ int, answer executorapi.Answer) {
				answers = append(answers, len(answer.Ends))
			})
		}
		wait()
		w.pass(710 * time.Millisecond)
		Expect(answers).To(Equal([]int{0}))
		wait()
		w.pass(310 * time.Millisecond)
		Expect(answers).To(Equal([]int{0, 1}))
		w.pass(time.Second)
		Expect(answers).To(HaveLen(2))
	})

	It("refuses a descriptor that is not a load", func() {
		order := w.order("a.0.0.0", 1, 1)
		order.Descriptor = "something else"
		status, _ := w.executor.Start(order)
		Expect(status).To(Equal(400))
	})
})
