// Package hollow runs many worker nodes in one process. Each consists of a production local-proxy and a stand-in executor. The executor
// follows the executor protocol, but does no work in its runs: each ends after the time that its descriptor gives.
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
	// maxEnds is how many ends one answer lists at most.
	maxEnds = 500
	// maxWaitMs is how long a hold may wait for the end of a run, in milliseconds.
	maxWaitMs = 2000
	// firstClockMs is the value of an executor's clock at its start.
	firstClockMs = 100_000
	// maxPercent is the highest progress reported for a run that has not ended.
	maxPercent = 99
)

// The outcomes of runs on the wire.
const (
	outcomeDone    = "done"
	outcomeFailed  = "failed"
	outcomeLapsed  = "lapsed"
	outcomeStopped = "stopped"
)

// The reasons for refusing an order on the wire.
const (
	reasonFence      = "fence"
	reasonOld        = "old"
	reasonLate       = "late"
	reasonNoCapacity = "room"
)

// Load is the length and the resources of a run on a stand-in executor. The task's descriptor encodes it. CPU is in thousandths of a core.
type Load struct {
	Length   time.Duration
	CPU      int64
	MemoryMB int64
}

// loadFormat is the format of a descriptor, for writing and for parsing.
const loadFormat = "hollow %d ms, %d cpu-units, %d MB"

// Descriptor returns the load as a task descriptor, which a stand-in executor can parse.
func (l Load) Descriptor() string {
	return fmt.Sprintf(loadFormat, l.Length.Milliseconds(), l.CPU, l.MemoryMB)
}

// parseLoad parses a descriptor that Descriptor has returned.
func parseLoad(text string) (Load, error) {
	var ms int64
	var load Load
	_, err := fmt.Sscanf(text, loadFormat, &ms, &load.CPU, &load.MemoryMB)
	load.Length = clock.Milliseconds(ms)
	return load, err
}

// RunRecord is one run as observed by its executor. Times are in milliseconds of the machine's wall clock. EndMs is 0 while the run
// continues.
type RunRecord struct {
	Task    string `json:"task"`
	Run     int64  `json:"run"`
	Node    string `json:"node"`
	StartMs int64  `json:"start"`
	EndMs   int64  `json:"end,omitempty"`
	Outcome string `json:"how,omitempty"`
}

// activeRun is a run that has not ended. startedAt is by the monotonic clock.
type activeRun struct {
	record    RunRecord
	load      Load
	startedAt time.Duration
}

// waitingHold is a hold that is answered at the next end of a run, or when its wait is over.
type waitingHold struct {
	answer func(int, executorapi.Answer)
}

// ExecutorConfig is the configuration of an executor. MaxHold is the longest time from now to which a call can extend the lease. A stopped
// run ends after half of StopTimeout.
type ExecutorConfig struct {
	Node        string
	ID          string
	Capacity    wire.Capacity
	Labels      []string
	MaxHold     time.Duration
	StopTimeout time.Duration
	// ClockRate is the rate of its clock relative to the real one, from 0.98 to 1.
	ClockRate float64
	// FailsFirstRuns makes the first run of each task fail.
	FailsFirstRuns bool
}

// Executor is a stand-in that follows the executor protocol. It has no goroutine of its own: all calls must come on one goroutine,
// and runLater must run functions on the same one.
type Executor struct {
	config    ExecutorConfig
	clock     clock.Clock
	runLater  func(wait time.Duration, run func())
	startedAt time.Duration
	fence     uint64
	expiryMs  int64
	// isExpiryScheduled is set while a function is scheduled for the expiry of the lease.
	isExpiryScheduled bool
	active            []*activeRun
	ends              []executorapi.EndRow
	lastEnd           int64
	// highest is the highest run number of each task that ended or was stopped here.
	highest      map[string]int64
	waitingHolds []*waitingHold
	ended        []RunRecord
	sequence     int64
	// refusedFences holds the time of the first refusal of each fence. repeatedFences counts the calls that still used a refused fence more
	// than fenceNoticeTime after that, and the orders without a leader's fence.
	refusedFences  map[uint64]time.Duration
	repeatedFences int
}

// NewExecutor creates an executor whose runs end after the length that their descriptor gives. runLater must run a function after a wait,
// on the goroutine that calls the executor.
func NewExecutor(config ExecutorConfig, clock clock.Clock, runLater func(time.Duration, func())) *Executor {
	return &Executor{config: config, clock: clock, runLater: runLater, startedAt: clock.Monotonic(), highest: map[string]int64{}, refusedFences: map[uint64]time.Duration{}}
}

// ClockMs returns the executor's own monotonic clock in milliseconds. It starts at firstClockMs and runs at the configured ClockRate.
func (e *Executor) ClockMs() int64 {
	return firstClockMs + int64(float64((e.clock.Monotonic()-e.startedAt).Milliseconds())*e.config.ClockRate)
}

func (e *Executor) answer(reason string) executorapi.Answer {
	return executorapi.Answer{ClockMs: e.ClockMs(), Reason: reason}
}

// fenceNoticeTime is how long after its first refusal calls with a fence are still expected, as their sender may not know of the refusal yet.
const fenceNoticeTime = 2 * time.Second

// noLeaderFence is the fence of a local proxy that has had no answer from a leader since it started. Such a proxy may send holds but no
// orders. Its refused holds are not counted, as it can't know the current fence.
const noLeaderFence = 0

// acceptFence records a fence. It reports whether a call with this fence may be carried out, that is, whether no higher one is known.
func (e *Executor) acceptFence(fence uint64) bool {
	if fence < e.fence {
		if fence != noLeaderFence {
			e.trackRefusal(fence)
		}
		return false
	}
	e.fence = fence
	return true
}

// trackOrder counts an order to start or stop a run if its fence is noLeaderFence.
func (e *Executor) trackOrder(fence uint64) {
	if fence == noLeaderFence {
		e.repeatedFences++
	}
}

// trackRefusal counts a refused call if its fence was first refused more than fenceNoticeTime ago.
func (e *Executor) trackRefusal(fence uint64) {
	now := e.clock.Monotonic()
	refusedAt, isRepeated := e.refusedFences[fence]
	if !isRepeated {
		e.refusedFences[fence] = now
		return
	}
	if now-refusedAt > fenceNoticeTime {
		e.repeatedFences++
	}
}

// extend extends the lease until expiryMs of the executor's clock, but to at most MaxHold from now. It never shortens the lease.
func (e *Executor) extend(expiryMs int64) {
	e.expiryMs = max(e.expiryMs, min(expiryMs, e.ClockMs()+e.config.MaxHold.Milliseconds()))
	if !e.isExpiryScheduled {
		e.scheduleExpiry()
	}
}

// scheduleExpiry schedules a function that ends all runs when the lease has expired. If the lease was extended meanwhile, the function
// schedules itself again.
func (e *Executor) scheduleExpiry() {
	remaining := clock.Milliseconds(int64(float64(e.expiryMs-e.ClockMs())/e.config.ClockRate) + 1)
	e.isExpiryScheduled = true
	e.runLater(remaining, func() {
		e.isExpiryScheduled = false
		if len(e.active) == 0 {
			return
		}
		if e.ClockMs() < e.expiryMs {
			e.scheduleExpiry()
			return
		}
		for _, lapsed := range slices.Clone(e.active) {
			e.endRun(lapsed, outcomeLapsed)
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

// Start handles POST /v1/run-start.
func (e *Executor) Start(order executorapi.RunStart) (int, executorapi.Answer) {
	load, err := parseLoad(order.Descriptor)
	e.trackOrder(order.Fence)
	switch {
	case !e.acceptFence(order.Fence):
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
	e.beginRun(order, load)
	return 200, e.answer("")
}

func (e *Executor) beginRun(order executorapi.RunStart, load Load) {
	started := &activeRun{load: load, startedAt: e.clock.Monotonic(),
		record: RunRecord{Task: order.Task, Run: order.Run, Node: e.config.Node, StartMs: e.clock.WallMs()}}
	e.active = append(e.active, started)
	if !e.isExpiryScheduled {
		e.scheduleExpiry()
	}
	e.runLater(load.Length, func() {
		if slices.Contains(e.active, started) {
			e.endRun(started, e.outcomeOf(order))
		}
	})
}

// outcomeOf returns the outcome of a run that reaches its full length.
func (e *Executor) outcomeOf(order executorapi.RunStart) string {
	if e.config.FailsFirstRuns && order.Run == 1 {
		return outcomeFailed
	}
	return outcomeDone
}

// endRun ends a run and answers all waiting holds.
func (e *Executor) endRun(run *activeRun, outcome string) {
	e.active = slices.DeleteFunc(e.active, func(other *activeRun) bool { return other == run })
	run.record.EndMs, run.record.Outcome = e.clock.WallMs(), outcome
	e.ended = append(e.ended, run.record)
	e.highest[run.record.Task] = max(e.highest[run.record.Task], run.record.Run)
	e.lastEnd++
	e.ends = append(e.ends, executorapi.EndRow{Number: e.lastEnd, Task: run.record.Task, Run: run.record.Run, Outcome: wire.RunOutcome(outcome)})
	waiting := e.waitingHolds
	e.waitingHolds = nil
	for _, hold := range waiting {
		hold.answer(200, e.listRuns())
	}
}

// Stop handles POST /v1/run-stop. The run ends after half of the stop timeout.
func (e *Executor) Stop(order executorapi.RunStop) (int, executorapi.Answer) {
	e.trackOrder(order.Fence)
	if !e.acceptFence(order.Fence) {
		return 409, e.answer(reasonFence)
	}
	e.highest[order.Task] = max(e.highest[order.Task], order.Run)
	if active := e.find(order.Task, order.Run); active != nil {
		e.runLater(e.config.StopTimeout/2, func() {
			if slices.Contains(e.active, active) {
				e.endRun(active, outcomeStopped)
			}
		})
	}
	return 200, e.answer("")
}

// Hold handles POST /v1/hold. If all ends are acknowledged, the answer waits for the next end of a run, for at most WaitMs (limited to
// maxWaitMs).
func (e *Executor) Hold(hold executorapi.Hold, answer func(int, executorapi.Answer)) {
	if !e.acceptFence(hold.Fence) {
		answer(409, e.answer(reasonFence))
		return
	}
	e.ends = slices.DeleteFunc(e.ends, func(row executorapi.EndRow) bool { return row.Number <= hold.LastSeen })
	if hold.ExpiryMs > 0 {
		e.extend(hold.ExpiryMs)
	}
	if len(e.ends) > 0 || hold.WaitMs <= 0 {
		answer(200, e.listRuns())
		return
	}
	waiting := &waitingHold{answer: answer}
	e.waitingHolds = append(e.waitingHolds, waiting)
	e.runLater(clock.Milliseconds(min(hold.WaitMs, maxWaitMs)), func() {
		if index := slices.Index(e.waitingHolds, waiting); index >= 0 {
			e.waitingHolds = slices.Delete(e.waitingHolds, index, index+1)
			waiting.answer(200, e.listRuns())
		}
	})
}

// listRuns returns an answer with the current runs and the first maxEnds ends that are not acknowledged.
func (e *Executor) listRuns() executorapi.Answer {
	answer := e.answer("")
	answer.Ends = slices.Clone(e.ends[:min(len(e.ends), maxEnds)])
	for _, active := range e.active {
		percent := int(100 * (e.clock.Monotonic() - active.startedAt) / max(active.load.Length, 1))
		answer.Running = append(answer.Running,
			executorapi.RunningRow{Task: active.record.Task, Run: active.record.Run, Percent: min(percent, maxPercent)})
	}
	return answer
}

// NextHeartbeat returns the executor's next heartbeat, and increments its sequence number.
func (e *Executor) NextHeartbeat(service, address, domain string) executorapi.Heartbeat {
	e.sequence++
	return executorapi.Heartbeat{Service: service, Address: address, Domain: domain, Version: "v1", Slots: 8, State: "ready",
		Capacity: e.config.Capacity, Labels: e.config.Labels, ClockMs: e.ClockMs(), Sequence: e.sequence}
}

// Counts holds the number of current runs, of all runs ever started, and of calls that a correct sender would not make: calls with a fence
// that was refused more than fenceNoticeTime ago, and orders without a leader's fence.
type Counts struct {
	Running        int `json:"running"`
	Started        int `json:"started"`
	RepeatedFences int `json:"repeated-fences"`
}

// Counts returns the counts of this executor since its start.
func (e *Executor) Counts() Counts {
	return Counts{Running: len(e.active), Started: len(e.active) + len(e.ended), RepeatedFences: e.repeatedFences}
}

// Records returns all runs so far, including the current ones.
func (e *Executor) Records() []RunRecord {
	records := slices.Clone(e.ended)
	for _, active := range e.active {
		records = append(records, active.record)
	}
	return records
}
