package modelcheck

import (
	"io"
	"runtime"
	"sync/atomic"
	"time"

	"gannetline/internal/platform/clock"
)

// Budget determines which schedules of a model are run.
type Budget struct {
	Seed      uint64
	Schedules int
	// Losses is the number of disks that the system must tolerate losing at the same time.
	Losses int
	Size   Size
	// Fault is the name of the injected fault of all schedules, or empty.
	Fault string
	// Workers is how many schedules run concurrently. Below 1 it is GOMAXPROCS. The result doesn't depend on it.
	Workers int
}

// Progress is the number of schedules whose outcomes have been checked, the time since the start of Run, and the coverage of these
// schedules.
type Progress struct {
	Done     int
	Took     time.Duration
	Coverage Coverage
}

// Tracer is a model that can write a trace of a run.
type Tracer interface {
	// Trace runs a schedule as Run does and writes a line for each event.
	Trace(schedule Schedule, to io.Writer) Outcome
}

// Finding is the schedule with the lowest number in a budget whose run broke an invariant.
type Finding struct {
	Number   int
	Schedule Schedule
	Outcome  Outcome
}

// Schedules are run in rounds. After each round the outcomes are checked for violations.
const (
	schedulesPerRound      = 2000
	schedulesPerRoundLarge = 16
)

func (b Budget) schedulesPerRound() int {
	if b.Size == SizeLarge {
		return schedulesPerRoundLarge
	}
	return schedulesPerRound
}

// Run runs the schedules of a budget until one breaks an invariant. It returns that schedule, or nil, and the progress up to it. It calls
// report after each round without a violation. The finding doesn't depend on the number of workers, since it is always the failing
// schedule with the lowest number.
func Run(model Model, budget Budget, report func(Progress)) (*Finding, Progress) {
	clock := clock.System()
	startedAt := clock.Monotonic()
	progress := Progress{Coverage: Coverage{}}
	for progress.Done < budget.Schedules {
		count := min(budget.schedulesPerRound(), budget.Schedules-progress.Done)
		outcomes := runRound(model, budget, progress.Done, count)
		for index, outcome := range outcomes {
			progress.Done++
			progress.Coverage.Add(outcome.Coverage)
			if len(outcome.Violations) > 0 {
				number := progress.Done - 1
				progress.Took = clock.Monotonic() - startedAt
				return &Finding{number, budget.schedule(model, number), outcomes[index]}, progress
			}
		}
		progress.Took = clock.Monotonic() - startedAt
		report(progress)
	}
	return nil, progress
}

// runRound runs count schedules from number first on. Once a schedule has failed, those with higher numbers may be left out. Their
// outcomes are then empty.
func runRound(model Model, budget Budget, first, count int) []Outcome {
	outcomes := make([]Outcome, count)
	workers := budget.Workers
	if workers < 1 {
		workers = runtime.GOMAXPROCS(0)
	}
	var next atomic.Int64
	var firstFailed atomic.Int64
	firstFailed.Store(int64(count))
	workerDone := make(chan struct{})
	for range workers {
		go func() {
			defer func() { workerDone <- struct{}{} }()
			for {
				index := int(next.Add(1)) - 1
				if index >= count || int64(index) > firstFailed.Load() {
					return
				}
				outcomes[index] = model.Run(budget.schedule(model, first+index))
				if len(outcomes[index].Violations) > 0 {
					lowerTo(&firstFailed, int64(index))
				}
			}
		}()
	}
	for range workers {
		<-workerDone
	}
	return outcomes
}

// lowerTo sets a counter to the minimum of its value and another one.
func lowerTo(counter *atomic.Int64, value int64) {
	for {
		old := counter.Load()
		if old <= value || counter.CompareAndSwap(old, value) {
			return
		}
	}
}

func (b Budget) schedule(model Model, number int) Schedule {
	schedule := model.Draw(mixSeed(b.Seed, uint64(number)), b.Losses, b.Size)
	schedule.InjectedFault = b.Fault
	return schedule
}

// mixSeed derives the seed of a schedule from the seed of the budget and the schedule's number, with the mixing function of splitmix64.
func mixSeed(seed, number uint64) uint64 {
	value := seed*0x9e3779b97f4a7c15 + number*0xbf58476d1ce4e5b9 + 1
	value = (value ^ value>>30) * 0xbf58476d1ce4e5b9
	value = (value ^ value>>27) * 0x94d049bb133111eb
	return value ^ value>>31
}
