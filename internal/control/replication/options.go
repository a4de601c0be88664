package replication

import (
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/replication/quorum"
	"gannetline/internal/platform/logging"
)

// Timing holds the intervals and timeouts of the replication protocol.
type Timing struct {
	// Lease is how long a voter that has answered a leader grants no promise to another disk.
	Lease time.Duration
	// Heartbeat is the interval between two heartbeats to a follower.
	Heartbeat time.Duration
	// Stagger is the base delay between the campaigns of consecutive candidates in a key's ranking. It avoids split votes.
	Stagger time.Duration
	// LostAfter is the time without an answer after which a voter counts as lost.
	LostAfter time.Duration
}

// DefaultTiming elects a new leader about one second after the old one has failed.
var DefaultTiming = Timing{Lease: 700 * time.Millisecond, Heartbeat: 175 * time.Millisecond,
	Stagger: 100 * time.Millisecond, LostAfter: 1500 * time.Millisecond}

// defaultVoterGoal tolerates the loss of one disk.
const defaultVoterGoal = 3

// options holds the optional settings of an engine.
type options struct {
	initialVoters []string
	// voterGoal is the number of voters that the key should have: 2f+1 to tolerate f losses.
	voterGoal int
	timing    Timing
	log       logging.Logger
	announce  func(wire.KeyLeader)
	// hasPreferredLeader makes the leader transfer the key to the first voter in the key's ranking once that voter is eligible.
	hasPreferredLeader bool
}

func defaultOptions() options {
	return options{voterGoal: defaultVoterGoal, timing: DefaultTiming, log: logging.Silent(), announce: func(wire.KeyLeader) {}}
}

// Option changes an optional setting of an engine.
type Option func(*options)

// WithInitialVoters sets the disks that may bootstrap the key while none of them holds a replica of it.
func WithInitialVoters(voters []string) Option { return func(o *options) { o.initialVoters = voters } }

// WithMachineLosses sets how many disks a key must be able to lose at once without losing its data or its quorum. The minimum is one.
// The key gets 2*losses+1 voters.
func WithMachineLosses(losses int) Option {
	return func(o *options) { o.voterGoal = quorum.VotersFor(losses) }
}

// WithPreferredLeader transfers the key to the first voter in the key's ranking once that voter has been eligible for a while. It suits
// keys that are numerous and whose state is quick to read.
func WithPreferredLeader() Option { return func(o *options) { o.hasPreferredLeader = true } }

// WithLog sets the engine's logger. Without it the engine logs nothing.
func WithLog(log logging.Logger) Option { return func(o *options) { o.log = log } }

// WithAnnounce sets the function that is called with each new leadership of this engine.
func WithAnnounce(announce func(wire.KeyLeader)) Option {
	return func(o *options) { o.announce = announce }
}
