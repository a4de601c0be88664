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

// instantLeadership is a leadership whose commits succeed at once. It counts the operations and bytes that they would write, and keeps the
// records if records is not nil.
type instantLeadership struct {
	clock   *clock.Fake
	ops     int
	bytes   int
	records map[string][]byte
}

func (t *instantLeadership) Epoch() uint64       { return 1 }
func (t *instantLeadership) CommitIndex() uint64 { return 1 }
func (t *instantLeadership) HasLease() bool      { return true }
func (t *instantLeadership) WallMs() int64       { return t.clock.WallMs() }

func (t *instantLeadership) Commit(ops []wire.Op, done func(error)) {
	t.ops += len(ops)
	for _, op := range ops {
		t.bytes += len(op.Name) + len(op.Value)
	}
	if t.records != nil {
		t.store(ops)
	}
	done(nil)
}

func (t *instantLeadership) store(ops []wire.Op) {
	for _, op := range ops {
		t.records[op.Name] = op.Value
		if len(op.Value) == 0 {
			delete(t.records, op.Name)
		}
	}
}

// runsPerExecutor is how many runs of the default job fit on one executor.
const runsPerExecutor = 15

// benchExecutor is an executor that starts every run it is ordered to.
type benchExecutor struct {
	id         string
	labels     []string
	ends       int64
	listNumber uint64
	running    []wire.Order
	answers    []wire.OrderAnswer
}

// fullPool is a pool with full executors and a backlog of open steps.
type fullPool struct {
	clock      *clock.Fake
	leadership *instantLeadership
	pool       *scheduler.Pool
	executors  []*benchExecutor
	jobs       int
	starts     int
}

func newFullPool(executorCount, backlog int) *fullPool {
	return newRecordedFullPool(executorCount, backlog, nil)
}

func newRecordedFullPool(executorCount, backlog int, records map[string][]byte) *fullPool {
	clock := clock.NewFake(1_000_000)
	c := &fullPool{clock: clock, leadership: &instantLeadership{clock: clock, records: records}}
	timing := timing
	timing.ReservedCapacity = scheduler.DefaultReservedCapacity
	c.pool = scheduler.New("pool/s", clock, timing, logging.Silent())
	c.pool.Open(c.leadership, nil)
	for number := range executorCount {
		c.executors = append(c.executors, &benchExecutor{id: fmt.Sprintf("i-%04d", number), listNumber: 1 << 40, labels: []string{"a", "r" + strconv.Itoa(number/7)}})
	}
	for range 2 {
		c.exchangeAll()
	}
	for range executorCount*runsPerExecutor/22 + 1 {
		c.submitJob(0)
	}
	c.exchangeAll()
	for number := range backlog {
		c.submitJob(number)
	}
	c.exchangeAll()
	return c
}

func (c *fullPool) exchangeAll() {
	for _, executor := range c.executors {
		c.exchange(executor, nil)
		c.pool.Flush()
	}
}

// submitJob submits one job. Of ten jobs eight are short and urgent, one is long, and one has tasks with anti-affinity.
func (c *fullPool) submitJob(number int) {
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

func (c *fullPool) exchange(executor *benchExecutor, ends []wire.EndReport) {
	call := &wire.ExchangeCall{Key: "pool/s", Executor: executor.id, Proxy: executor.id, Domain: "d", Labels: executor.labels,
		Capacity: wire.Capacity{CPU: 16000, Memory: 32768}, Fence: 1, ListNumber: executor.listNumber, WaitMs: 1000, Ends: ends, Answers: executor.answers}
	executor.answers, executor.listNumber = nil, 0
	c.pool.Exchange(call, func(answer wire.ExchangeAnswer) {
		for _, order := range answer.Orders {
			executor.running = append(executor.running, order)
			executor.answers = append(executor.answers, wire.OrderAnswer{Task: order.Task, Run: order.Run, Kind: order.Kind, Result: wire.ResultOK})
			c.starts++
		}
	})
}

// replaceRun ends one run of an executor and answers the launch that follows.
func (c *fullPool) replaceRun(executor *benchExecutor) {
	if len(executor.running) == 0 {
		return
	}
	ended := executor.running[0]
	executor.running = executor.running[1:]
	executor.ends++
	c.exchange(executor, []wire.EndReport{{Number: executor.ends, Task: ended.Task, Run: ended.Run, Outcome: "done"}})
	c.pool.Flush()
	c.exchange(executor, nil)
	c.pool.Flush()
}

// processorTime is the CPU time of this process in nanoseconds, including garbage collection. On a busy machine it is more reliable than
// elapsed time.
func processorTime() int64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return usage.Utime.Nano() + usage.Stime.Nano()
}

// eachSize runs a benchmark for each combination of fleet size and backlog.
func eachSize(b *testing.B, run func(b *testing.B, c *fullPool)) {
	for _, executorCount := range []int{62, 250, 1000} {
		for _, backlog := range []int{0, 300, 1000} {
			b.Run(fmt.Sprintf("executors=%d/backlog=%d", executorCount, backlog), func(b *testing.B) {
				c := newFullPool(executorCount, backlog)
				b.ReportAllocs()
				start := processorTime()
				b.ResetTimer()
				run(b, c)
				b.ReportMetric(float64(processorTime()-start)/float64(b.N), "cpu-ns/op")
			})
		}
	}
}

// BenchmarkRunCycle measures the end of one run, the launch that follows, its answer, and 1/22 of a submission, as a job has 22 tasks.
func BenchmarkRunCycle(b *testing.B) {
	eachSize(b, func(b *testing.B, c *fullPool) {
		c.leadership.bytes, c.leadership.ops, c.starts = 0, 0, 0
		for round := range b.N {
			if round%22 == 0 {
				c.submitJob(0)
			}
			c.replaceRun(c.executors[round%len(c.executors)])
		}
		b.ReportMetric(float64(c.starts)/float64(b.N), "starts/op")
		b.ReportMetric(float64(c.leadership.bytes)/float64(b.N), "written-B/op")
		b.ReportMetric(float64(c.leadership.ops)/float64(b.N), "written-ops/op")
	})
}

// BenchmarkTick measures one tick and the placement that follows it.
func BenchmarkTick(b *testing.B) { benchmarkTick(b, time.Microsecond) }

// BenchmarkTickOverdue measures the same while nearly all runs of redundant steps are overdue, so that speculative runs are requested.
func BenchmarkTickOverdue(b *testing.B) { benchmarkTick(b, 50*time.Millisecond) }

func benchmarkTick(b *testing.B, between time.Duration) {
	eachSize(b, func(b *testing.B, c *fullPool) {
		for round := range b.N {
			c.clock.Advance(between)
			if round%10 == 9 {
				b.StopTimer()
				c.exchangeAll()
				b.StartTimer()
			}
			c.pool.Tick()
			c.pool.Flush()
		}
	})
}

// BenchmarkExchange measures one exchange of an executor that has nothing new to report.
func BenchmarkExchange(b *testing.B) {
	eachSize(b, func(b *testing.B, c *fullPool) {
		for round := range b.N {
			c.exchange(c.executors[round%len(c.executors)], nil)
			c.pool.Flush()
		}
	})
}

// BenchmarkSubmit measures the submission and the cancellation of a job of 22 tasks for which there is no capacity.
func BenchmarkSubmit(b *testing.B) {
	eachSize(b, func(b *testing.B, c *fullPool) {
		for range b.N {
			c.submitJob(0)
			c.pool.Cancel(&wire.ClientCall{ID: fmt.Sprintf("%016x", c.jobs)}, func(wire.ClientAnswer) {})
			c.pool.Flush()
		}
	})
}

// BenchmarkTakeover measures how a new leader loads a pool's records and handles the first exchange of each executor.
func BenchmarkTakeover(b *testing.B) {
	for _, executorCount := range []int{62, 1000} {
		b.Run(fmt.Sprintf("executors=%d/backlog=300", executorCount), func(b *testing.B) {
			records := map[string][]byte{}
			c := newRecordedFullPool(executorCount, 300, records)
			c.leadership.records = nil
			var pairs []wire.Op
			for name, value := range records {
				pairs = append(pairs, wire.Op{Name: name, Value: value})
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				pool := scheduler.New("pool/s", c.clock, timing, logging.Silent())
				pool.Open(c.leadership, pairs)
				c.pool = pool
				for _, executor := range c.executors {
					executor.listNumber = 1 << 40
				}
				c.exchangeAll()
			}
		})
	}
}

// BenchmarkMemory measures the heap of a pool with full executors, in total and per run. Each job has a descriptor of 200 bytes.
func BenchmarkMemory(b *testing.B) {
	for _, executorCount := range []int{62, 1000} {
		b.Run(fmt.Sprintf("executors=%d", executorCount), func(b *testing.B) {
			before := heapInUse()
			c := newFullPool(executorCount, 0)
			c.executors, c.leadership = nil, nil
			heapGrowth := heapInUse() - before
			b.ReportMetric(float64(heapGrowth)/1e6, "MB")
			b.ReportMetric(float64(heapGrowth)/float64(executorCount*runsPerExecutor), "B/run")
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
