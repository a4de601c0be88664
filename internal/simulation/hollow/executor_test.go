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

// harness is one executor on a fake clock, with the functions that the executor has scheduled.
type harness struct {
	clock    *clock.Fake
	executor *hollow.Executor
	delayed  []delayedCall
}

type delayedCall struct {
	due time.Duration
	run func()
}

func newHarness() *harness {
	h := &harness{clock: clock.NewFake(0)}
	h.executor = hollow.NewExecutor(hollow.ExecutorConfig{Node: "w", ID: "i-w", Capacity: wire.Capacity{CPU: 1000, Memory: 1000},
		MaxHold: 6 * time.Second, StopTimeout: 400 * time.Millisecond, ClockRate: 1}, h.clock,
		func(wait time.Duration, run func()) {
			h.delayed = append(h.delayed, delayedCall{h.clock.Monotonic() + wait, run})
		})
	return h
}

// advance advances the clock in steps of 1 ms, and runs the scheduled functions when they are due.
func (h *harness) advance(length time.Duration) {
	for until := h.clock.Monotonic() + length; h.clock.Monotonic() < until; h.clock.Advance(time.Millisecond) {
		due := h.delayed
		h.delayed = nil
		for _, call := range due {
			if call.due <= h.clock.Monotonic() {
				call.run()
			} else {
				h.delayed = append(h.delayed, call)
			}
		}
	}
}

func (h *harness) order(task string, run int64, fence uint64) executorapi.RunStart {
	return executorapi.RunStart{Task: task, Run: run, Fence: fence, ExpiryMs: h.executor.ClockMs() + 5000,
		Descriptor: hollow.Load{Length: time.Second, CPU: 600, MemoryMB: 10}.Descriptor()}
}

func (h *harness) start(task string, run int64, fence uint64) (int, string) {
	status, answer := h.executor.Start(h.order(task, run, fence))
	return status, answer.Reason
}

// hold makes a hold and returns its answer, or nil if the answer waits.
func (h *harness) hold(hold executorapi.Hold) *executorapi.Answer {
	var received *executorapi.Answer
	h.executor.Hold(hold, func(_ int, answer executorapi.Answer) { received = &answer })
	return received
}

func (h *harness) ends() []executorapi.EndRow { return h.hold(executorapi.Hold{Fence: 9}).Ends }

var _ = Describe("the stand-in executor", func() {
	var h *harness
	BeforeEach(func() { h = newHarness() })

	expectRefused := func(task string, run int64, fence uint64, expectedReason string) {
		status, reason := h.start(task, run, fence)
		ExpectWithOffset(1, status).To(Equal(409))
		ExpectWithOffset(1, reason).To(Equal(expectedReason))
	}
	expectStarted := func(task string, run int64, fence uint64) {
		status, _ := h.start(task, run, fence)
		ExpectWithOffset(1, status).To(Equal(200))
	}

	It("runs a task for its length, and lists its end until it is acknowledged", func() {
		expectStarted("a.0.0.0", 1, 1)
		h.advance(1100 * time.Millisecond)
		Expect(h.ends()).To(Equal([]executorapi.EndRow{{Number: 1, Task: "a.0.0.0", Run: 1, Outcome: "done"}}))
		Expect(h.hold(executorapi.Hold{Fence: 9, LastSeen: 1}).Ends).To(BeEmpty())
	})

	It("counts calls that keep using a refused fence, but no holds without a leader's fence", func() {
		h.start("a.0.0.0", 1, 5)
		for range 20 {
			Expect(h.hold(executorapi.Hold{Fence: 0}).Reason).To(Equal("fence"))
			h.clock.Advance(time.Second)
		}
		Expect(h.executor.Counts().RepeatedFences).To(BeZero())
		h.hold(executorapi.Hold{Fence: 4})
		h.clock.Advance(time.Second)
		h.hold(executorapi.Hold{Fence: 4})
		Expect(h.executor.Counts().RepeatedFences).To(BeZero(), "soon after the refusal")
		h.clock.Advance(2 * time.Second)
		h.hold(executorapi.Hold{Fence: 4})
		Expect(h.executor.Counts().RepeatedFences).To(Equal(1))
		h.start("a.0.0.0", 2, 0)
		h.executor.Stop(executorapi.RunStop{Task: "a.0.0.0", Run: 1})
		Expect(h.executor.Counts().RepeatedFences).To(Equal(3), "orders without a leader's fence")
	})

	It("gets holds without a leader's fence from a restarted proxy that no leader has answered", func() {
		h.start("a.0.0.0", 1, 5)
		table := localproxy.NewTable(h.clock, logging.Silent(), "s", "d", "side-1", func() {}, func() {}, func() {})
		heartbeat := h.executor.NextHeartbeat("s", "127.0.0.1:1", "d")
		status, _ := table.Heartbeat("i-w", &heartbeat)
		Expect(status).To(Equal(200))
		work, isDue := table.NextHold(false)
		Expect(isDue).To(BeTrue())
		Expect(work.Hold.Fence).To(BeZero())
		Expect(h.hold(work.Hold).Reason).To(Equal("fence"))
	})

	It("refuses calls with a lower fence", func() {
		expectStarted("a.0.0.0", 1, 5)
		expectRefused("b.0.0.0", 1, 4, "fence")
		status, _ := h.executor.Stop(executorapi.RunStop{Task: "a.0.0.0", Run: 1, Fence: 4})
		Expect(status).To(Equal(409))
		Expect(h.hold(executorapi.Hold{Fence: 4}).Reason).To(Equal("fence"))
	})

	It("accepts a repeated start, and refuses starts that are old, late or too large", func() {
		expectStarted("a.0.0.0", 2, 1)
		expectStarted("a.0.0.0", 2, 1)
		Expect(h.executor.Counts()).To(Equal(hollow.Counts{Running: 1, Started: 1}))
		expectRefused("b.0.0.0", 1, 1, "room")
		h.advance(1100 * time.Millisecond)
		expectRefused("a.0.0.0", 2, 1, "old")
		late := h.order("c.0.0.0", 1, 1)
		late.ExpiryMs = h.executor.ClockMs()
		_, answer := h.executor.Start(late)
		Expect(answer.Reason).To(Equal("late"))
	})

	It("refuses a run that was stopped before its start arrived", func() {
		h.executor.Stop(executorapi.RunStop{Task: "a.0.0.0", Run: 1, Fence: 1})
		expectRefused("a.0.0.0", 1, 1, "old")
		expectStarted("a.0.0.0", 2, 1)
	})

	It("stops a run within the stop timeout, and lists its end once", func() {
		expectStarted("a.0.0.0", 1, 1)
		h.executor.Stop(executorapi.RunStop{Task: "a.0.0.0", Run: 1, Fence: 1})
		h.advance(410 * time.Millisecond)
		h.advance(time.Second)
		Expect(h.ends()).To(Equal([]executorapi.EndRow{{Number: 1, Task: "a.0.0.0", Run: 1, Outcome: "stopped"}}))
	})

	startLong := func(expiry time.Duration) {
		order := h.order("a.0.0.0", 1, 1)
		order.Descriptor = hollow.Load{Length: time.Minute, CPU: 600}.Descriptor()
		order.ExpiryMs = h.executor.ClockMs() + expiry.Milliseconds()
		status, _ := h.executor.Start(order)
		Expect(status).To(Equal(200))
	}

	It("ends all runs when the lease expires, and limits the lease to the longest hold", func() {
		startLong(time.Hour)
		h.advance(5900 * time.Millisecond)
		Expect(h.executor.Counts().Running).To(Equal(1))
		h.advance(200 * time.Millisecond)
		Expect(h.ends()).To(HaveExactElements(HaveField("Outcome", wire.RunOutcome("lapsed"))))
	})

	It("continues runs while the lease is extended, and never shortens the lease", func() {
		startLong(5 * time.Second)
		h.advance(4 * time.Second)
		h.hold(executorapi.Hold{Fence: 1, ExpiryMs: h.executor.ClockMs() + 5000})
		h.hold(executorapi.Hold{Fence: 1, ExpiryMs: h.executor.ClockMs() + 10})
		h.advance(4 * time.Second)
		Expect(h.executor.Counts().Running).To(Equal(1))
	})

	It("extends the lease by a start refused for lack of capacity", func() {
		startLong(2 * time.Second)
		h.advance(1500 * time.Millisecond)
		expectRefused("b.0.0.0", 1, 1, "room")
		h.advance(3 * time.Second)
		Expect(h.executor.Counts().Running).To(Equal(1))
	})

	It("answers a waiting hold at the end of a run, or when its wait is over", func() {
		expectStarted("a.0.0.0", 1, 1)
		var answers []int
		wait := func() {
			h.executor.Hold(executorapi.Hold{Fence: 1, WaitMs: 700}, func(_ int, answer executorapi.Answer) {
				answers = append(answers, len(answer.Ends))
			})
		}
		wait()
		h.advance(710 * time.Millisecond)
		Expect(answers).To(Equal([]int{0}))
		wait()
		h.advance(310 * time.Millisecond)
		Expect(answers).To(Equal([]int{0, 1}))
		h.advance(time.Second)
		Expect(answers).To(HaveLen(2))
	})

	It("refuses a descriptor that is not a load", func() {
		order := h.order("a.0.0.0", 1, 1)
		order.Descriptor = "something else"
		status, _ := h.executor.Start(order)
		Expect(status).To(Equal(400))
	})
})
