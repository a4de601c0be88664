package membership

import "time"

// Timing holds the intervals and timeouts of the failure detector.
type Timing struct {
	// Period is the time between two probes. If a probed member does not answer within AckTimeout, IndirectProbes other members are asked
	// to probe it.
	Period         time.Duration
	AckTimeout     time.Duration
	IndirectProbes int
	// SuspectFor is the time that a member stays suspect before it is gone. Its record is dropped ForgetAfter later.
	SuspectFor  time.Duration
	ForgetAfter time.Duration
	// Fanout is the number of members that a broadcast of changes is sent to. LeaderFanout is that number if a key has a new leader.
	Fanout       int
	LeaderFanout int
	// LeafPingInterval is the time between two pings of a local proxy. A steward pushes changes to it for LeafTimeout after each ping.
	LeafPingInterval time.Duration
	LeafTimeout      time.Duration
	// IsolatedAfter is the time without an answer after which a local proxy is isolated (View.IsIsolated).
	IsolatedAfter time.Duration
}

// DefaultTiming marks a silent member as gone about 3.5 s after it is probed.
var DefaultTiming = Timing{Period: 700 * time.Millisecond, AckTimeout: 250 * time.Millisecond,
	SuspectFor: 2500 * time.Millisecond, ForgetAfter: 120 * time.Second, Fanout: 3, LeaderFanout: 6, IndirectProbes: 2,
	LeafPingInterval: 1400 * time.Millisecond, LeafTimeout: 13 * time.Second, IsolatedAfter: 3 * time.Second}
