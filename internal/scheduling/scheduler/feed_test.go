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

const tasksHere = 6

type letter struct {
	call  wire.ExchangeCall
	table *localproxy.Table
}

type returned struct {
	letter
	answer wire.ExchangeAnswer
}

// postOffice carries exchanges between a real proxy's table and a real pool, and may lose, double and reorder them.
type postOffice struct {
	draw       *rand.Rand
	clock      *clock.Fake
	leadership *scriptedLeadership
	pool       *scheduler.Pool
	table      *localproxy.Table
	session    uint64
	sequence   int64
	beat       executorapi.Heartbeat
	saved      map[string]string
	calls      []letter
	answers    []returned
	truth      map[[2]uint64]picture
	lastTruth  [3]uint64
}

func newPostOffice(seed uint64) *postOffice {
	clock := clock.NewFake(1_000_000)
	o := &postOffice{draw: rand.New(rand.NewPCG(seed, 7)), clock: clock, saved: map[string]string{}, truth: map[[2]uint64]picture{},
		leadership: &scriptedLeadership{clock: clock, hasLease: true, kept: map[string][]byte{}},
		beat:       executorapi.Heartbeat{Service: "s", State: "ready", Capacity: wire.Capacity{CPU: 9000, Memory: 9000}, Labels: []string{"a", "r1"}}}
	o.newProxy(1)
	o.newOwner()
	o.pool.Submit(&wire.ClientCall{Route: "e", ID: id, Terms: &wire.RouteTerms{MaxAttempts: 2}, Body: fmt.Appendf(nil,
		`{"task-descriptor":"d","step-list":[{"task-count":%d,"cpu-units":1000,"checkpointing":true}]}`, tasksHere)}, func(wire.ClientAnswer) {})
	o.settle()
	for range 4 {
		o.exchangeAll()
	}
	for index := range tasksHere {
		o.saved[fmt.Sprintf("%s.0.0.%d", id, index)] = ""
	}
	return o
}

func (o *postOffice) settle() {
	o.pool.Flush()
	for len(o.leadership.waiting) > 0 {
		o.leadership.settle(nil)
		o.pool.Flush()
	}
}

func (o *postOffice) newOwner() {
	o.leadership.epoch++
	o.pool = scheduler.New("pool/s", o.clock, timing, logging.Silent())
	o.pool.Open(o.leadership, o.leadership.pairs())
	o.settle()
}

func (o *postOffice) newProxy(session uint64) {
	nothing := func() {}
	o.session = session
	o.table = localproxy.NewTable(o.clock, logging.Silent(), "s", "d", "side-1", nothing, nothing, nothing, localproxy.WithSession(session))
	o.say()
}

func (o *postOffice) say() {
	o.sequence++
	o.beat.Sequence, o.beat.ClockMs = o.sequence, o.clock.Monotonic().Milliseconds()+1
	beat := o.beat
	o.table.Heartbeat("i-1", &beat)
}

func (o *postOffice) hold(isLook bool) {
	work, isDue := o.table.NextHold(isLook)
	if !isDue {
		return
	}
	answer := executorapi.Answer{ClockMs: o.clock.Monotonic().Milliseconds() + 1}
	for _, task := range slices.Sorted(maps.Keys(o.saved)) {
		answer.Running = append(answer.Running, executorapi.RunningRow{Task: task, Run: 1, Checkpoint: o.saved[task]})
	}
	o.table.HandleHold(work, answer)
}

type picture struct {
	facts string
	saved map[string]string
}

func pictureOf(call wire.ExchangeCall, checkpoint map[string]string) picture {
	return picture{fmt.Sprint(call.Proxy, call.Domain, call.Labels, call.Capacity, call.Draining), maps.Clone(checkpoint)}
}

func (o *postOffice) compose() {
	call, exists := o.table.Compose(0)
	Expect(exists).To(BeTrue())
	o.calls = append(o.calls, letter{*call, o.table})
}

func (o *postOffice) deliver(one letter) {
	text, err := easyjson.Marshal(one.call)
	Expect(err).NotTo(HaveOccurred())
	var call wire.ExchangeCall
	Expect(easyjson.Unmarshal(text, &call)).To(Succeed())
	o.pool.Exchange(&call, func(answer wire.ExchangeAnswer) { o.answers = append(o.answers, returned{one, answer}) })
	o.settle()
}

func (o *postOffice) takeBack(one returned) {
	if one.table != o.table {
		return
	}
	for _, order := range o.table.HandleAnswer(&one.call, o.clock.Monotonic(), &one.answer) {
		if work, isDue := o.table.Ready("i-1", order); isDue {
			o.table.HandleOrderResult(work, "ok")
		}
	}
}

func (o *postOffice) exchangeAll() {
	o.hold(true)
	o.hold(false)
	o.compose()
	o.deliver(o.calls[len(o.calls)-1])
	o.takeBack(o.answers[len(o.answers)-1])
}

func (o *postOffice) believed() (uint64, uint64, picture) {
	reported, checkpoint := o.pool.ReportedState("i-1")
	return reported.Session, reported.Number, pictureOf(reported, checkpoint)
}

func (o *postOffice) change() {
	o.clock.Advance(time.Duration(o.draw.IntN(40)) * time.Millisecond)
	switch o.draw.IntN(5) {
	case 0:
		o.beat.Labels = []string{"a", "r" + strconv.Itoa(o.draw.IntN(3))}
	case 1:
		o.beat.Capacity.Memory = int64(9000 + o.draw.IntN(3))
	default:
		o.saved[fmt.Sprintf("%s.0.0.%d", id, o.draw.IntN(tasksHere))] = strconv.Itoa(o.draw.IntN(1 << 30))
	}
	o.say()
	o.hold(o.draw.IntN(3) == 0)
}

// noteTruth keeps what is so at each number; a number must never stand for two things.
func (o *postOffice) noteTruth() {
	call := o.calls[len(o.calls)-1].call
	place := [2]uint64{call.Session, call.Number}
	now := pictureOf(wire.ExchangeCall{Proxy: "side-1", Domain: "d", Labels: o.beat.Labels, Capacity: o.beat.Capacity}, o.saved)
	if former, exists := o.truth[place]; exists {
		Expect(now).To(Equal(former), "number %v stands for two things", place)
	}
	o.truth[place] = now
}

func (o *postOffice) expectTruth() {
	session, number, seen := o.believed()
	if session == 0 {
		return
	}
	truth := o.truth[[2]uint64{session, number}]
	Expect(seen.facts).To(Equal(truth.facts), "session %d number %d", session, number)
	for task, checkpoint := range truth.saved {
		if isTold := checkpoint != ""; isTold {
			Expect(seen.saved[task]).To(Equal(checkpoint), "%s at session %d number %d", task, session, number)
		}
	}
	now := [3]uint64{o.leadership.epoch, session, number}
	Expect(slices.Compare(now[:], o.lastTruth[:])).To(BeNumerically(">=", 0), "from %v back to %v", o.lastTruth, now)
	o.lastTruth = now
}

var _ = Describe("what a proxy tells of its executor, as changes", func() {
	for seed := range uint64(40) {
		It(fmt.Sprintf("is believed as it was at its number, whatever is lost, doubled or overtaken, seed %d", seed), func() {
			o := newPostOffice(seed)
			o.exchangeAll()
			o.calls, o.answers, o.truth = nil, nil, map[[2]uint64]picture{}
			o.change()
			o.hold(false)
			o.compose()
			o.noteTruth()
			o.deliver(o.calls[0])
			for range 600 {
				switch o.draw.IntN(12) {
				case 0, 1, 2, 3:
					o.change()
					o.hold(false)
					o.compose()
					o.noteTruth()
				case 4, 5, 6:
					o.deliver(o.calls[len(o.calls)-1-o.draw.IntN(min(len(o.calls), 12))])
				case 7:
					o.deliver(o.calls[len(o.calls)-1])
				case 8, 9, 10:
					if len(o.answers) > 0 {
						o.takeBack(o.answers[len(o.answers)-1-o.draw.IntN(min(len(o.answers), 8))])
					}
				case 11:
					o.misfortune()
				}
				o.expectTruth()
			}
			o.hold(false)
			for range 3 {
				o.compose()
				o.noteTruth()
				o.deliver(o.calls[len(o.calls)-1])
				o.takeBack(o.answers[len(o.answers)-1])
			}
			_, number, _ := o.believed()
			Expect(number).To(Equal(o.calls[len(o.calls)-1].call.Number))
			o.expectTruth()
		})
	}
})

func (o *postOffice) misfortune() {
	switch o.draw.IntN(6) {
	case 0:
		o.newOwner()
	case 1:
		o.newProxy(o.session + 1)
		o.hold(false)
	}
}

var _ = Describe("a leader that lacks the base of what a proxy tells", func() {
	var o *postOffice
	answered := func() wire.ExchangeAnswer {
		o.compose()
		o.deliver(o.calls[len(o.calls)-1])
		last := o.answers[len(o.answers)-1]
		o.takeBack(last)
		return last.answer
	}
	BeforeEach(func() { o = newPostOffice(1) })

	It("takes nothing, wants a look as ever, and has the whole with the next exchange", func() {
		Expect(answered().NeedsFullState).To(BeFalse())
		o.newOwner()
		refused := answered()
		Expect(refused.NeedsFullState).To(BeTrue())
		Expect(refused.Fence).To(Equal(o.leadership.epoch))
		Expect(refused.WantedList).NotTo(BeZero())
		Expect(refused.GrantMs).NotTo(BeZero())
		reported, _ := o.pool.ReportedState("i-1")
		Expect(reported.Proxy).To(BeEmpty())
		Expect(answered().NeedsFullState).To(BeFalse())
		reported, _ = o.pool.ReportedState("i-1")
		Expect(reported.Labels).To(Equal([]string{"a", "r1"}))
	})

	It("takes a proxy whose clock was set back, with its second exchange", func() {
		answered()
		o.newProxy(0)
		o.newProxy(1)
		answered()
		o.newProxy(9)
		answered()
		o.newProxy(4)
		Expect(answered().NeedsFullState).To(BeTrue())
		Expect(answered().NeedsFullState).To(BeFalse())
		reported, _ := o.pool.ReportedState("i-1")
		Expect(reported.Session).To(Equal(uint64(10)))
	})

	It("takes a proxy of an earlier version as whole each time", func() {
		answered()
		o.newProxy(0)
		o.beat.Labels = []string{"b"}
		o.say()
		Expect(answered().NeedsFullState).To(BeFalse())
		reported, _ := o.pool.ReportedState("i-1")
		Expect(reported.Labels).To(Equal([]string{"b"}))
	})
})
