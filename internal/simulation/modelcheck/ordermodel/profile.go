package ordermodel

import (
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/scheduling/scheduler"
	"gannetline/internal/simulation/modelcheck"
)

// profile is a size of the simulated system: its machines, the settings of its scheduler, its jobs, and the bounds of the oracles.
type profile struct {
	executors int
	gates     int
	// rackSize is the number of machines in a rack.
	rackSize int
	// partitionBits is the number of groups of machines; a partition of the network puts each group on one of its sides.
	partitionBits int
	capacity      func(number int) wire.Capacity
	// isGuarding reports whether an executor refuses starts beyond its capacity.
	isGuarding func(number int) bool
	timing     scheduler.Timing
	shapes     []shape
	// work returns how long a run takes and its outcome, which depend only on its task and number, its step and its executor.
	work func(execution *modelExecution) (time.Duration, string)

	// gangWait is how long a member of a gang waits for the others before it ends alone.
	gangWait time.Duration
	// cancelTime is how long after the acknowledgement of a cancel a run of the job may still start.
	cancelTime time.Duration
	// contactTime is how long the effects of a fault may last after its end. The oracles don't check limits of time until then.
	contactTime time.Duration
	// settleTime is how long after the last step of a schedule jobs may take until they are over.
	settleTime time.Duration
	// progressTimeout is the time within which a run of a job must have been done if the job is not over after settleTime; 0 if
	// all jobs must be over by then.
	progressTimeout time.Duration
	// inspectInterval is the pause after a client's request for the state of a job until the next such request.
	inspectInterval time.Duration
	// stallCheckInterval is the interval of the checks for stalled jobs.
	stallCheckInterval time.Duration
}

// smallProfile has few machines and jobs, so that very many schedules can be played.
var smallProfile = &profile{executors: 3, gates: 2, rackSize: 1, partitionBits: 3,
	capacity:   func(int) wire.Capacity { return wire.Capacity{CPU: 4000, Memory: 8192} },
	isGuarding: func(number int) bool { return number == 0 },
	timing: scheduler.Timing{Grant: 4800 * time.Millisecond, MaxHold: 6 * time.Second, Resend: 200 * time.Millisecond,
		MaxResend: time.Second, HoldStale: 2500 * time.Millisecond, SilentAfter: 900 * time.Millisecond,
		StopTimeout: 400 * time.Millisecond, StuckAfter: 2 * time.Second, KeepEnded: 150 * time.Second, RemoteFactor: 1.5,
		ReservedCapacity: scheduler.DefaultReservedCapacity},
	shapes: smallShapes, work: smallWork, gangWait: 3 * time.Second, cancelTime: 3 * time.Second, contactTime: 3 * time.Second,
	settleTime: 40 * time.Second, inspectInterval: 300 * time.Millisecond, stallCheckInterval: 100 * time.Millisecond}

// largeProfile has the size of a large deployment: 240 executors in racks of twenty, and jobs of up to hundreds of tasks.
var largeProfile = &profile{executors: 240, gates: 4, rackSize: 20, partitionBits: 12,
	capacity: func(number int) wire.Capacity {
		if number%3 == 2 {
			return wire.Capacity{CPU: 96000, Memory: 196608}
		}
		return wire.Capacity{CPU: 64000, Memory: 131072}
	},
	isGuarding: func(number int) bool { return number%2 == 0 },
	timing: scheduler.Timing{Grant: 4800 * time.Millisecond, MaxHold: 6 * time.Second, Resend: 200 * time.Millisecond,
		MaxResend: time.Second, HoldStale: 2500 * time.Millisecond, SilentAfter: 900 * time.Millisecond,
		StopTimeout: 900 * time.Millisecond, StuckAfter: 2 * time.Second, KeepEnded: 150 * time.Second, RemoteFactor: 3,
		ReservedCapacity: scheduler.DefaultReservedCapacity},
	shapes: largeShapes, work: largeWork, gangWait: 5 * time.Second, cancelTime: 5 * time.Second, contactTime: 5 * time.Second,
	settleTime: 60 * time.Second, progressTimeout: 20 * time.Second, inspectInterval: 10 * time.Millisecond, stallCheckInterval: 200 * time.Millisecond}

func profileOf(size modelcheck.Size) *profile {
	if size == modelcheck.SizeLarge {
		return largeProfile
	}
	return smallProfile
}
