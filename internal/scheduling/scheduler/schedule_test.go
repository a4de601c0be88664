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

// fakeExecutor is an executor with its local proxy. Random numbers decide what it does.
type fakeExecutor struct {
	id string
	// number determines the labels and the capacity of the executor.
	number       int
	isSilent     bool
	isLeaseStale bool
	isDraining   bool
	running      []wire.Order
	answers      []wire.OrderAnswer
	ends         []wire.EndReport
	lastEnd      int64
	fence        uint64
	// listNumber is the list of runs that the pool asked for, 0 for none.
	listNumber uint64
}

// history simulates a random history of one pool and its executors. jobs holds the IDs of the submitted jobs.
type history struct {
	random        *rand.Rand
	clock         *clock.Fake
	leadership    *scriptedLeadership
	pool          *scheduler.Pool
	executors     []*fakeExecutor
	executorCount int
	jobs          []string
	starts        int
}

func newHistory(seed uint64) *history {
	clock := clock.NewFake(1_000_000)
	s := &history{random: rand.New(rand.NewPCG(seed, 1)), clock: clock, leadership: &scriptedLeadership{clock: clock, hasLease: true, records: map[string][]byte{}}}
	for range 4 + s.random.IntN(4) {
		s.executors = append(s.executors, s.newExecutor())
	}
	s.open()
	return s
}

func (s *history) newExecutor() *fakeExecutor {
	s.executorCount++
	return &fakeExecutor{id: fmt.Sprintf("i-%03d", (s.executorCount*37)%1000), number: s.executorCount}
}

func (s *history) open() {
	s.leadership.inFlight = nil
	s.leadership.epoch++
	timing := timing
	timing.ReservedCapacity, timing.KeepEnded, timing.RemoteFactor = scheduler.DefaultReservedCapacity, 3*time.Second, 2
	rules, err := queuerules.Compile(map[string]queuerules.Text{"ruled": {Use: `"r1" in labels || cpu > 4000`, Order: "due - 40 * tasks"}})
	Expect(err).NotTo(HaveOccurred())
	s.pool = scheduler.New("pool/s", s.clock, timing, logging.Silent(), scheduler.WithRules(rules))
	s.pool.Open(s.leadership, s.leadership.pairs())
}

// step takes a random step: a submission, a cancellation, a tick, an exchange, or a replacement of an executor or of the leader.
func (s *history) step() {
	switch chance := s.random.IntN(1000); {
	case chance < 120:
		s.submitJob()
	case chance < 130 && len(s.jobs) > 0:
		s.pool.Cancel(&wire.ClientCall{ID: s.jobs[s.random.IntN(len(s.jobs))]}, func(wire.ClientAnswer) {})
	case chance < 320:
		s.clock.Advance(50 * time.Millisecond)
		s.pool.Tick()
	case chance < 350:
		s.clock.Advance(time.Duration(s.random.IntN(300)) * time.Millisecond)
	case chance < 355:
		s.replace(s.random.IntN(len(s.executors)))
	case chance < 357:
		s.pool.Close()
		s.open()
	default:
		s.exchange(s.executors[s.random.IntN(len(s.executors))])
	}
}

// settle flushes the pool, and in three of four cases ends all commits in flight.
func (s *history) settle() {
	s.pool.Flush()
	if s.random.IntN(4) > 0 {
		s.leadership.settle(nil)
	}
}

func (s *history) submitJob() {
	flag := func(name string, odds int) string {
		if s.random.IntN(odds) > 0 {
			return ""
		}
		return `,"` + name + `":true`
	}
	var steps string
	for number := range 1 + s.random.IntN(3) {
		if number > 0 {
			steps += fmt.Sprintf(`,{"depends-on":[%d],`, number-1)
		} else {
			steps = "{"
		}
		steps += fmt.Sprintf(`"task-count":%d,"cpu-units":%d,"memory-req-mb":%d,"estimated-ms":%d,"anti-affinity":%d%s%s%s%s%s}`, 1+s.random.IntN(6),
			s.random.IntN(1800), s.random.IntN(900), s.random.IntN(2000), max(0, s.random.IntN(8)-5), flag("gang-scheduled", 5), flag("same-rack", 2),
			flag("redundant", 2), flag("long-running", 9), []string{"", `,"affinity-labels":"r1"`, `,"affinity-labels":"r9"`}[s.random.IntN(3)])
	}
	repeat := ""
	if s.random.IntN(5) == 0 {
		repeat = fmt.Sprintf(`,"repeat-count":3,"period-ms":400,"first-run-ms":%d`, s.clock.WallMs()+int64(s.random.IntN(400)))
	}
	id := fmt.Sprintf("%016x", s.random.Uint64())
	s.jobs = append(s.jobs, id)
	s.pool.Submit(&wire.ClientCall{Route: []string{"plain", "ruled"}[s.random.IntN(2)], ID: id, Terms: &wire.RouteTerms{Priority: s.random.IntN(3), MaxAttempts: 3, TargetMs: int64(s.random.IntN(3)) * 100},
		Body: []byte(`{"task-descriptor":"d","step-list":[` + steps + `]` + repeat + `}`)}, func(wire.ClientAnswer) {})
}

// replace ends an executor and starts another. In half of the cases the new one reports the end of the old one, otherwise nobody does.
func (s *history) replace(index int) {
	former := s.executors[index].id
	s.executors[index] = s.newExecutor()
	if s.random.IntN(2) == 0 {
		s.pool.Exchange(&wire.ExchangeCall{Executor: s.executors[index].id, Gone: []string{former}}, func(wire.ExchangeAnswer) {})
	}
}

func (s *history) exchange(executor *fakeExecutor) {
	switch s.random.IntN(60) {
	case 0:
		executor.isSilent = !executor.isSilent
	case 1:
		executor.isLeaseStale = !executor.isLeaseStale
	case 2:
		executor.isDraining = true
	case 3:
		executor.number++
	}
	if executor.isSilent && s.random.IntN(10) > 0 {
		return
	}
	s.endRuns(executor)
	call := &wire.ExchangeCall{Executor: executor.id, Proxy: executor.id, Labels: []string{"a", fmt.Sprintf("r%d", executor.number%3)}, Draining: executor.isDraining,
		Capacity: wire.Capacity{CPU: 4000 + 2000*int64(executor.number%2), Memory: 4000}, Fence: executor.fence, ListNumber: executor.listNumber, Ends: slices.Clone(executor.ends), Answers: executor.answers}
	if executor.isLeaseStale {
		call.HoldAgeMs = 4000
	}
	if executor.listNumber > 0 || s.random.IntN(5) == 0 {
		for _, order := range executor.running {
			call.Running = append(call.Running, wire.RunReport{Task: order.Task, Run: order.Run})
		}
	}
	if s.random.IntN(3) == 0 {
		call.WaitMs = 100
	}
	executor.answers, executor.listNumber = nil, 0
	s.pool.Exchange(call, func(answer wire.ExchangeAnswer) { s.handleAnswer(executor, answer) })
}

// endRuns ends some of the executor's runs.
func (s *history) endRuns(executor *fakeExecutor) {
	executor.running = slices.DeleteFunc(executor.running, func(order wire.Order) bool {
		if s.random.IntN(6) > 0 {
			return false
		}
		outcome := []string{"done", "done", "done", "failed", "stopped"}[s.random.IntN(5)]
		executor.lastEnd++
		executor.ends = append(executor.ends, wire.EndReport{Number: executor.lastEnd, Task: order.Task, Run: order.Run, Outcome: wire.RunOutcome(outcome)})
		return true
	})
}

func (s *history) handleAnswer(executor *fakeExecutor, answer wire.ExchangeAnswer) {
	if answer.NotLeader || answer.Fence < executor.fence {
		return
	}
	if answer.Fence > executor.fence {
		executor.fence, executor.listNumber = answer.Fence, 0
	}
	executor.listNumber = answer.WantedList
	executor.ends = slices.DeleteFunc(executor.ends, func(end wire.EndReport) bool { return end.Number <= answer.LastSeen })
	for _, order := range answer.Orders {
		s.carryOut(executor, order)
	}
}

func (s *history) carryOut(executor *fakeExecutor, order wire.Order) {
	isSameRun := func(other wire.Order) bool { return other.Task == order.Task && other.Run == order.Run }
	result := []string{"ok", "ok", "ok", "ok", "ok", "ok", "room", "sick", "unsure", "not-run", "timeout", ""}[s.random.IntN(12)]
	switch {
	case order.Kind == "stop":
		result = "ok"
		executor.running = slices.DeleteFunc(executor.running, isSameRun)
		executor.lastEnd++
		executor.ends = append(executor.ends, wire.EndReport{Number: executor.lastEnd, Task: order.Task, Run: order.Run, Outcome: "stopped"})
	case (result == "ok" || result == "unsure") && !slices.ContainsFunc(executor.running, isSameRun):
		executor.running = append(executor.running, order)
		s.starts++
	}
	if result != "" {
		executor.answers = append(executor.answers, wire.OrderAnswer{Task: order.Task, Run: order.Run, Kind: order.Kind, Result: wire.OrderResult(result)})
	}
}

// orders returns the names of the committed records of orders.
func (s *history) orders() []string {
	names := []string{}
	for name := range s.leadership.records {
		if strings.HasPrefix(name, "o/") {
			names = append(names, name)
		}
	}
	return names
}

// The pool updates its tables incrementally. A missed update would leave them different from what the jobs and executors imply.
var _ = Describe("the tables that a pool updates incrementally", func() {
	It("equal recomputed tables after each step of random histories", func() {
		starts := 0
		for seed := range uint64(6) {
			s := newHistory(seed)
			for round := range 500 {
				s.step()
				Expect(s.pool.Differences()).To(BeEmpty(), "seed %d, round %d, before placement", seed, round)
				s.settle()
				Expect(s.pool.Differences()).To(BeEmpty(), "seed %d, round %d", seed, round)
				if len(s.leadership.inFlight) == 0 {
					Expect(s.pool.Orders()).To(ContainElements(s.orders()), "seed %d, round %d", seed, round)
				}
			}
			starts += s.starts
		}
		Expect(starts).To(BeNumerically(">", 300))
	})
})
