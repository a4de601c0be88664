// Package hollow is many worker nodes in one process: real local-proxies, each before a stand-in of an executor
// that keeps to the protocol and lets time pass instead of working.
package hollow

import (
	"fmt"
	"slices"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/node/executorapi"
	"gannetline/internal/platform/clock"
)

const (
	// maxEnds is how many ends one answer lists.
	maxEnds = 500
	// maxWaitMs is how long a hold may wait for an end, in milliseconds.
	maxWaitMs = 2000
	// firstClockMs is what the clock of an executor shows at its start.
	firstClockMs = 100_000
	// maxPercent is the progress that a running task shows at most.
	maxPercent = 99
)

// How a run ended, on the wire.
const (
	outcomeDone    = "done"
	outcomeFailed  = "failed"
	outcomeLapsed  = "lapsed"
	outcomeStopped = "stopped"
)

// Why an order was refused, on the wire.
const (
	reasonFence      = "fence"
	reasonOld        = "old"
	reasonLate       = "late"
	reasonNoCapacity = "room"
)

// Load is what a task asks a stand-in executor for; it travels as the task's descriptor. CPU is in
// thousandths of a core.
type Load struct {
	Length   time.Duration
	CPU      int64
	MemoryMB int64
}

// loadForm is that of a descriptor.
const loadForm = "hollow %d ms, %d cpu-units, %d MB"

// Descriptor writes the load as a task descriptor, from which a hollow executor reads it back.
func (l Load) Descriptor() string {
	return fmt.Sprintf(loadForm, l.Length.Milliseconds(), l.CPU, l.MemoryMB)
}

func parseLoad(text string) (Load, error) {
	var ms int64
	var load Load
	_, err := fmt.Sscanf(text, loadForm, &ms, &load.CPU, &load.MemoryMB)
	load.Length = clock.Milliseconds(ms)
	return load, err
}

// RunRecord is one run as an executor saw it, in milliseconds of its machine's clock; EndMs is 0 while it runs.
type RunRecord struct {
	Task    string `json:"task"`
	Run     int64  `json:"run"`
	Node    string `json:"node"`
	StartMs int64  `json:"start"`
	EndMs   int64  `json:"end,omitempty"`
	Outcome string `json:"how,omitempty"`
}

// activeRun is a run that goes on; begunAt is by the monotonic clock.
type activeRun struct {
	record  RunRecord
	load    Load
	begunAt time.Duration
}

// waitingHold is a hold that is answered at the next end, or when its wait is over.
type waitingHold struct {
	answer func(int, executorapi.Answer)
}

// ExecutorConfig describes an executor: its name, capacity, labels and timing.
type ExecutorConfig struct {
	Node        string
	ID          string
	Capacity    wire.Capacity
	Labels      []string
	MaxHold     time.Duration
	StopTimeout time.Duration
	// ClockRate is how fast its clock goes, 0.98 to 1.
	ClockRate float64
	// FailsFirstRuns has the first run of each task fail.
	FailsFirstRuns bool
}

// Executor is a stand-in that keeps to the protocol of executors. It has no goroutine of its own: all calls come on
// one goroutine, and later runs functions on the same one.
type Executor struct {
	config   ExecutorConfig
	clock    clock.Clock
	later    func(wait time.Duration, run func())
	begunAt  time.Duration
	fence    uint64
	expiryMs int64
	// isWatched is set while a function waits for the expiry.
	isWatched bool
	active    []*activeRun
	ends      []executorapi.EndRow
	lastEnd   int64
	// highest is, by task, the highest run that was ended or stopped here.
	highest      map[string]int64
	waitingHolds []*waitingHold
	ended        []RunRecord
	sequence     int64
	// refusedFences has when a fence was first refused, and repeatedFences counts the calls that came under one well after.
	refusedFences  map[uint64]time.Duration
	repeatedFences int
}

// NewExecutor makes an executor that only pretends to work: a run ends after the length that its descriptor names.
// The clock gives its time, and later runs a function after a wait, on the goroutine that calls the executor.
func NewExecutor(shape ExecutorConfig, clock clock.Clock, later func(time.Duration, func())) *Executor {
	return &Executor{config: shape, clock: clock, later: later, begunAt: clock.Monotonic(), highest: map[string]int64{}, refusedFences: map[uint64]time.Duration{}}
}

// ClockMs is the executor's own monotonic clock.
func (e *Executor) ClockMs() int64 {
	return firstClockMs + int64(float64((e.clock.Monotonic()-e.begunAt).Milliseconds())*e.config.ClockRate)
}

func (e *Executor) answer(reason string) executorapi.Answer {
	return executorapi.Answer{ClockMs: e.ClockMs(), Reason: reason}
}

// fenceNotice is how long after a refusal whoever was refused has had time to learn of it.
const fenceNotice = 2 * time.Second

// noLeader is the fence of a local proxy that has heard of no leader since it started. It may only look, and nobody can have told it better.
const noLeader = 0

// raise takes note of a fence; it tells whether an order with it may be carried out.
func (e *Executor) raise(fence uint64) bool {
	if fence < e.fence {
		if fence != noLeader {
			e.noteRefusal(fence)
		}
		return false
	}
	e.fence = fence
	return true
}

// noteOrder counts an order to start or to stop that comes from no leader at all.
func (e *Executor) noteOrder(fence uint64) {
	if fence == noLeader {
		e.repeatedFences++
	}
}

// noteRefusal counts a call under a fence that was refused well before.
func (e *Executor) noteRefusal(fence uint64) {
	now := e.clock.Monotonic()
	refusedAt, isRepeated := e.refusedFences[fence]
	if !isRepeated {
		e.refusedFences[fence] = now
		return
	}
	if now-refusedAt > fenceNotice {
		e.repeatedFences++
	}
}

// extend lengthens the hold to a time of the executor's clock, and by the longest hold at most.
func (e *Executor) extend(expiryMs int64) {
	e.expiryMs = max(e.expiryMs, min(expiryMs, e.ClockMs()+e.config.MaxHold.Milliseconds()))
	if !e.isWatched {
		e.watchExpiry()
	}
}

// watchExpiry ends all runs once the hold is over.
func (e *Executor) watchExpiry() {
	left := clock.Milliseconds(int64(float64(e.expiryMs-e.ClockMs())/e.config.ClockRate) + 1)
	e.isWatched = true
	e.later(left, func() {
		e.isWatched = false
		if len(e.active) == 0 {
			return
		}
		if e.ClockMs() < e.expiryMs {
			e.watchExpiry()
			return
		}
		for _, lapsed := range slices.Clone(e.active) {
			e.end(lapsed, outcomeLapsed)
		}
	})
}

func (e *Executor) hasCapacityFor(load Load) bool {
	cpu, memory := load.CPU, load.MemoryMB
	for _, active := range e.active {
		cpu, memory = cpu+active.load.CPU, memory+active.load.MemoryMB
	}
	return cpu <= e.config.Capacity.CPU && memory <= e.config.Capacity.Memory
}

func (e *Executor) find(task string, run int64) *activeRun {
	for _, active := range e.active {
		if active.record.Task == task && active.record.Run == run {
			return active
		}
	}
	return nil
}

// Start is POST /v1/run-start.
func (e *Executor) Start(order executorapi.RunStart) (int, executorapi.Answer) {
	load, err := parseLoad(order.Descriptor)
	e.noteOrder(order.Fence)
	switch {
	case !e.raise(order.Fence):
		return 409, e.answer(reasonFence)
	case err != nil || order.Task == "" || order.Run < 1:
		return 400, e.answer("")
	case e.find(order.Task, order.Run) != nil:
		e.extend(order.ExpiryMs)
		return 200, e.answer("")
	case order.Run <= e.highest[order.Task]:
		e.extend(order.ExpiryMs)
		return 409, e.answer(reasonOld)
	case order.ExpiryMs <= e.ClockMs():
		return 409, e.answer(reasonLate)
	}
	e.extend(order.ExpiryMs)
	if !e.hasCapacityFor(load) {
		return 409, e.answer(reasonNoCapacity)
	}
	e.begin(order, load)
	return 200, e.answer("")
}

func (e *Executor) begin(order executorapi.RunStart, load Load) {
	started := &activeRun{load: load, begunAt: e.clock.Monotonic(),
		record: RunRecord{Task: order.Task, Run: order.Run, Node: e.config.Node, StartMs: e.clock.WallMs()}}
	e.active = append(e.active, started)
	if !e.isWatched {
		e.watchExpiry()
	}
	e.later(load.Length, func() {
		if slices.Contains(e.active, started) {
			e.end(started, e.outcomeOf(order))
		}
	})
}

// outcomeOf is how a run ends that is let end.
func (e *Executor) outcomeOf(order executorapi.RunStart) string {
	if e.config.FailsFirstRuns && order.Run == 1 {
		return outcomeFailed
	}
	return outcomeDone
}

// end ends a run and answers the holds that wait for it.
func (e *Executor) end(run *activeRun, how string) {
	e.active = slices.DeleteFunc(e.active, func(other *activeRun) bool { return other == run })
	run.record.EndMs, run.record.Outcome = e.clock.WallMs(), how
	e.ended = append(e.ended, run.record)
	e.highest[run.record.Task] = max(e.highest[run.record.Task], run.record.Run)
	e.lastEnd++
	e.ends = append(e.ends, executorapi.EndRow{Number: e.lastEnd, Task: run.record.Task, Run: run.record.Run, Outcome: wire.RunOutcome(how)})
	waiting := e.waitingHolds
	e.waitingHolds = nil
	for _, hold := range waiting {
		hold.answer(200, e.lists())
	}
}

// Stop is POST /v1/run-stop.
func (e *Executor) Stop(order executorapi.RunStop) (int, executorapi.Answer) {
	e.noteOrder(order.Fence)
	if !e.raise(order.Fence) {
		return 409, e.answer(reasonFence)
	}
	e.highest[order.Task] = max(e.highest[order.Task], order.Run)
	if stopping := e.find(order.Task, order.Run); stopping != nil {
		e.later(e.config.StopTimeout/2, func() {
			if slices.Contains(e.active, stopping) {
				e.end(stopping, outcomeStopped)
			}
		})
	}
	return 200, e.answer("")
}

// Hold is POST /v1/hold; the answer may wait for an end.
func (e *Executor) Hold(hold executorapi.Hold, answer func(int, executorapi.Answer)) {
	if !e.raise(hold.Fence) {
		answer(409, e.answer(reasonFence))
		return
	}
	e.ends = slices.DeleteFunc(e.ends, func(end executorapi.EndRow) bool { return end.Number <= hold.LastSeen })
	if hold.ExpiryMs > 0 {
		e.extend(hold.ExpiryMs)
	}
	if len(e.ends) > 0 || hold.WaitMs <= 0 {
		answer(200, e.lists())
		return
	}
	waiting := &waitingHold{answer: answer}
	e.waitingHolds = append(e.waitingHolds, waiting)
	e.later(clock.Milliseconds(min(hold.WaitMs, maxWaitMs)), func() {
		if index := slices.Index(e.waitingHolds, waiting); index >= 0 {
			e.waitingHolds = slices.Delete(e.waitingHolds, index, index+1)
			waiting.answer(200, e.lists())
		}
	})
}

// lists is an answer with the ends that are not acknowledged and the runs that go on.
func (e *Executor) lists() executorapi.Answer {
	answer := e.answer("")
	answer.Ends = slices.Clone(e.ends[:min(len(e.ends), maxEnds)])
	for _, active := range e.active {
		percent := int(100 * (e.clock.Monotonic() - active.begunAt) / max(active.load.Length, 1))
		answer.Running = append(answer.Running,
			executorapi.RunningRow{Task: active.record.Task, Run: active.record.Run, Percent: min(percent, maxPercent)})
	}
	return answer
}

// NextHeartbeat is the executor's next heartbeat.
func (e *Executor) NextHeartbeat(service, address, domain string) executorapi.Heartbeat {
	e.sequence++
	return executorapi.Heartbeat{Service: service, Address: address, Domain: domain, Version: "v1", Slots: 8, State: "ready",
		Capacity: e.config.Capacity, Labels: e.config.Labels, ClockMs: e.ClockMs(), Sequence: e.sequence}
}

// Counts are how many tasks run now, how many were started in all, and how many calls came under a fence that had been refused well
// before.
type Counts struct {
	Running        int `json:"running"`
	Started        int `json:"started"`
	RepeatedFences int `json:"repeated-fences"`
}

// Counts counts the runs of this executor since its start.
func (e *Executor) Counts() Counts {
	return Counts{Running: len(e.active), Started: len(e.active) + len(e.ended), RepeatedFences: e.repeatedFences}
}

// Records are all runs so far, those still running among them.
func (e *Executor) Records() []RunRecord {
	records := slices.Clone(e.ended)
	for _, active := range e.active {
		records = append(records, active.record)
	}
	return records
}
