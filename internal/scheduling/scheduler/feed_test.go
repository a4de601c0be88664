package scheduler_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/mailru/easyjson"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/node/executorapi"
	"gannetline/internal/node/localproxy"
	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/logging"
	"gannetline/internal/scheduling/scheduler"
)

// taskCount is the number of tasks of the only job, which all run on the executor i-1.
const taskCount = 6

// sentCall is an exchange that a proxy's table has composed.
type sentCall struct {
	call  wire.ExchangeCall
	table *localproxy.Table
}

// sentAnswer is the pool's answer to an exchange.
type sentAnswer struct {
	sentCall
	answer wire.ExchangeAnswer
}

// unreliableNetwork carries exchanges between a real proxy's table and a real pool. It may lose, duplicate and reorder them.
type unreliableNetwork struct {
	random     *rand.Rand
	clock      *clock.Fake
	leadership *scriptedLeadership
	pool       *scheduler.Pool
	table      *localproxy.Table
	// session is the session of the table, sequence the number of the executor's last heartbeat.
	session   uint64
	sequence  int64
	heartbeat executorapi.Heartbeat
	// checkpoints holds the current checkpoint of each task, empty before the first.
	checkpoints map[string]string
	// calls and answers hold all that were ever sent; any of them may still be delivered.
	calls   []sentCall
	answers []sentAnswer
	// expected holds the executor's state at each session and number. lastSeen is the epoch, session and number that the pool had last.
	expected map[[2]uint64]reportedState
	lastSeen [3]uint64
}

func newUnreliableNetwork(seed uint64) *unreliableNetwork {
	clock := clock.NewFake(1_000_000)
	n := &unreliableNetwork{random: rand.New(rand.NewPCG(seed, 7)), clock: clock, checkpoints: map[string]string{}, expected: map[[2]uint64]reportedState{},
		leadership: &scriptedLeadership{clock: clock, hasLease: true, records: map[string][]byte{}},
		heartbeat:  executorapi.Heartbeat{Service: "s", State: "ready", Capacity: wire.Capacity{CPU: 9000, Memory: 9000}, Labels: []string{"a", "r1"}}}
	n.newProxy(1)
	n.newLeader()
	n.pool.Submit(&wire.ClientCall{Route: "e", ID: id, Terms: &wire.RouteTerms{MaxAttempts: 2}, Body: fmt.Appendf(nil,
		`{"task-descriptor":"d","step-list":[{"task-count":%d,"cpu-units":1000,"checkpointing":true}]}`, taskCount)}, func(wire.ClientAnswer) {})
	n.settle()
	for range 4 {
		n.exchangeAll()
	}
	for index := range taskCount {
		n.checkpoints[fmt.Sprintf("%s.0.0.%d", id, index)] = ""
	}
	return n
}

func (n *unreliableNetwork) settle() {
	n.pool.Flush()
	for len(n.leadership.inFlight) > 0 {
		n.leadership.settle(nil)
		n.pool.Flush()
	}
}

// newLeader replaces the pool by one of the next leader.
func (n *unreliableNetwork) newLeader() {
	n.leadership.epoch++
	n.pool = scheduler.New("pool/s", n.clock, timing, logging.Silent())
	n.pool.Open(n.leadership, n.leadership.pairs())
	n.settle()
}

// newProxy replaces the proxy's table by an empty one, as after a restart of the proxy.
func (n *unreliableNetwork) newProxy(session uint64) {
	noop := func() {}
	n.session = session
	n.table = localproxy.NewTable(n.clock, logging.Silent(), "s", "d", "side-1", noop, noop, noop, localproxy.WithSession(session))
	n.sendHeartbeat()
}

// sendHeartbeat sends a heartbeat of the executor to its proxy.
func (n *unreliableNetwork) sendHeartbeat() {
	n.sequence++
	n.heartbeat.Sequence, n.heartbeat.ClockMs = n.sequence, n.clock.Monotonic().Milliseconds()+1
	heartbeat := n.heartbeat
	n.table.Heartbeat("i-1", &heartbeat)
}

// hold has the executor answer the proxy's next hold call, if one is due: either the one for a list of runs, or the one that waits.
func (n *unreliableNetwork) hold(isForList bool) {
	work, isDue := n.table.NextHold(isForList)
	if !isDue {
		return
	}
	answer := executorapi.Answer{ClockMs: n.clock.Monotonic().Milliseconds() + 1}
	for _, task := range slices.Sorted(maps.Keys(n.checkpoints)) {
		answer.Running = append(answer.Running, executorapi.RunningRow{Task: task, Run: 1, Checkpoint: n.checkpoints[task]})
	}
	n.table.HandleHold(work, answer)
}

// reportedState is the state of an executor as its proxy reports it: its facts as text, and the checkpoints of its tasks.
type reportedState struct {
	facts       string
	checkpoints map[string]string
}

func newReportedState(call wire.ExchangeCall, checkpoints map[string]string) reportedState {
	return reportedState{fmt.Sprint(call.Proxy, call.Domain, call.Labels, call.Capacity, call.Draining), maps.Clone(checkpoints)}
}

// compose has the proxy compose an exchange, which is not delivered yet.
func (n *unreliableNetwork) compose() {
	call, exists := n.table.Compose(0)
	Expect(exists).To(BeTrue())
	n.calls = append(n.calls, sentCall{*call, n.table})
}

// deliver delivers an exchange to the pool, and keeps the answer.
func (n *unreliableNetwork) deliver(sent sentCall) {
	text, err := easyjson.Marshal(sent.call)
	Expect(err).NotTo(HaveOccurred())
	var call wire.ExchangeCall
	Expect(easyjson.Unmarshal(text, &call)).To(Succeed())
	n.pool.Exchange(&call, func(answer wire.ExchangeAnswer) { n.answers = append(n.answers, sentAnswer{sent, answer}) })
	n.settle()
}

// deliverAnswer delivers an answer to the proxy, unless the proxy was restarted since the call.
func (n *unreliableNetwork) deliverAnswer(sent sentAnswer) {
	if sent.table != n.table {
		return
	}
	for _, order := range n.table.HandleAnswer(&sent.call, n.clock.Monotonic(), &sent.answer) {
		if work, isDue := n.table.Ready("i-1", order); isDue {
			n.table.HandleOrderResult(work, "ok")
		}
	}
}

// exchangeAll brings the pool up to date, without any loss.
func (n *unreliableNetwork) exchangeAll() {
	n.hold(true)
	n.hold(false)
	n.compose()
	n.deliver(n.calls[len(n.calls)-1])
	n.deliverAnswer(n.answers[len(n.answers)-1])
}

// poolState returns the session and the number that the pool has of the executor, and its state there.
func (n *unreliableNetwork) poolState() (uint64, uint64, reportedState) {
	reported, checkpoint := n.pool.ReportedState("i-1")
	return reported.Session, reported.Number, newReportedState(reported, checkpoint)
}

// change changes a label, the capacity or a checkpoint of the executor at random.
func (n *unreliableNetwork) change() {
	n.clock.Advance(time.Duration(n.random.IntN(40)) * time.Millisecond)
	switch n.random.IntN(5) {
	case 0:
		n.heartbeat.Labels = []string{"a", "r" + strconv.Itoa(n.random.IntN(3))}
	case 1:
		n.heartbeat.Capacity.Memory = int64(9000 + n.random.IntN(3))
	default:
		n.checkpoints[fmt.Sprintf("%s.0.0.%d", id, n.random.IntN(taskCount))] = strconv.Itoa(n.random.IntN(1 << 30))
	}
	n.sendHeartbeat()
	n.hold(n.random.IntN(3) == 0)
}

// recordExpected stores the executor's state at the number of the last call. A number must never stand for two states.
func (n *unreliableNetwork) recordExpected() {
	call := n.calls[len(n.calls)-1].call
	version := [2]uint64{call.Session, call.Number}
	now := newReportedState(wire.ExchangeCall{Proxy: "side-1", Domain: "d", Labels: n.heartbeat.Labels, Capacity: n.heartbeat.Capacity}, n.checkpoints)
	if former, exists := n.expected[version]; exists {
		Expect(now).To(Equal(former), "number %v stands for two states", version)
	}
	n.expected[version] = now
}

// expectConsistent expects the pool to have the executor's state at its session and number, and never to return to an earlier number.
func (n *unreliableNetwork) expectConsistent() {
	session, number, actual := n.poolState()
	if session == 0 {
		return
	}
	expected := n.expected[[2]uint64{session, number}]
	Expect(actual.facts).To(Equal(expected.facts), "session %d number %d", session, number)
	for task, checkpoint := range expected.checkpoints {
		if isReported := checkpoint != ""; isReported {
			Expect(actual.checkpoints[task]).To(Equal(checkpoint), "%s at session %d number %d", task, session, number)
		}
	}
	now := [3]uint64{n.leadership.epoch, session, number}
	Expect(slices.Compare(now[:], n.lastSeen[:])).To(BeNumerically(">=", 0), "from %v back to %v", n.lastSeen, now)
	n.lastSeen = now
}

var _ = Describe("incremental reports of a local proxy", func() {
	for seed := range uint64(40) {
		It(fmt.Sprintf("give the pool the executor's state at the number of the report, whatever is lost, duplicated or reordered, seed %d", seed), func() {
			n := newUnreliableNetwork(seed)
			n.exchangeAll()
			n.calls, n.answers, n.expected = nil, nil, map[[2]uint64]reportedState{}
			n.change()
			n.hold(false)
			n.compose()
			n.recordExpected()
			n.deliver(n.calls[0])
			for range 600 {
				switch n.random.IntN(12) {
				case 0, 1, 2, 3:
					n.change()
					n.hold(false)
					n.compose()
					n.recordExpected()
				case 4, 5, 6:
					n.deliver(n.calls[len(n.calls)-1-n.random.IntN(min(len(n.calls), 12))])
				case 7:
					n.deliver(n.calls[len(n.calls)-1])
				case 8, 9, 10:
					if len(n.answers) > 0 {
						n.deliverAnswer(n.answers[len(n.answers)-1-n.random.IntN(min(len(n.answers), 8))])
					}
				case 11:
					n.disrupt()
				}
				n.expectConsistent()
			}
			n.hold(false)
			for range 3 {
				n.compose()
				n.recordExpected()
				n.deliver(n.calls[len(n.calls)-1])
				n.deliverAnswer(n.answers[len(n.answers)-1])
			}
			_, number, _ := n.poolState()
			Expect(number).To(Equal(n.calls[len(n.calls)-1].call.Number))
			n.expectConsistent()
		})
	}
})

// disrupt sometimes changes the leader or restarts the proxy.
func (n *unreliableNetwork) disrupt() {
	switch n.random.IntN(6) {
	case 0:
		n.newLeader()
	case 1:
		n.newProxy(n.session + 1)
		n.hold(false)
	}
}

var _ = Describe("a leader without the base of an incremental report", func() {
	var n *unreliableNetwork
	exchange := func() wire.ExchangeAnswer {
		n.compose()
		n.deliver(n.calls[len(n.calls)-1])
		last := n.answers[len(n.answers)-1]
		n.deliverAnswer(last)
		return last.answer
	}
	BeforeEach(func() { n = newUnreliableNetwork(1) })

	It("rejects the report, requests a list of runs, and gets the full report with the next exchange", func() {
		Expect(exchange().NeedsFullState).To(BeFalse())
		n.newLeader()
		refused := exchange()
		Expect(refused.NeedsFullState).To(BeTrue())
		Expect(refused.Fence).To(Equal(n.leadership.epoch))
		Expect(refused.WantedList).NotTo(BeZero())
		Expect(refused.GrantMs).NotTo(BeZero())
		reported, _ := n.pool.ReportedState("i-1")
		Expect(reported.Proxy).To(BeEmpty())
		Expect(exchange().NeedsFullState).To(BeFalse())
		reported, _ = n.pool.ReportedState("i-1")
		Expect(reported.Labels).To(Equal([]string{"a", "r1"}))
	})

	It("accepts at the second exchange a proxy whose clock was set back", func() {
		exchange()
		n.newProxy(0)
		n.newProxy(1)
		exchange()
		n.newProxy(9)
		exchange()
		n.newProxy(4)
		Expect(exchange().NeedsFullState).To(BeTrue())
		Expect(exchange().NeedsFullState).To(BeFalse())
		reported, _ := n.pool.ReportedState("i-1")
		Expect(reported.Session).To(Equal(uint64(10)))
	})

	It("accepts every report of an earlier proxy version as a full report", func() {
		exchange()
		n.newProxy(0)
		n.heartbeat.Labels = []string{"b"}
		n.sendHeartbeat()
		Expect(exchange().NeedsFullState).To(BeFalse())
		reported, _ := n.pool.ReportedState("i-1")
		Expect(reported.Labels).To(Equal([]string{"b"}))
	})
})
