package scheduler_test

import (
	"fmt"
	"runtime"
	"strconv"
	"syscall"
	"testing"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/logging"
	"gannetline/internal/scheduling/scheduler"
)

// prompt is a leadership whose commits succeed at once; it counts what they would write.
type prompt struct {
	clock *clock.Fake
	ops   int
	bytes int
	kept  map[string][]byte
}

func (t *prompt) Epoch() uint64  { return 1 }
func (t *prompt) HasLease() bool { return true }
func (t *prompt) WallMs() int64  { return t.clock.WallMs() }

func (t *prompt) Commit(ops []wire.Op, done func(error)) {
	t.ops += len(ops)
	for _, op := range ops {
		t.bytes += len(op.Name) + len(op.Value)
	}
	if t.kept != nil {
		t.keep(ops)
	}
	done(nil)
}

func (t *prompt) keep(ops []wire.Op) {
	for _, op := range ops {
		t.kept[op.Name] = op.Value
		if len(op.Value) == 0 {
			delete(t.kept, op.Name)
		}
	}
}

const slotsEach = 15

type hand struct {
	life    string
	labels  []string
	ends    int64
	look    uint64
	running []wire.Order
	answers []wire.OrderAnswer
}

// crowd is a pool with full executors and a backlog of open steps.
type crowd struct {
	clock  *clock.Fake
	tenure *prompt
	pool   *scheduler.Pool
	hands  []*hand
	jobs   int
	starts int
}

func newCrowd(executors, backlog int) *crowd { return newCrowdKept(executors, backlog, nil) }

func newCrowdKept(executors, backlog int, kept map[string][]byte) *crowd {
	clock := clock.NewFake(1_000_000)
	c := &crowd{clock: clock, tenure: &prompt{clock: clock, kept: kept}}
	timing := timing
	timing.ReservedCapacity = scheduler.DefaultReservedCapacity
	c.pool = scheduler.New("pool/s", clock, timing, logging.Silent())
	c.pool.Open(c.tenure, nil)
	for number := range executors {
		c.hands = append(c.hands, &hand{life: fmt.Sprintf("i-%04d", number), look: 1 << 40, labels: []string{"a", "r" + strconv.Itoa(number/7)}})
	}
	for range 2 {
		c.beatAll()
	}
	for range executors*slotsEach/22 + 1 {
		c.handIn(0)
	}
	c.beatAll()
	for number := range backlog {
		c.handIn(number)
	}
	c.beatAll()
	return c
}

func (c *crowd) beatAll() {
	for _, one := range c.hands {
		c.exchange(one, nil)
		c.pool.Flush()
	}
}

// handIn gives one job in the mix of a board: most are short and urgent, some long, some spread out.
func (c *crowd) handIn(number int) {
	step, terms := `{"task-count":22,"cpu-units":1066,"memory-req-mb":1600,"estimated-ms":240,"redundant":true}`, wire.RouteTerms{Stretch: 1.5, TargetMs: 250}
	switch number % 10 {
	case 8:
		step, terms = `{"task-count":46,"cpu-units":5000,"memory-req-mb":9200,"estimated-ms":6000}`, wire.RouteTerms{Priority: 2, Stretch: 3.2, TargetMs: 3000}
	case 9:
		step, terms = `{"task-count":5,"cpu-units":2500,"memory-req-mb":2600,"estimated-ms":900,"anti-affinity":1}`, wire.RouteTerms{Priority: 1, Stretch: 2.2, TargetMs: 1000}
	}
	c.jobs++
	c.pool.Submit(&wire.ClientCall{Verb: "hand-in", Route: "e", ID: fmt.Sprintf("%016x", c.jobs), Terms: &terms,
		Body: []byte(`{"task-descriptor":"` + fmt.Sprintf("%0200d", c.jobs) + `","step-list":[` + step + `]}`)}, func(wire.ClientAnswer) {})
	c.pool.Flush()
}

func (c *crowd) exchange(one *hand, ends []wire.EndReport) {
	call := &wire.ExchangeCall{Key: "pool/s", Executor: one.life, Proxy: one.life, Domain: "d", Labels: one.labels,
		Capacity: wire.Capacity{CPU: 16000, Memory: 32768}, Fence: 1, ListNumber: one.look, WaitMs: 1000, Ends: ends, Answers: one.answers}
	one.answers, one.look = nil, 0
	c.pool.Exchange(call, func(answer wire.ExchangeAnswer) {
		for _, order := range answer.Orders {
			one.running = append(one.running, order)
			one.answers = append(one.answers, wire.OrderAnswer{Task: order.Task, Run: order.Run, Kind: order.Kind, Result: wire.ResultOK})
			c.starts++
		}
	})
}

// turn ends one run of an executor and answers the start that follows.
func (c *crowd) turn(one *hand) {
	if len(one.running) == 0 {
		return
	}
	gone := one.running[0]
	one.running = one.running[1:]
	one.ends++
	c.exchange(one, []wire.EndReport{{Number: one.ends, Task: gone.Task, Run: gone.Run, Outcome: "done"}})
	c.pool.Flush()
	c.exchange(one, nil)
	c.pool.Flush()
}

// processorTime is what this process has used, also for collecting garbage; it says more than the clock on a busy machine.
func processorTime() int64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return usage.Utime.Nano() + usage.Stime.Nano()
}

func eachSize(b *testing.B, run func(b *testing.B, c *crowd)) {
	for _, executors := range []int{62, 250, 1000} {
		for _, backlog := range []int{0, 300, 1000} {
			b.Run(fmt.Sprintf("executors=%d/backlog=%d", executors, backlog), func(b *testing.B) {
				c := newCrowd(executors, backlog)
				b.ReportAllocs()
				began := processorTime()
				b.ResetTimer()
				run(b, c)
				b.ReportMetric(float64(processorTime()-began)/float64(b.N), "cpu-ns/op")
			})
		}
	}
}

// BenchmarkTurn is one end, the start that follows, its answer, and the 22nd part of a submission.
func BenchmarkTurn(b *testing.B) {
	eachSize(b, func(b *testing.B, c *crowd) {
		c.tenure.bytes, c.tenure.ops, c.starts = 0, 0, 0
		for turn := range b.N {
			if turn%22 == 0 {
				c.handIn(0)
			}
			c.turn(c.hands[turn%len(c.hands)])
		}
		b.ReportMetric(float64(c.starts)/float64(b.N), "starts/op")
		b.ReportMetric(float64(c.tenure.bytes)/float64(b.N), "written-B/op")
		b.ReportMetric(float64(c.tenure.ops)/float64(b.N), "written-ops/op")
	})
}

// BenchmarkTick is one tick and the placement that follows it.
func BenchmarkTick(b *testing.B) { benchmarkTick(b, time.Microsecond) }

// BenchmarkTickOverdue is the same while nearly all runs of redundant steps take too long, so that spares are wanted.
func BenchmarkTickOverdue(b *testing.B) { benchmarkTick(b, 50*time.Millisecond) }

func benchmarkTick(b *testing.B, between time.Duration) {
	eachSize(b, func(b *testing.B, c *crowd) {
		for turn := range b.N {
			c.clock.Advance(between)
			if turn%10 == 9 {
				b.StopTimer()
				c.beatAll()
				b.StartTimer()
			}
			c.pool.Tick()
			c.pool.Flush()
		}
	})
}

// BenchmarkBeat is one exchange of an executor that has nothing new.
func BenchmarkBeat(b *testing.B) {
	eachSize(b, func(b *testing.B, c *crowd) {
		for turn := range b.N {
			c.exchange(c.hands[turn%len(c.hands)], nil)
			c.pool.Flush()
		}
	})
}

// BenchmarkHandIn is one job of 22 tasks that finds no room, and its cancel.
func BenchmarkHandIn(b *testing.B) {
	eachSize(b, func(b *testing.B, c *crowd) {
		for range b.N {
			c.handIn(0)
			c.pool.Cancel(&wire.ClientCall{ID: fmt.Sprintf("%016x", c.jobs)}, func(wire.ClientAnswer) {})
			c.pool.Flush()
		}
	})
}

// BenchmarkTakeOver opens a pool from its records, and takes the first look at each executor.
func BenchmarkTakeOver(b *testing.B) {
	for _, executors := range []int{62, 1000} {
		b.Run(fmt.Sprintf("executors=%d/backlog=300", executors), func(b *testing.B) {
			kept := map[string][]byte{}
			c := newCrowdKept(executors, 300, kept)
			c.tenure.kept = nil
			var pairs []wire.Op
			for name, value := range kept {
				pairs = append(pairs, wire.Op{Name: name, Value: value})
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				pool := scheduler.New("pool/s", c.clock, timing, logging.Silent())
				pool.Open(c.tenure, pairs)
				c.pool = pool
				for _, one := range c.hands {
					one.look = 1 << 40
				}
				c.beatAll()
			}
		})
	}
}

// BenchmarkMemory is what a pool with full executors keeps, by task that runs, with descriptors of 200 bytes a job.
func BenchmarkMemory(b *testing.B) {
	for _, executors := range []int{62, 1000} {
		b.Run(fmt.Sprintf("executors=%d", executors), func(b *testing.B) {
			before := heapInUse()
			c := newCrowd(executors, 0)
			c.hands, c.tenure = nil, nil
			kept := heapInUse() - before
			b.ReportMetric(float64(kept)/1e6, "MB")
			b.ReportMetric(float64(kept)/float64(executors*slotsEach), "B/run")
			runtime.KeepAlive(c)
		})
	}
}

func heapInUse() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
