package replication

import (
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/replication/quorum"
	"gannetline/internal/platform/logging"
)

// Timing of the replication.
type Timing struct {
	// Lease is how long a voter that has answered a leader promises nobody else.
	Lease time.Duration
	// Heartbeat is the pause between two heartbeats to a follower.
	Heartbeat time.Duration
	// Stagger is the pause by which candidates keep out of each other's way.
	Stagger time.Duration
	// LostAfter is the silence after which a voter counts as lost.
	LostAfter time.Duration
}

// DefaultTiming finds a new leader about a second after the old one has gone.
var DefaultTiming = Timing{Lease: 700 * time.Millisecond, Heartbeat: 175 * time.Millisecond,
	Stagger: 100 * time.Millisecond, LostAfter: 1500 * time.Millisecond}

// defaultVoterGoal bears the loss of one disk.
const defaultVoterGoal = 3

// options are what an engine may be made with beyond what it can't do without.
type options struct {
	initialVoters []string
	// voterGoal is how many voters the key should have, 2f+1 for f losses.
	voterGoal int
	timing    Timing
	log       logging.Logger
	announce  func(wire.KeyLeader)
	// hasPreferredLeader has the first voter in the key's own order lead, whenever it is fit to.
	hasPreferredLeader bool
}

func defaultOptions() options {
	return options{voterGoal: defaultVoterGoal, timing: DefaultTiming, log: logging.Silent(), announce: func(wire.KeyLeader) {}}
}

// Option changes how an engine is made.
type Option func(*options)

// WithInitialVoters names the disks that may bootstrap the key where none of them holds it yet.
func WithInitialVoters(voters []string) Option { return func(o *options) { o.initialVoters = voters } }

// WithMachineLosses sets how many disks a key must be able to lose at once; its voters grow to twice that and one.
func WithMachineLosses(losses int) Option {
	return func(o *options) { o.voterGoal = quorum.VotersFor(losses) }
}

// WithPreferredLeader has the key move to the first voter in the key's own order once that has been fit to lead for a while. It suits keys
// of which there are many, and whose state is soon read.
func WithPreferredLeader() Option { return func(o *options) { o.hasPreferredLeader = true } }

// WithLog gives the engine a logger; without it, it logs nothing.
func WithLog(log logging.Logger) Option { return func(o *options) { o.log = log } }

// WithAnnounce names the function that gets each new leadership of this engine.
func WithAnnounce(announce func(wire.KeyLeader)) Option {
	return func(o *options) { o.announce = announce }
}
