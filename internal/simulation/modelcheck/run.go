package modelcheck

import (
	"io"
	"runtime"
	"sync/atomic"
	"time"

	"gannetline/internal/platform/clock"
)

// Budget says which schedules of a model are run.
type Budget struct {
	Seed      uint64
	Schedules int
	Losses    int
	Size      Size
	// Fault names the injected fault of all schedules, or is empty.
	Fault string
	// Workers is how many schedules run at once; the result doesn't depend on it.
	Workers int
}

// Progress is what has been run so far.
type Progress struct {
	Done     int
	Took     time.Duration
	Coverage Coverage
}

// Tracer is a model that can say what happens in a run.
type Tracer interface {
	// Trace plays a schedule as Run does and writes what happens, a line an event.
	Trace(schedule Schedule, to io.Writer) Outcome
}

// Finding is the first schedule of a budget, by number, whose run broke an invariant.
type Finding struct {
	Number   int
	Schedule Schedule
	Outcome  Outcome
}

// Schedules are run in rounds; what was found is looked at between two rounds.
const (
	perRound      = 2000
	perRoundLarge = 16
)

func (b Budget) perRound() int {
	if b.Size == SizeLarge {
		return perRoundLarge
	}
	return perRound
}

// Run plays the schedules of a budget until one breaks an invariant, which it returns with what was run until then.
// Schedules are handed out in rounds, so that the same one is found whatever the number of workers.
func Run(model Model, budget Budget, report func(Progress)) (*Finding, Progress) {
	clock := clock.System()
	began := clock.Monotonic()
	progress := Progress{Coverage: Coverage{}}
	for progress.Done < budget.Schedules {
		count := min(budget.perRound(), budget.Schedules-progress.Done)
		outcomes := runRound(model, budget, progress.Done, count)
		for place, outcome := range outcomes {
			progress.Done++
			progress.Coverage.Add(outcome.Coverage)
			if len(outcome.Violations) > 0 {
				number := progress.Done - 1
				progress.Took = clock.Monotonic() - began
				return &Finding{number, budget.schedule(model, number), outcomes[place]}, progress
			}
		}
		progress.Took = clock.Monotonic() - began
		report(progress)
	}
	return nil, progress
}

func runRound(model Model, budget Budget, first, count int) []Outcome {
	outcomes := make([]Outcome, count)
	workers := budget.Workers
	if workers < 1 {
		workers = runtime.GOMAXPROCS(0)
	}
	var next atomic.Int64
	var failed atomic.Int64
	failed.Store(int64(count))
	ended := make(chan struct{})
	for range workers {
		go func() {
			defer func() { ended <- struct{}{} }()
			for {
				place := int(next.Add(1)) - 1
				if place >= count || int64(place) > failed.Load() {
					return
				}
				outcomes[place] = model.Run(budget.schedule(model, first+place))
				if len(outcomes[place].Violations) > 0 {
					lowerTo(&failed, int64(place))
				}
			}
		}()
	}
	for range workers {
		<-ended
	}
	return outcomes
}

func lowerTo(counter *atomic.Int64, value int64) {
	for {
		old := counter.Load()
		if old <= value || counter.CompareAndSwap(old, value) {
			return
		}
	}
}

func (b Budget) schedule(model Model, number int) Schedule {
	schedule := model.Draw(mix(b.Seed, uint64(number)), b.Losses, b.Size)
	schedule.InjectedFault = b.Fault
	return schedule
}

// mix makes a seed for each schedule (splitmix64).
func mix(seed, number uint64) uint64 {
	value := seed*0x9e3779b97f4a7c15 + number*0xbf58476d1ce4e5b9 + 1
	value = (value ^ value>>30) * 0xbf58476d1ce4e5b9
	value = (value ^ value>>27) * 0x94d049bb133111eb
	return value ^ value>>31
}
