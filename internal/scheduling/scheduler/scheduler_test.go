package scheduler_test

import (
	"strings"
	"time"

	"github.com/juju/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/logging"
	"gannetline/internal/platform/metrics"
	"gannetline/internal/scheduling/recording"
	"gannetline/internal/scheduling/scheduler"
)

// scriptedLeadership is a leadership whose commits end when the test calls settle. records holds the committed records, inFlight the
// commits that have not ended.
type scriptedLeadership struct {
	clock    *clock.Fake
	epoch    uint64
	hasLease bool
	records  map[string][]byte
	inFlight []func(error)
	// committed counts the commits that have succeeded.
	committed uint64
}

func (s *scriptedLeadership) Epoch() uint64       { return s.epoch }
func (s *scriptedLeadership) CommitIndex() uint64 { return s.committed }
func (s *scriptedLeadership) HasLease() bool      { return s.hasLease }
func (s *scriptedLeadership) WallMs() int64       { return s.clock.WallMs() }

func (s *scriptedLeadership) Commit(ops []wire.Op, done func(error)) {
	s.inFlight = append(s.inFlight, func(err error) {
		if err == nil {
			s.committed++
			for _, op := range ops {
				s.records[op.Name] = op.Value
				if len(op.Value) == 0 {
					delete(s.records, op.Name)
				}
			}
		}
		done(err)
	})
}

// settle ends all commits in flight with an error, or with success if it is nil.
func (s *scriptedLeadership) settle(err error) {
	inFlight := s.inFlight
	s.inFlight = nil
	for _, done := range inFlight {
		done(err)
	}
}

// settleFirst ends the first commit in flight.
func (s *scriptedLeadership) settleFirst(err error) {
	first := s.inFlight[0]
	s.inFlight = s.inFlight[1:]
	first(err)
}

func (s *scriptedLeadership) pairs() []wire.Op {
	var all []wire.Op
	for name, value := range s.records {
		all = append(all, wire.Op{Name: name, Value: value})
	}
	return all
}

// has reports whether there is a committed record whose name begins with the prefix.
func (s *scriptedLeadership) has(prefix string) bool {
	for name := range s.records {
		if strings.HasPrefix(name, prefix) {
			return true
		}
	}
	return false
}

// durationRecorder collects the durations of ended runs, in ms.
type durationRecorder struct{ lengths []int64 }

func (d *durationRecorder) Record(event recording.Event) {
	if event.Kind == recording.KindEnd {
		d.lengths = append(d.lengths, event.LengthMs)
	}
}

const (
	id       = "5c0e7a21d94b36f8"
	taskName = id + ".0.0.0"
)

var timing = scheduler.Timing{Grant: 4 * time.Second, MaxHold: 6 * time.Second, Resend: 200 * time.Millisecond, MaxResend: time.Second,
	HoldStale: 2500 * time.Millisecond, SilentAfter: 1500 * time.Millisecond, StopTimeout: 400 * time.Millisecond,
	StuckAfter: 2 * time.Second, KeepEnded: 150 * time.Second}

var _ = Describe("orders and commits of a pool", func() {
	var fakeClock *clock.Fake
	var leadership *scriptedLeadership
	var pool *scheduler.Pool
	var statuses []int
	open := func(epoch uint64, pairs []wire.Op) {
		leadership.epoch = epoch
		pool = scheduler.New("pool/s", fakeClock, timing, logging.Silent())
		pool.Open(leadership, pairs)
	}
	exchange := func(change func(*wire.ExchangeCall)) *wire.ExchangeAnswer {
		call := &wire.ExchangeCall{Key: "pool/s", Executor: "i-1", Proxy: "side-1", Capacity: wire.Capacity{CPU: 4000, Memory: 4000},
			Labels: []string{"a", "r1"}, Fence: leadership.epoch, ListNumber: 1 << 40}
		if change != nil {
			change(call)
		}
		var reported *wire.ExchangeAnswer
		pool.Exchange(call, func(answer wire.ExchangeAnswer) { reported = &answer })
		pool.Flush()
		return reported
	}
	submit := func() {
		pool.Submit(&wire.ClientCall{Verb: "hand-in", Route: "e", ID: id, Terms: &wire.RouteTerms{MaxAttempts: 2},
			Body: []byte(`{"task-descriptor":"d","step-list":[{"task-count":1,"cpu-units":1000}]}`)},
			func(answer wire.ClientAnswer) { statuses = append(statuses, answer.Status) })
		pool.Flush()
	}
	reportStart := func(call *wire.ExchangeCall) {
		call.Answers = []wire.OrderAnswer{{Task: taskName, Run: 1, Kind: "launch", Result: "ok"}}
	}
	reportEnd := func(outcome string) func(*wire.ExchangeCall) {
		return func(call *wire.ExchangeCall) {
			call.Ends = []wire.EndReport{{Number: 1, Task: taskName, Run: 1, Outcome: wire.RunOutcome(outcome)}}
		}
	}
	BeforeEach(func() {
		fakeClock, statuses = clock.NewFake(1_000_000), nil
		leadership = &scriptedLeadership{clock: fakeClock, hasLease: true, records: map[string][]byte{}}
		open(3, nil)
		exchange(nil)
	})

	It("answers the client and sends the order only after the commit", func() {
		submit()
		Expect(statuses).To(BeEmpty())
		Expect(exchange(nil).Orders).To(BeEmpty())
		leadership.settle(nil)
		Expect(statuses).To(Equal([]int{200}))
		Expect(exchange(nil).Orders).To(HaveLen(1))
		Expect(leadership.has("o/" + taskName + "/1/launch")).To(BeTrue())
	})

	It("exports counters of submissions, placements, orders, starts, ends, stops and commits, and gauges of open work", func() {
		before := metrics.Own()
		submit()
		leadership.settle(nil)
		exchange(nil)
		fakeClock.Advance(250 * time.Millisecond)
		pool.Tick()
		pool.Flush()
		exchange(nil)
		exchange(reportStart)
		fakeClock.Advance(time.Second)
		pool.Tick()
		running := metrics.Own()
		Expect(running).To(HaveKeyWithValue(`gannetline_pool_runs{key="pool/s"}`, 1.0))
		Expect(running).To(HaveKeyWithValue(`gannetline_pool_open_steps{key="pool/s"}`, 1.0))
		Expect(running).To(HaveKeyWithValue(`gannetline_pool_executors{key="pool/s",state="ready"}`, 1.0))
		exchange(reportEnd("failed"))
		leadership.settle(nil)
		exchange(nil)
		exchange(func(call *wire.ExchangeCall) {
			call.Answers = []wire.OrderAnswer{{Task: taskName, Run: 2, Kind: "launch", Result: "ok"}}
		})
		pool.Cancel(&wire.ClientCall{ID: id}, func(wire.ClientAnswer) {})
		pool.Flush()
		leadership.settle(nil)
		exchange(nil)
		own := metrics.Own()
		for name, count := range map[string]float64{"hand_ins_total": 1, "placements_total": 2, "starts_total": 2, "stops_total": 1, "spares_total": 0} {
			name = "gannetline_pool_" + name + `{key="pool/s"}`
			Expect(own[name]-before[name]).To(Equal(count), name)
		}
		for name, count := range map[string]float64{`ends_total{key="pool/s",how="failed"}`: 1,
			`orders_sent_total{key="pool/s",kind="launch"}`: 3, `orders_sent_total{key="pool/s",kind="stop"}`: 1, `orders_resent_total{key="pool/s",kind="launch"}`: 1,
			`tick_seconds_count{key="pool/s"}`: 2} {
			Expect(own["gannetline_pool_"+name]-before["gannetline_pool_"+name]).To(Equal(count), name)
		}
		for _, name := range []string{`commits_total{key="pool/s"}`, `changes_total{key="pool/s"}`, `placement_seconds_count{key="pool/s"}`} {
			Expect(own["gannetline_pool_"+name]).To(BeNumerically(">", before["gannetline_pool_"+name]), name)
		}
		pool.Close()
		Expect(metrics.Own()).NotTo(HaveKey(`gannetline_pool_runs{key="pool/s"}`))
	})

	It("counts speculative runs in a metric of their own", func() {
		metric := `gannetline_pool_spares_total{key="pool/s"}`
		before := metrics.Own()[metric]
		pool.Submit(&wire.ClientCall{Verb: "hand-in", Route: "e", ID: id,
			Body: []byte(`{"task-descriptor":"d","step-list":[{"task-count":1,"cpu-units":1000,"redundant":true}]}`)}, func(wire.ClientAnswer) {})
		pool.Flush()
		leadership.settle(nil)
		exchange(nil)
		exchange(reportStart)
		Expect(metrics.Own()[metric]).To(Equal(before))
		fakeClock.Advance(800 * time.Millisecond)
		exchange(func(call *wire.ExchangeCall) { call.Executor, call.Proxy = "i-2", "side-2" })
		pool.Tick()
		pool.Flush()
		Expect(metrics.Own()[metric] - before).To(Equal(1.0))
	})

	It("sends no order and acknowledges no submission if the commit fails", func() {
		submit()
		leadership.settle(errors.New("lost"))
		Expect(statuses).To(Equal([]int{0}))
		Expect(exchange(nil).Orders).To(BeEmpty())
	})

	It("answers that the outcome is unknown if the leadership ends before a submission is committed", func() {
		var reported []wire.ClientAnswer
		pool.Submit(&wire.ClientCall{Route: "e", ID: id, Body: []byte(`{"task-descriptor":"x","step-list":[{"task-count":1}]}`)},
			func(answer wire.ClientAnswer) { reported = append(reported, answer) })
		pool.Flush()
		pool.Close()
		Expect(reported).To(Equal([]wire.ClientAnswer{{NotLeader: true, OutcomeUnknown: true}}))
	})

	It("resends an unanswered order after 200 ms, then with backoff", func() {
		submit()
		leadership.settle(nil)
		Expect(exchange(nil).Orders).To(HaveLen(1))
		fakeClock.Advance(150 * time.Millisecond)
		pool.Tick()
		Expect(exchange(nil).Orders).To(BeEmpty())
		fakeClock.Advance(60 * time.Millisecond)
		pool.Tick()
		Expect(exchange(nil).Orders).To(HaveLen(1))
		fakeClock.Advance(250 * time.Millisecond)
		pool.Tick()
		Expect(exchange(nil).Orders).To(BeEmpty())
	})

	It("drops the record of an order in the commit of its answer", func() {
		submit()
		leadership.settle(nil)
		exchange(nil)
		exchange(reportStart)
		Expect(leadership.has("o/")).To(BeTrue())
		leadership.settle(nil)
		Expect(leadership.has("o/")).To(BeFalse())
	})

	It("acknowledges the end of a run at its commit, not earlier and not later", func() {
		submit()
		leadership.settle(nil)
		exchange(nil)
		exchange(reportStart)
		leadership.settle(nil)
		var reported *wire.ExchangeAnswer
		call := &wire.ExchangeCall{Key: "pool/s", Executor: "i-1", Fence: 3}
		reportEnd("done")(call)
		pool.Exchange(call, func(answer wire.ExchangeAnswer) { reported = &answer })
		pool.Flush()
		Expect(reported).To(BeNil())
		leadership.settle(nil)
		Expect(reported.LastSeen).To(Equal(int64(1)))
	})

	It("resends a pending order after a leader change, once the executor has confirmed the fence", func() {
		submit()
		leadership.settle(nil)
		exchange(nil)
		open(4, leadership.pairs())
		Expect(exchange(func(call *wire.ExchangeCall) { call.Fence, call.ListNumber = 3, 0 }).Orders).To(BeEmpty())
		answer := exchange(nil)
		leadership.settle(nil)
		if len(answer.Orders) == 0 {
			answer = exchange(nil)
		}
		Expect(answer.Orders).To(ConsistOf(HaveField("Run", int64(1))))
		Expect(answer.Fence).To(Equal(uint64(4)))
	})

	It("adopts the runs that an executor reports after a leader change", func() {
		submit()
		leadership.settle(nil)
		exchange(nil)
		open(4, leadership.pairs())
		exchange(func(call *wire.ExchangeCall) { call.Running = []wire.RunReport{{Task: taskName, Run: 1}} })
		leadership.settle(nil)
		Expect(exchange(nil).Orders).To(BeEmpty())
		Expect(leadership.has("o/")).To(BeFalse())
		exchange(reportEnd("done"))
		leadership.settle(nil)
		var state string
		pool.State(&wire.ClientCall{ID: id}, func(answer wire.ClientAnswer) { state = string(answer.Body) })
		pool.Flush()
		Expect(state).To(ContainSubstring("completed"))
	})

	It("starts the task on another executor after the longest possible lease has expired, and not before", func() {
		submit()
		leadership.settle(nil)
		exchange(nil)
		exchange(reportStart)
		leadership.settle(nil)
		other := func(call *wire.ExchangeCall) { call.Executor, call.Proxy = "i-2", "side-2" }
		for waited := time.Duration(0); waited < 6300*time.Millisecond; waited += 50 * time.Millisecond {
			fakeClock.Advance(50 * time.Millisecond)
			pool.Tick()
			pool.Flush()
			leadership.settle(nil)
			Expect(exchange(other).Orders).To(BeEmpty(), waited.String())
		}
		fakeClock.Advance(500 * time.Millisecond)
		exchange(other)
		pool.Tick()
		pool.Flush()
		leadership.settle(nil)
		Expect(exchange(other).Orders).To(HaveLen(1))
	})

	It("removes an executor at once after a leader change if another one on its machine confirms the new fence", func() {
		submit()
		leadership.settle(nil)
		exchange(nil)
		exchange(reportStart)
		leadership.settle(nil)
		open(4, leadership.pairs())
		replacement := func(call *wire.ExchangeCall) { call.Executor = "i-2" }
		unfenced := func(call *wire.ExchangeCall) { call.Executor, call.Fence, call.ListNumber = "i-2", 3, 0 }
		exchange(unfenced)
		pool.Tick()
		pool.Flush()
		leadership.settle(nil)
		Expect(exchange(unfenced).Orders).To(BeEmpty())
		exchange(replacement)
		pool.Tick()
		pool.Flush()
		leadership.settle(nil)
		Expect(exchange(replacement).Orders).To(ConsistOf(HaveField("Run", int64(2))))
		Expect(leadership.has("e/i-1")).To(BeFalse())
	})

	It("removes a replaced executor only if it was silent for longer than an exchange may be in flight", func() {
		submit()
		leadership.settle(nil)
		exchange(nil)
		exchange(reportStart)
		leadership.settle(nil)
		replacement := func(call *wire.ExchangeCall) { call.Executor = "i-2" }
		for waited := time.Duration(0); waited < 2500*time.Millisecond; waited += 50 * time.Millisecond {
			fakeClock.Advance(50 * time.Millisecond)
			exchange(replacement)
			pool.Tick()
			pool.Flush()
			leadership.settle(nil)
			Expect(leadership.has("e/i-1")).To(BeTrue(), waited.String())
		}
		fakeClock.Advance(50 * time.Millisecond)
		exchange(replacement)
		pool.Tick()
		pool.Flush()
		leadership.settle(nil)
		Expect(leadership.has("e/i-1")).To(BeFalse())
		Expect(exchange(replacement).Orders).To(HaveLen(1))
	})

	It("doesn't remove an executor because of an earlier one on its machine", func() {
		submit()
		leadership.settle(nil)
		exchange(nil)
		exchange(func(call *wire.ExchangeCall) { call.Executor = "i-0" })
		exchange(reportStart)
		leadership.settle(nil)
		fakeClock.Advance(100 * time.Millisecond)
		exchange(nil)
		fakeClock.Advance(3 * time.Second)
		pool.Tick()
		pool.Flush()
		leadership.settle(nil)
		Expect(leadership.has("e/i-1")).To(BeTrue())
	})

	It("measures the duration of a run from its start, even if the start is reported late", func() {
		recorder := &durationRecorder{}
		pool = scheduler.New("pool/s", fakeClock, timing, logging.Silent(), scheduler.WithRecorder(recorder))
		pool.Open(leadership, nil)
		exchange(nil)
		submit()
		leadership.settle(nil)
		exchange(nil)
		fakeClock.Advance(90 * time.Millisecond)
		exchange(func(call *wire.ExchangeCall) {
			reportStart(call)
			call.Answers[0].AgeMs = 80
			reportEnd("done")(call)
		})
		Expect(recorder.lengths).To(Equal([]int64{80}))
	})

	It("gives an executor time to report after a leader change before its runs get speculative ones", func() {
		pool.Submit(&wire.ClientCall{Route: "e", ID: id, Body: []byte(`{"step-list":[{"task-count":1,"cpu-units":10,"redundant":true,"estimated-ms":60000}]}`)},
			func(wire.ClientAnswer) {})
		pool.Flush()
		leadership.settle(nil)
		exchange(nil)
		exchange(reportStart)
		leadership.settle(nil)
		fakeClock.Advance(time.Second)
		open(4, leadership.pairs())
		orders := func() []wire.Order {
			exchange(func(call *wire.ExchangeCall) { call.Executor, call.Proxy = "i-2", "side-2" })
			leadership.settle(nil)
			return exchange(func(call *wire.ExchangeCall) { call.Executor, call.Proxy = "i-2", "side-2" }).Orders
		}
		Expect(orders()).To(BeEmpty())
		fakeClock.Advance(750 * time.Millisecond)
		pool.Tick()
		Expect(orders()).To(HaveLen(1))
	})

	It("accepts the completion of an abandoned run and doesn't start its task again", func() {
		submit()
		leadership.settle(nil)
		exchange(nil)
		exchange(reportStart)
		leadership.settle(nil)
		exchange(func(call *wire.ExchangeCall) {
			call.Gone, call.Executor, call.Proxy = []string{"i-1"}, "i-2", "side-2"
		})
		leadership.settle(nil)
		exchange(reportEnd("done"))
		leadership.settle(nil)
		var state string
		pool.State(&wire.ClientCall{ID: id}, func(answer wire.ClientAnswer) { state = string(answer.Body) })
		pool.Flush()
		Expect(state).To(ContainSubstring("completed"))
		Expect(exchange(func(call *wire.ExchangeCall) { call.Executor, call.Proxy = "i-2", "side-2" }).Orders).To(BeEmpty())
	})

	It("grants no lease to an executor while the leader has none", func() {
		leadership.hasLease = false
		Expect(exchange(nil).GrantMs).To(BeZero())
		leadership.hasLease = true
		Expect(exchange(nil).GrantMs).To(Equal(int64(4000)))
	})

	It("answers 410 for an unknown job only under a lease", func() {
		askState := func() (reported wire.ClientAnswer) {
			pool.State(&wire.ClientCall{ID: id}, func(answer wire.ClientAnswer) { reported = answer })
			pool.Flush()
			return reported
		}
		Expect(askState().Status).To(Equal(410))
		leadership.hasLease = false
		Expect(askState().NotLeader).To(BeTrue())
	})

	It("stops a run without a record", func() {
		answer := exchange(func(call *wire.ExchangeCall) {
			call.Running = []wire.RunReport{{Task: "x.0.0.0", Run: 9}}
		})
		Expect(answer.Orders).To(ConsistOf(wire.Order{Kind: "stop", Task: "x.0.0.0", Run: 9}))
	})

	It("refuses a submission whose ID belongs to a job of another queue", func() {
		submit()
		leadership.settle(nil)
		var status int
		pool.Submit(&wire.ClientCall{Route: "other", ID: id, Body: []byte(`{}`)}, func(answer wire.ClientAnswer) { status = answer.Status })
		pool.Flush()
		Expect(status).To(Equal(409))
	})

	// Guards against a 409 for a job that is sent again after its queue has got another name.
	It("acknowledges a repeated submission to a queue that had another name before", func() {
		submit()
		leadership.settle(nil)
		renamed := wire.ClientCall{Route: "other", FormerRoutes: []string{"e"}, ID: id, Body: []byte(`{}`)}
		var status int
		pool.Submit(&renamed, func(answer wire.ClientAnswer) { status = answer.Status })
		pool.Flush()
		leadership.settle(nil)
		Expect(status).To(Equal(200))
	})
})
