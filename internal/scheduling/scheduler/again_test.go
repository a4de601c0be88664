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

var _ = Describe("repeated calls of clients and executors", func() {
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
	// send makes a client's call and settles its commit.
	send := func(verb wire.Verb, text string) wire.ClientAnswer {
		var reported wire.ClientAnswer
		call := &wire.ClientCall{Verb: verb, Route: "e", ID: id, Body: []byte(text), Terms: &wire.RouteTerms{MaxAttempts: 2}}
		record := func(answer wire.ClientAnswer) { reported = answer }
		switch verb {
		case "hand-in":
			pool.Submit(call, record)
		case "cancel":
			pool.Cancel(call, record)
		case "state":
			pool.State(call, record)
		}
		pool.Flush()
		leadership.settle(nil)
		return reported
	}
	state := func() string { return string(send("state", "").Body) }
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
	unchanged := func(*wire.ExchangeCall) {}
	start := func() {
		exchange(unchanged)
		pool.Flush()
		leadership.settle(nil)
		Expect(exchange(unchanged).Orders).To(HaveLen(1))
		exchange(func(call *wire.ExchangeCall) {
			call.Answers = []wire.OrderAnswer{{Task: taskName, Run: 1, Kind: "launch", Result: "ok"}}
		})
	}
	finish := func() {
		exchange(func(call *wire.ExchangeCall) {
			call.Ends = []wire.EndReport{{Number: 1, Task: taskName, Run: 1, Outcome: "done"}}
		})
	}
	BeforeEach(func() {
		fakeClock = clock.NewFake(1_000_000)
		leadership = &scriptedLeadership{clock: fakeClock, hasLease: true, records: map[string][]byte{}}
		open(3)
		Expect(send("hand-in", body).Status).To(Equal(http.StatusOK))
	})

	DescribeTable("accepts a repeated submission with the ID of a known job", func(before func(), wanted string) {
		before()
		Expect(send("hand-in", otherBody).Status).To(Equal(http.StatusOK))
		Expect(send("hand-in", body).Status).To(Equal(http.StatusOK))
		Expect(state()).To(ContainSubstring(wanted))
	},
		Entry("right after the first submission", func() {}, "queued"),
		Entry("while the job runs", func() { start() }, "active"),
		Entry("after the job has ended", func() { start(); finish() }, "completed"),
		Entry("after the job was cancelled", func() { send("cancel", "") }, "cancelled"),
		Entry("to the next leader", func() { open(4) }, "queued"),
		Entry("to the next leader, after the job has ended", func() { start(); finish(); open(4) }, "completed"),
	)

	DescribeTable("acknowledges a cancellation and its repetition", func(before func(), status int, wanted string) {
		before()
		Expect(send("cancel", "").Status).To(Equal(status))
		Expect(send("cancel", "").Status).To(Equal(status))
		Expect(state()).To(ContainSubstring(wanted))
	},
		Entry("of a queued job", func() {}, 200, "cancelled"),
		Entry("of a running job", func() { start() }, 200, "cancelled"),
		Entry("of a job that runs on a draining executor", func() {
			start()
			exchange(func(call *wire.ExchangeCall) { call.Draining = true })
		}, 200, "cancelled"),
		Entry("of an ended job", func() { start(); finish() }, 200, "completed"),
		Entry("of a running job, at the next leader", func() { start(); open(4) }, 200, "cancelled"),
	)

	It("acknowledges a cancellation that arrives before the submission is committed", func() {
		open(4)
		var submitStatus, cancelStatus int
		other := &wire.ClientCall{Route: "e", ID: "00000000000000aa", Body: []byte(body), Terms: &wire.RouteTerms{MaxAttempts: 2}}
		pool.Submit(other, func(answer wire.ClientAnswer) { submitStatus = answer.Status })
		pool.Flush()
		pool.Cancel(other, func(answer wire.ClientAnswer) { cancelStatus = answer.Status })
		pool.Flush()
		leadership.settle(nil)
		leadership.settle(nil)
		Expect(submitStatus).To(Equal(http.StatusOK))
		Expect(cancelStatus).To(Equal(http.StatusOK))
	})

	It("stops a run that can't finish before its executor departs as soon as the executor reports its drain", func() {
		start()
		exchange(func(call *wire.ExchangeCall) { call.Draining, call.DepartureMs = true, 2000 })
		Expect(exchange(unchanged).Orders).To(ContainElement(wire.Order{Kind: "stop", Task: taskName, Run: 1}))
	})

	It("starts no run on a draining executor even if its proxy no longer reports the drain", func() {
		exchange(func(call *wire.ExchangeCall) { call.Draining, call.DepartureMs = true, 2000 })
		exchange(unchanged)
		pool.Flush()
		leadership.settle(nil)
		Expect(exchange(unchanged).Orders).To(BeEmpty())
	})
})
