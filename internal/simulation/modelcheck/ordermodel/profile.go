package ordermodel

import (
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/scheduling/scheduler"
	"gannetline/internal/simulation/modelcheck"
)

// profile is a size of the modelled system: its machines, the bounds of its deployment, and the work of its jobs.
type profile struct {
	executors int
	gates     int
	// rackSize is how many machines share a rack.
	rackSize int
	// partitionBits is into how many parts the machines fall when the network is split.
	partitionBits int
	capacity      func(number int) wire.Capacity
	// isGuarding tells whether an executor turns away starts beyond its room.
	isGuarding func(number int) bool
	timing     scheduler.Timing
	shapes     []shape
	// work is how long a run takes and how it ends; it depends on nothing but its name, its step and its executor.
	work func(execution *modelExecution) (time.Duration, string)

	gangWait    time.Duration
	cancelTime  time.Duration
	contactTime time.Duration
	// settleTime is how long after the last fault jobs may take until they are over.
	settleTime time.Duration
	// progressWithin is how lately a run of a job must have ended as done if it is not over by then; 0 where it must be over.
	progressTimeout time.Duration
	// inspectInterval is the pause between two questions of clients for the state of a job.
	inspectInterval time.Duration
	// stallEvery is how often the oracle of stalled jobs looks.
	stallCheckInterval time.Duration
}

// smallProfile has few machines and jobs, so that hundreds of schedules a second can be played.
var smallProfile = &profile{executors: 3, gates: 2, rackSize: 1, partitionBits: 3,
	capacity:   func(int) wire.Capacity { return wire.Capacity{CPU: 4000, Memory: 8192} },
	isGuarding: func(number int) bool { return number == 0 },
	timing: scheduler.Timing{Grant: 4800 * time.Millisecond, MaxHold: 6 * time.Second, Resend: 200 * time.Millisecond,
		MaxResend: time.Second, HoldStale: 2500 * time.Millisecond, SilentAfter: 900 * time.Millisecond,
		StopTimeout: 400 * time.Millisecond, StuckAfter: 2 * time.Second, KeepEnded: 150 * time.Second, RemoteFactor: 1.5,
		ReservedCapacity: scheduler.DefaultReservedCapacity},
	shapes: smallShapes, work: smallWork, gangWait: 3 * time.Second, cancelTime: 3 * time.Second, contactTime: 3 * time.Second,
	settleTime: 40 * time.Second, inspectInterval: 300 * time.Millisecond, stallCheckInterval: 100 * time.Millisecond}

// largeProfile has the sizes of a large deployment: 240 executors in racks of twenty, jobs of up to hundreds of tasks.
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
