package ordermodel

import (
	"slices"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/node/localproxy"
)

// Settings of injected faults. The faults of this file have jobs wait or be forgotten without a reason.
const (
	// forgottenAfter is how long a leader remembers ended jobs with faultForgottenEarly.
	forgottenAfter = 2 * time.Second
	// An endSkippingTable leaves out one in oneInSkipped ends.
	oneInSkipped = 5
	// A rareTickPool runs one in ticksPerRun ticks, which is one tick in eight seconds.
	ticksPerRun = int(8 * time.Second / tickInterval)
)

// endSkippingTable leaves out some ends of its reports, although it reports later ends.
type endSkippingTable struct{ faultyTable }

// Compose leaves out the ends whose numbers are multiples of oneInSkipped.
func (t *endSkippingTable) Compose(waitMs int64) (*wire.ExchangeCall, bool) {
	call, isDue := t.Table.Compose(waitMs)
	if isDue {
		call.Ends = slices.DeleteFunc(call.Ends, func(end wire.EndReport) bool { return end.Number%oneInSkipped == 0 })
	}
	return call, isDue
}

// staleHoldTable reports the last hold of its executor as very old once a hold has failed.
type staleHoldTable struct {
	faultyTable
	hasFailed bool
}

const staleHoldAge = time.Hour

// HandleHoldFailure remembers the failure for ever.
func (t *staleHoldTable) HandleHoldFailure(work localproxy.HoldWork, isOtherExecutor bool) {
	t.hasFailed = true
	t.Table.HandleHoldFailure(work, isOtherExecutor)
}

// Compose reports staleHoldAge as the age of the hold once one has failed.
func (t *staleHoldTable) Compose(waitMs int64) (*wire.ExchangeCall, bool) {
	call, isDue := t.Table.Compose(waitMs)
	if isDue && t.hasFailed {
		call.HoldAgeMs = staleHoldAge.Milliseconds()
	}
	return call, isDue
}

// rareTickPool skips most of its ticks.
type rareTickPool struct {
	poolLeader
	ticks int
}

// Tick runs the pool's tick once in ticksPerRun calls.
func (s *rareTickPool) Tick() {
	if s.ticks++; s.ticks%ticksPerRun == 0 {
		s.poolLeader.Tick()
	}
}

// silentStatePool doesn't answer requests for the state of one in eight jobs.
type silentStatePool struct{ poolLeader }

// State does not answer for jobs whose IDs end with 3 or c.
func (s silentStatePool) State(call *wire.ClientCall, answer func(wire.ClientAnswer)) {
	if call.ID[len(call.ID)-1]%8 != 3 {
		s.poolLeader.State(call, answer)
	}
}
