package membership

import "time"

// Timing is how often members are probed and when they are given up.
type Timing struct {
	// Period lies between two probes; a probed member answers within AnswerWait, else IndirectProbes others probe it.
	Period         time.Duration
	AnswerWait     time.Duration
	IndirectProbes int
	// SuspectFor is how long a member stays suspect before it is gone; ForgetAfter is when its record is dropped.
	SuspectFor  time.Duration
	ForgetAfter time.Duration
	// Fanout is how many members are sent changes at once, and LeaderFanout how many if a key has a new leader.
	Fanout       int
	LeaderFanout int
	// LeafPeriod lies between two pings of a local-proxy; a steward pushes to it for LeafKeep after one.
	LeafPeriod time.Duration
	LeafKeep   time.Duration
	// IsolatedAfter is how long the pings of a local-proxy go unanswered before its view says so (View.IsIsolated).
	IsolatedAfter time.Duration
}

// DefaultTiming finds a silent member in about three and a half seconds.
var DefaultTiming = Timing{Period: 700 * time.Millisecond, AnswerWait: 250 * time.Millisecond,
	SuspectFor: 2500 * time.Millisecond, ForgetAfter: 120 * time.Second, Fanout: 3, LeaderFanout: 6, IndirectProbes: 2,
	LeafPeriod: 1400 * time.Millisecond, LeafKeep: 13 * time.Second, IsolatedAfter: 3 * time.Second}
