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

// scriptedLeadership is a leadership whose commits the test finishes.
type scriptedLeadership struct {
	clock    *clock.Fake
	epoch    uint64
	hasLease bool
	kept     map[string][]byte
	waiting  []func(error)
}

func (s *scriptedLeadership) Epoch() uint64  { return s.epoch }
func (s *scriptedLeadership) HasLease() bool { return s.hasLease }
func (s *scriptedLeadership) WallMs() int64  { return s.clock.WallMs() }

func (s *scriptedLeadership) Commit(ops []wire.Op, done func(error)) {
	s.waiting = append(s.waiting, func(err error) {
		if err == nil {
			for _, op := range ops {
				s.kept[op.Name] = op.Value
				if len(op.Value) == 0 {
					delete(s.kept, op.Name)
				}
			}
		}
		done(err)
	})
}

func (s *scriptedLeadership) settle(err error) {
	waiting := s.waiting
	s.waiting = nil
	for _, done := range waiting {
		done(err)
	}
}

func (s *scriptedLeadership) pairs() []wire.Op {
	var all []wire.Op
	for name, value := range s.kept {
		all = append(all, wire.Op{Name: name, Value: value})
	}
	return all
}

func (s *scriptedLeadership) has(prefix string) bool {
	for name := range s.kept {
		if strings.HasPrefix(name, prefix) {
			return true
		}
	}
	return false
}

// durationRecorder keeps how long the runs were that ended.
type durationRecorder struct{ lengths []int64 }

func (d *durationRecorder) Record(event recording.Event) {
	if event.Kind == recording.KindEnd {
		d.lengths = append(d.lengths, event.LengthMs)
	}
}

const (
	id        = "5c0e7a21d94b36f8"
	taskState = id + ".0.0.0"
)

var timing = scheduler.Timing{Grant: 4 * time.Second, MaxHold: 6 * time.Second, Resend: 200 * time.Millisecond, MaxResend: time.Second,
	HoldStale: 2500 * time.Millisecond, SilentAfter: 1500 * time.Millisecond, StopTimeout: 400 * time.Millisecond,
	StuckAfter: 2 * time.Second, KeepEnded: 150 * time.Second}

var _ = Describe("orders as persistent messages", func() {
	var fakeClock *clock.Fake
	var leadership *scriptedLeadership
	var pool *scheduler.Pool
	var accepted []int
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
	handIn := func() {
		pool.Submit(&wire.ClientCall{Verb: "hand-in", Route: "e", ID: id, Terms: &wire.RouteTerms{MaxAttempts: 2},
			Body: []byte(`{"task-descriptor":"d","step-list":[{"task-count":1,"cpu-units":1000}]}`)},
			func(answer wire.ClientAnswer) { accepted = append(accepted, answer.Status) })
		pool.Flush()
	}
	started := func(call *wire.ExchangeCall) {
		call.Answers = []wire.OrderAnswer{{Task: taskState, Run: 1, Kind: "launch", Result: "ok"}}
	}
	ended := func(how string) func(*wire.ExchangeCall) {
		return func(call *wire.ExchangeCall) {
			call.Ends = []wire.EndReport{{Number: 1, Task: taskState, Run: 1, Outcome: wire.RunOutcome(how)}}
		}
	}
	BeforeEach(func() {
		fakeClock, accepted = clock.NewFake(1_000_000), nil
		leadership = &scriptedLeadership{clock: fakeClock, hasLease: true, kept: map[string][]byte{}}
		open(3, nil)
		exchange(nil)
	})

	It("answers a client, and lets an order leave, only after the commit", func() {
		handIn()
		Expect(accepted).To(BeEmpty())
		Expect(exchange(nil).Orders).To(BeEmpty())
		leadership.settle(nil)
		Expect(accepted).To(Equal([]int{200}))
		Expect(exchange(nil).Orders).To(HaveLen(1))
		Expect(leadership.has("o/" + taskState + "/1/launch")).To(BeTrue())
	})

	It("counts hand-ins, placements, orders, starts, ends, stops and commits, and shows what is open", func() {
		before := metrics.Own()
		handIn()
		leadership.settle(nil)
		exchange(nil)
		fakeClock.Advance(250 * time.Millisecond)
		pool.Tick()
		pool.Flush()
		exchange(nil)
		exchange(started)
		fakeClock.Advance(time.Second)
		pool.Tick()
		running := metrics.Own()
		Expect(running).To(HaveKeyWithValue(`gannetline_pool_runs{key="pool/s"}`, 1.0))
		Expect(running).To(HaveKeyWithValue(`gannetline_pool_open_steps{key="pool/s"}`, 1.0))
		Expect(running).To(HaveKeyWithValue(`gannetline_pool_executors{key="pool/s",state="ready"}`, 1.0))
		exchange(ended("failed"))
		leadership.settle(nil)
		exchange(nil)
		exchange(func(call *wire.ExchangeCall) {
			call.Answers = []wire.OrderAnswer{{Task: taskState, Run: 2, Kind: "launch", Result: "ok"}}
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

	It("counts a spare run apart", func() {
		spares := `gannetline_pool_spares_total{key="pool/s"}`
		before := metrics.Own()[spares]
		pool.Submit(&wire.ClientCall{Verb: "hand-in", Route: "e", ID: id,
			Body: []byte(`{"task-descriptor":"d","step-list":[{"task-count":1,"cpu-units":1000,"redundant":true}]}`)}, func(wire.ClientAnswer) {})
		pool.Flush()
		leadership.settle(nil)
		exchange(nil)
		exchange(started)
		Expect(metrics.Own()[spares]).To(Equal(before))
		fakeClock.Advance(800 * time.Millisecond)
		exchange(func(call *wire.ExchangeCall) { call.Executor, call.Proxy = "i-2", "side-2" })
		pool.Tick()
		pool.Flush()
		Expect(metrics.Own()[spares] - before).To(Equal(1.0))
	})

	It("sends nothing, and promises nothing, when the commit is lost", func() {
		handIn()
		leadership.settle(errors.New("lost"))
		Expect(accepted).To(Equal([]int{0}))
		Expect(exchange(nil).Orders).To(BeEmpty())
	})

	It("says that a job may have been taken when its leadership ends before the commit", func() {
		var reported []wire.ClientAnswer
		pool.Submit(&wire.ClientCall{Route: "e", ID: id, Body: []byte(`{"task-descriptor":"x","step-list":[{"task-count":1}]}`)},
			func(answer wire.ClientAnswer) { reported = append(reported, answer) })
		pool.Flush()
		pool.Close()
		Expect(reported).To(Equal([]wire.ClientAnswer{{NotLeader: true, OutcomeUnknown: true}}))
	})

	It("sends an unanswered order again after 200 ms, then less often", func() {
		handIn()
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

	It("takes the answer in a second transaction, which ends PENDING", func() {
		handIn()
		leadership.settle(nil)
		exchange(nil)
		exchange(started)
		Expect(leadership.has("o/")).To(BeTrue())
		leadership.settle(nil)
		Expect(leadership.has("o/")).To(BeFalse())
	})

	It("acks an end with its commit, not before and not later", func() {
		handIn()
		leadership.settle(nil)
		exchange(nil)
		exchange(started)
		leadership.settle(nil)
		var reported *wire.ExchangeAnswer
		call := &wire.ExchangeCall{Key: "pool/s", Executor: "i-1", Fence: 3}
		ended("done")(call)
		pool.Exchange(call, func(answer wire.ExchangeAnswer) { reported = &answer })
		pool.Flush()
		Expect(reported).To(BeNil())
		leadership.settle(nil)
		Expect(reported.LastSeen).To(Equal(int64(1)))
	})

	It("sends a PENDING order again after a take-over, once the fence stands", func() {
		handIn()
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

	It("adopts after a take-over what the executor shows", func() {
		handIn()
		leadership.settle(nil)
		exchange(nil)
		open(4, leadership.pairs())
		exchange(func(call *wire.ExchangeCall) { call.Running = []wire.RunReport{{Task: taskState, Run: 1}} })
		leadership.settle(nil)
		Expect(exchange(nil).Orders).To(BeEmpty())
		Expect(leadership.has("o/")).To(BeFalse())
		exchange(ended("done"))
		leadership.settle(nil)
		var state string
		pool.State(&wire.ClientCall{ID: id}, func(answer wire.ClientAnswer) { state = string(answer.Body) })
		pool.Flush()
		Expect(state).To(ContainSubstring("completed"))
	})

	It("places nothing elsewhere before the longest hold that may stand has passed, and does so then", func() {
		handIn()
		leadership.settle(nil)
		exchange(nil)
		exchange(started)
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

	It("ends at once, after a take-over, a life whose machine shows another one under the new fence", func() {
		handIn()
		leadership.settle(nil)
		exchange(nil)
		exchange(started)
		leadership.settle(nil)
		open(4, leadership.pairs())
		next := func(call *wire.ExchangeCall) { call.Executor = "i-2" }
		unfenced := func(call *wire.ExchangeCall) { call.Executor, call.Fence, call.ListNumber = "i-2", 3, 0 }
		exchange(unfenced)
		pool.Tick()
		pool.Flush()
		leadership.settle(nil)
		Expect(exchange(unfenced).Orders).To(BeEmpty())
		exchange(next)
		pool.Tick()
		pool.Flush()
		leadership.settle(nil)
		Expect(exchange(next).Orders).To(ConsistOf(HaveField("Run", int64(2))))
		Expect(leadership.has("e/i-1")).To(BeFalse())
	})

	It("ends a known life only once it was silent for longer than an exchange takes", func() {
		handIn()
		leadership.settle(nil)
		exchange(nil)
		exchange(started)
		leadership.settle(nil)
		next := func(call *wire.ExchangeCall) { call.Executor = "i-2" }
		for waited := time.Duration(0); waited < 2500*time.Millisecond; waited += 50 * time.Millisecond {
			fakeClock.Advance(50 * time.Millisecond)
			exchange(next)
			pool.Tick()
			pool.Flush()
			leadership.settle(nil)
			Expect(leadership.has("e/i-1")).To(BeTrue(), waited.String())
		}
		fakeClock.Advance(50 * time.Millisecond)
		exchange(next)
		pool.Tick()
		pool.Flush()
		leadership.settle(nil)
		Expect(leadership.has("e/i-1")).To(BeFalse())
		Expect(exchange(next).Orders).To(HaveLen(1))
	})

	It("does not end a life by word of another one that it has outlived", func() {
		handIn()
		leadership.settle(nil)
		exchange(nil)
		exchange(func(call *wire.ExchangeCall) { call.Executor = "i-0" })
		exchange(started)
		leadership.settle(nil)
		fakeClock.Advance(100 * time.Millisecond)
		exchange(nil)
		fakeClock.Advance(3 * time.Second)
		pool.Tick()
		pool.Flush()
		leadership.settle(nil)
		Expect(leadership.has("e/i-1")).To(BeTrue())
	})

	It("counts a run's length from when it was started, however late that was told", func() {
		day := &durationRecorder{}
		pool = scheduler.New("pool/s", fakeClock, timing, logging.Silent(), scheduler.WithRecorder(day))
		pool.Open(leadership, nil)
		exchange(nil)
		handIn()
		leadership.settle(nil)
		exchange(nil)
		fakeClock.Advance(90 * time.Millisecond)
		exchange(func(call *wire.ExchangeCall) {
			started(call)
			call.Answers[0].AgeMs = 80
			ended("done")(call)
		})
		Expect(day.lengths).To(Equal([]int64{80}))
	})

	It("gives an executor time to be heard after a take-over before its runs get spares", func() {
		pool.Submit(&wire.ClientCall{Route: "e", ID: id, Body: []byte(`{"step-list":[{"task-count":1,"cpu-units":10,"redundant":true,"estimated-ms":60000}]}`)},
			func(wire.ClientAnswer) {})
		pool.Flush()
		leadership.settle(nil)
		exchange(nil)
		exchange(started)
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

	It("starts no task again whose run was given up and came to its end all the same", func() {
		handIn()
		leadership.settle(nil)
		exchange(nil)
		exchange(started)
		leadership.settle(nil)
		exchange(func(call *wire.ExchangeCall) {
			call.Gone, call.Executor, call.Proxy = []string{"i-1"}, "i-2", "side-2"
		})
		leadership.settle(nil)
		exchange(ended("done"))
		leadership.settle(nil)
		var state string
		pool.State(&wire.ClientCall{ID: id}, func(answer wire.ClientAnswer) { state = string(answer.Body) })
		pool.Flush()
		Expect(state).To(ContainSubstring("completed"))
		Expect(exchange(func(call *wire.ExchangeCall) { call.Executor, call.Proxy = "i-2", "side-2" }).Orders).To(BeEmpty())
	})

	It("grants nothing without a lease", func() {
		leadership.hasLease = false
		Expect(exchange(nil).GrantMs).To(BeZero())
		leadership.hasLease = true
		Expect(exchange(nil).GrantMs).To(Equal(int64(4000)))
	})

	It("says 410 only under a lease", func() {
		ask := func() (reported wire.ClientAnswer) {
			pool.State(&wire.ClientCall{ID: id}, func(answer wire.ClientAnswer) { reported = answer })
			pool.Flush()
			return reported
		}
		Expect(ask().Status).To(Equal(410))
		leadership.hasLease = false
		Expect(ask().NotLeader).To(BeTrue())
	})

	It("stops a run that no record knows", func() {
		answer := exchange(func(call *wire.ExchangeCall) {
			call.Running = []wire.RunReport{{Task: "x.0.0.0", Run: 9}}
		})
		Expect(answer.Orders).To(ConsistOf(wire.Order{Kind: "stop", Task: "x.0.0.0", Run: 9}))
	})

	It("refuses a job of a queue whose ID is another queue's", func() {
		handIn()
		leadership.settle(nil)
		var status int
		pool.Submit(&wire.ClientCall{Route: "other", ID: id, Body: []byte(`{}`)}, func(answer wire.ClientAnswer) { status = answer.Status })
		Expect(status).To(Equal(409))
	})
})
