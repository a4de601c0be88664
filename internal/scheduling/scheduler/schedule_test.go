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
	draw       *rand.Rand
	clock      *clock.Fake
	leadership *scriptedLeadership
	pool       *scheduler.Pool
	players    []*player
	lives      int
	jobs       []string
	starts     int
}

func newSchedule(seed uint64) *schedule {
	clock := clock.NewFake(1_000_000)
	s := &schedule{draw: rand.New(rand.NewPCG(seed, 1)), clock: clock, leadership: &scriptedLeadership{clock: clock, hasLease: true, kept: map[string][]byte{}}}
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
	s.leadership.waiting = nil
	s.leadership.epoch++
	timing := timing
	timing.ReservedCapacity, timing.KeepEnded, timing.RemoteFactor = scheduler.DefaultReservedCapacity, 3*time.Second, 2
	rules, err := queuerules.Compile(map[string]queuerules.Text{"ruled": {Use: `"r1" in labels || cpu > 4000`, Order: "due - 40 * tasks"}})
	Expect(err).NotTo(HaveOccurred())
	s.pool = scheduler.New("pool/s", s.clock, timing, logging.Silent(), scheduler.WithRules(rules))
	s.pool.Open(s.leadership, s.leadership.pairs())
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
		s.leadership.settle(nil)
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

func (s *schedule) beat(executor *player) {
	switch s.draw.IntN(60) {
	case 0:
		executor.isSilent = !executor.isSilent
	case 1:
		executor.isStale = !executor.isStale
	case 2:
		executor.isLeaving = true
	case 3:
		executor.number++
	}
	if executor.isSilent && s.draw.IntN(10) > 0 {
		return
	}
	s.work(executor)
	call := &wire.ExchangeCall{Executor: executor.life, Proxy: executor.life, Labels: []string{"a", fmt.Sprintf("r%d", executor.number%3)}, Draining: executor.isLeaving,
		Capacity: wire.Capacity{CPU: 4000 + 2000*int64(executor.number%2), Memory: 4000}, Fence: executor.fence, ListNumber: executor.look, Ends: slices.Clone(executor.ends), Answers: executor.answers}
	if executor.isStale {
		call.HoldAgeMs = 4000
	}
	if executor.look > 0 || s.draw.IntN(5) == 0 {
		for _, order := range executor.running {
			call.Running = append(call.Running, wire.RunReport{Task: order.Task, Run: order.Run})
		}
	}
	if s.draw.IntN(3) == 0 {
		call.WaitMs = 100
	}
	executor.answers, executor.look = nil, 0
	s.pool.Exchange(call, func(answer wire.ExchangeAnswer) { s.take(executor, answer) })
}

// work ends some of what runs.
func (s *schedule) work(executor *player) {
	executor.running = slices.DeleteFunc(executor.running, func(order wire.Order) bool {
		if s.draw.IntN(6) > 0 {
			return false
		}
		how := []string{"done", "done", "done", "failed", "stopped"}[s.draw.IntN(5)]
		executor.lastEnd++
		executor.ends = append(executor.ends, wire.EndReport{Number: executor.lastEnd, Task: order.Task, Run: order.Run, Outcome: wire.RunOutcome(how)})
		return true
	})
}

func (s *schedule) take(executor *player, answer wire.ExchangeAnswer) {
	if answer.NotLeader || answer.Fence < executor.fence {
		return
	}
	if answer.Fence > executor.fence {
		executor.fence, executor.look = answer.Fence, 0
	}
	executor.look = answer.WantedList
	executor.ends = slices.DeleteFunc(executor.ends, func(end wire.EndReport) bool { return end.Number <= answer.LastSeen })
	for _, order := range answer.Orders {
		s.carryOut(executor, order)
	}
}

func (s *schedule) carryOut(executor *player, order wire.Order) {
	same := func(other wire.Order) bool { return other.Task == order.Task && other.Run == order.Run }
	result := []string{"ok", "ok", "ok", "ok", "ok", "ok", "room", "sick", "unsure", "not-run", "timeout", ""}[s.draw.IntN(12)]
	switch {
	case order.Kind == "stop":
		result = "ok"
		executor.running = slices.DeleteFunc(executor.running, same)
		executor.lastEnd++
		executor.ends = append(executor.ends, wire.EndReport{Number: executor.lastEnd, Task: order.Task, Run: order.Run, Outcome: "stopped"})
	case (result == "ok" || result == "unsure") && !slices.ContainsFunc(executor.running, same):
		executor.running = append(executor.running, order)
		s.starts++
	}
	if result != "" {
		executor.answers = append(executor.answers, wire.OrderAnswer{Task: order.Task, Run: order.Run, Kind: order.Kind, Result: wire.OrderResult(result)})
	}
}

func (s *schedule) orders() []string {
	names := []string{}
	for name := range s.leadership.kept {
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
				if len(s.leadership.waiting) == 0 {
					Expect(s.pool.Orders()).To(ContainElements(s.orders()), "seed %d, turn %d", seed, turn)
				}
			}
			starts += s.starts
		}
		Expect(starts).To(BeNumerically(">", 300))
	})
})
