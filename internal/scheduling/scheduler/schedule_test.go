package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/logging"
	"gannetline/internal/platform/queuerules"
	"gannetline/internal/scheduling/scheduler"
)

// player stands for an executor and its proxy, which do what luck says.
type player struct {
	life      string
	number    int
	isSilent  bool
	isStale   bool
	isLeaving bool
	running   []wire.Order
	answers   []wire.OrderAnswer
	ends      []wire.EndReport
	lastEnd   int64
	fence     uint64
	look      uint64
}

// schedule is a random history of one pool.
type schedule struct {
	draw    *rand.Rand
	clock   *clock.Fake
	tenure  *scripted
	pool    *scheduler.Pool
	players []*player
	lives   int
	jobs    []string
	starts  int
}

func newSchedule(seed uint64) *schedule {
	clock := clock.NewFake(1_000_000)
	s := &schedule{draw: rand.New(rand.NewPCG(seed, 1)), clock: clock, tenure: &scripted{clock: clock, hasLease: true, kept: map[string][]byte{}}}
	for range 4 + s.draw.IntN(4) {
		s.players = append(s.players, s.newPlayer())
	}
	s.open()
	return s
}

func (s *schedule) newPlayer() *player {
	s.lives++
	return &player{life: fmt.Sprintf("i-%03d", (s.lives*37)%1000), number: s.lives}
}

func (s *schedule) open() {
	s.tenure.waiting = nil
	s.tenure.epoch++
	timing := timing
	timing.ReservedCapacity, timing.KeepEnded, timing.RemoteFactor = scheduler.DefaultReservedCapacity, 3*time.Second, 2
	rules, err := queuerules.Compile(map[string]queuerules.Text{"ruled": {Use: `"r1" in labels || cpu > 4000`, Order: "due - 40 * tasks"}})
	Expect(err).NotTo(HaveOccurred())
	s.pool = scheduler.New("pool/s", s.clock, timing, logging.Silent(), scheduler.WithRules(rules))
	s.pool.Open(s.tenure, s.tenure.pairs())
}

func (s *schedule) step() {
	switch luck := s.draw.IntN(1000); {
	case luck < 120:
		s.handIn()
	case luck < 130 && len(s.jobs) > 0:
		s.pool.Cancel(&wire.ClientCall{ID: s.jobs[s.draw.IntN(len(s.jobs))]}, func(wire.ClientAnswer) {})
	case luck < 320:
		s.clock.Advance(50 * time.Millisecond)
		s.pool.Tick()
	case luck < 350:
		s.clock.Advance(time.Duration(s.draw.IntN(300)) * time.Millisecond)
	case luck < 355:
		s.replace(s.draw.IntN(len(s.players)))
	case luck < 357:
		s.pool.Close()
		s.open()
	default:
		s.beat(s.players[s.draw.IntN(len(s.players))])
	}
}

func (s *schedule) settle() {
	s.pool.Flush()
	if s.draw.IntN(4) > 0 {
		s.tenure.settle(nil)
	}
}

func (s *schedule) handIn() {
	flag := func(name string, odds int) string {
		if s.draw.IntN(odds) > 0 {
			return ""
		}
		return `,"` + name + `":true`
	}
	var steps string
	for number := range 1 + s.draw.IntN(3) {
		if number > 0 {
			steps += fmt.Sprintf(`,{"depends-on":[%d],`, number-1)
		} else {
			steps = "{"
		}
		steps += fmt.Sprintf(`"task-count":%d,"cpu-units":%d,"memory-req-mb":%d,"estimated-ms":%d,"anti-affinity":%d%s%s%s%s%s}`, 1+s.draw.IntN(6),
			s.draw.IntN(1800), s.draw.IntN(900), s.draw.IntN(2000), max(0, s.draw.IntN(8)-5), flag("gang-scheduled", 5), flag("same-rack", 2),
			flag("redundant", 2), flag("long-running", 9), []string{"", `,"affinity-labels":"r1"`, `,"affinity-labels":"r9"`}[s.draw.IntN(3)])
	}
	repeat := ""
	if s.draw.IntN(5) == 0 {
		repeat = fmt.Sprintf(`,"repeat-count":3,"period-ms":400,"first-run-ms":%d`, s.clock.WallMs()+int64(s.draw.IntN(400)))
	}
	id := fmt.Sprintf("%016x", s.draw.Uint64())
	s.jobs = append(s.jobs, id)
	s.pool.Submit(&wire.ClientCall{Route: []string{"plain", "ruled"}[s.draw.IntN(2)], ID: id, Terms: &wire.RouteTerms{Priority: s.draw.IntN(3), MaxAttempts: 3, TargetMs: int64(s.draw.IntN(3)) * 100},
		Body: []byte(`{"task-descriptor":"d","step-list":[` + steps + `]` + repeat + `}`)}, func(wire.ClientAnswer) {})
}

// replace lets an executor end and another come, told of by the next one's beats or never.
func (s *schedule) replace(index int) {
	gone := s.players[index].life
	s.players[index] = s.newPlayer()
	if s.draw.IntN(2) == 0 {
		s.pool.Exchange(&wire.ExchangeCall{Executor: s.players[index].life, Gone: []string{gone}}, func(wire.ExchangeAnswer) {})
	}
}

func (s *schedule) beat(one *player) {
	switch s.draw.IntN(60) {
	case 0:
		one.isSilent = !one.isSilent
	case 1:
		one.isStale = !one.isStale
	case 2:
		one.isLeaving = true
	case 3:
		one.number++
	}
	if one.isSilent && s.draw.IntN(10) > 0 {
		return
	}
	s.work(one)
	call := &wire.ExchangeCall{Executor: one.life, Proxy: one.life, Labels: []string{"a", fmt.Sprintf("r%d", one.number%3)}, Draining: one.isLeaving,
		Capacity: wire.Capacity{CPU: 4000 + 2000*int64(one.number%2), Memory: 4000}, Fence: one.fence, ListNumber: one.look, Ends: slices.Clone(one.ends), Answers: one.answers}
	if one.isStale {
		call.HoldAgeMs = 4000
	}
	if one.look > 0 || s.draw.IntN(5) == 0 {
		for _, order := range one.running {
			call.Running = append(call.Running, wire.RunReport{Task: order.Task, Run: order.Run})
		}
	}
	if s.draw.IntN(3) == 0 {
		call.WaitMs = 100
	}
	one.answers, one.look = nil, 0
	s.pool.Exchange(call, func(answer wire.ExchangeAnswer) { s.take(one, answer) })
}

// work ends some of what runs.
func (s *schedule) work(one *player) {
	one.running = slices.DeleteFunc(one.running, func(order wire.Order) bool {
		if s.draw.IntN(6) > 0 {
			return false
		}
		how := []string{"done", "done", "done", "failed", "stopped"}[s.draw.IntN(5)]
		one.lastEnd++
		one.ends = append(one.ends, wire.EndReport{Number: one.lastEnd, Task: order.Task, Run: order.Run, Outcome: wire.RunOutcome(how)})
		return true
	})
}

func (s *schedule) take(one *player, answer wire.ExchangeAnswer) {
	if answer.NotLeader || answer.Fence < one.fence {
		return
	}
	if answer.Fence > one.fence {
		one.fence, one.look = answer.Fence, 0
	}
	one.look = answer.WantedList
	one.ends = slices.DeleteFunc(one.ends, func(end wire.EndReport) bool { return end.Number <= answer.LastSeen })
	for _, order := range answer.Orders {
		s.obey(one, order)
	}
}

func (s *schedule) obey(one *player, order wire.Order) {
	same := func(other wire.Order) bool { return other.Task == order.Task && other.Run == order.Run }
	result := []string{"ok", "ok", "ok", "ok", "ok", "ok", "room", "sick", "unsure", "not-run", "timeout", ""}[s.draw.IntN(12)]
	switch {
	case order.Kind == "stop":
		result = "ok"
		one.running = slices.DeleteFunc(one.running, same)
		one.lastEnd++
		one.ends = append(one.ends, wire.EndReport{Number: one.lastEnd, Task: order.Task, Run: order.Run, Outcome: "stopped"})
	case (result == "ok" || result == "unsure") && !slices.ContainsFunc(one.running, same):
		one.running = append(one.running, order)
		s.starts++
	}
	if result != "" {
		one.answers = append(one.answers, wire.OrderAnswer{Task: order.Task, Run: order.Run, Kind: order.Kind, Result: wire.OrderResult(result)})
	}
}

func (s *schedule) orders() []string {
	names := []string{}
	for name := range s.tenure.kept {
		if strings.HasPrefix(name, "o/") {
			names = append(names, name)
		}
	}
	return names
}

var _ = Describe("what a pool keeps", func() {
	It("is what comes out when it is worked out from nothing, after every turn of random histories", func() {
		starts := 0
		for seed := range uint64(6) {
			s := newSchedule(seed)
			for turn := range 500 {
				s.step()
				Expect(s.pool.Differences()).To(BeEmpty(), "seed %d, turn %d, before placing", seed, turn)
				s.settle()
				Expect(s.pool.Differences()).To(BeEmpty(), "seed %d, turn %d", seed, turn)
				if len(s.tenure.waiting) == 0 {
					Expect(s.pool.Orders()).To(ContainElements(s.orders()), "seed %d, turn %d", seed, turn)
				}
			}
			starts += s.starts
		}
		Expect(starts).To(BeNumerically(">", 300))
	})
})
