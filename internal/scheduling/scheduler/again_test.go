package scheduler_test

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/logging"
	"gannetline/internal/scheduling/scheduler"
)

var _ = Describe("a pool and what its clients and executors repeat", func() {
	const (
		body      = `{"task-descriptor":"d","step-list":[{"task-count":1,"cpu-units":1000,"estimated-ms":5000}]}`
		otherBody = `{"task-descriptor":"other","step-list":[{"task-count":3,"cpu-units":1000}]}`
	)
	var fakeClock *clock.Fake
	var leadership *scriptedLeadership
	var pool *scheduler.Pool
	open := func(epoch uint64) {
		leadership.epoch = epoch
		pool = scheduler.New("pool/s", fakeClock, timing, logging.Silent())
		pool.Open(leadership, leadership.pairs())
	}
	// ask sends a client's call and settles its commit.
	ask := func(verb wire.Verb, text string) wire.ClientAnswer {
		var reported wire.ClientAnswer
		call := &wire.ClientCall{Verb: verb, Route: "e", ID: id, Body: []byte(text), Terms: &wire.RouteTerms{MaxAttempts: 2}}
		answer := func(one wire.ClientAnswer) { reported = one }
		switch verb {
		case "hand-in":
			pool.Submit(call, answer)
		case "cancel":
			pool.Cancel(call, answer)
		case "state":
			pool.State(call, answer)
		}
		pool.Flush()
		leadership.settle(nil)
		return reported
	}
	state := func() string { return string(ask("state", "").Body) }
	exchange := func(change func(*wire.ExchangeCall)) wire.ExchangeAnswer {
		call := &wire.ExchangeCall{Key: "pool/s", Executor: "i-1", Proxy: "side-1", Capacity: wire.Capacity{CPU: 4000, Memory: 4000},
			Labels: []string{"a", "r1"}, Fence: leadership.epoch, ListNumber: 1 << 40}
		change(call)
		var reported wire.ExchangeAnswer
		pool.Exchange(call, func(answer wire.ExchangeAnswer) { reported = answer })
		pool.Flush()
		leadership.settle(nil)
		return reported
	}
	nothing := func(*wire.ExchangeCall) {}
	start := func() {
		exchange(nothing)
		pool.Flush()
		leadership.settle(nil)
		Expect(exchange(nothing).Orders).To(HaveLen(1))
		exchange(func(call *wire.ExchangeCall) {
			call.Answers = []wire.OrderAnswer{{Task: taskState, Run: 1, Kind: "launch", Result: "ok"}}
		})
	}
	finish := func() {
		exchange(func(call *wire.ExchangeCall) {
			call.Ends = []wire.EndReport{{Number: 1, Task: taskState, Run: 1, Outcome: "done"}}
		})
	}
	BeforeEach(func() {
		fakeClock = clock.NewFake(1_000_000)
		leadership = &scriptedLeadership{clock: fakeClock, hasLease: true, kept: map[string][]byte{}}
		open(3)
		Expect(ask("hand-in", body).Status).To(Equal(http.StatusOK))
	})

	DescribeTable("takes the same ID again for the same job", func(before func(), shown string) {
		before()
		Expect(ask("hand-in", otherBody).Status).To(Equal(http.StatusOK))
		Expect(ask("hand-in", body).Status).To(Equal(http.StatusOK))
		Expect(state()).To(ContainSubstring(shown))
	},
		Entry("right after it was accepted", func() {}, "queued"),
		Entry("once it runs", func() { start() }, "active"),
		Entry("once it has ended", func() { start(); finish() }, "completed"),
		Entry("once it was cancelled", func() { ask("cancel", "") }, "cancelled"),
		Entry("at the next leader", func() { open(4) }, "queued"),
		Entry("at the next leader, once it has ended", func() { start(); finish(); open(4) }, "completed"),
	)

	DescribeTable("acknowledges a cancel, and again", func(before func(), status int, shown string) {
		before()
		Expect(ask("cancel", "").Status).To(Equal(status))
		Expect(ask("cancel", "").Status).To(Equal(status))
		Expect(state()).To(ContainSubstring(shown))
	},
		Entry("of a job that waits", func() {}, 200, "cancelled"),
		Entry("of a job that runs", func() { start() }, 200, "cancelled"),
		Entry("of a job that runs where the executor leaves", func() {
			start()
			exchange(func(call *wire.ExchangeCall) { call.Draining = true })
		}, 200, "cancelled"),
		Entry("of a job that has ended", func() { start(); finish() }, 200, "completed"),
		Entry("at the next leader", func() { start(); open(4) }, 200, "cancelled"),
	)

	It("acknowledges a cancel that comes while the submission is being committed", func() {
		open(4)
		var handedIn, cancelled int
		other := &wire.ClientCall{Route: "e", ID: "00000000000000aa", Body: []byte(body), Terms: &wire.RouteTerms{MaxAttempts: 2}}
		pool.Submit(other, func(answer wire.ClientAnswer) { handedIn = answer.Status })
		pool.Flush()
		pool.Cancel(other, func(answer wire.ClientAnswer) { cancelled = answer.Status })
		pool.Flush()
		leadership.settle(nil)
		leadership.settle(nil)
		Expect(handedIn).To(Equal(http.StatusOK))
		Expect(cancelled).To(Equal(http.StatusOK))
	})

	It("moves at once what will not end before an executor is gone that left unannounced", func() {
		start()
		exchange(func(call *wire.ExchangeCall) { call.Draining, call.DepartureMs = true, 2000 })
		Expect(exchange(nothing).Orders).To(ContainElement(wire.Order{Kind: "stop", Task: taskState, Run: 1}))
	})

	It("starts nothing on an executor that leaves because its proxy forgot that", func() {
		exchange(func(call *wire.ExchangeCall) { call.Draining, call.DepartureMs = true, 2000 })
		exchange(nothing)
		pool.Flush()
		leadership.settle(nil)
		Expect(exchange(nothing).Orders).To(BeEmpty())
	})
})
