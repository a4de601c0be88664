package ordermodel

import (
	"slices"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/node/localproxy"
)

// The injected faults of this file cause jobs to wait or to be forgotten without a reason.
const (
	forgottenAfter = 2 * time.Second
	// One in oneInSkipped ends is left out.
	oneInSkipped = 5
	// ticksPerRun is how many ticks a rareTickPool gets for each one that it runs: those of eight seconds.
	ticksPerRun = int(8 * time.Second / tickInterval)
)

// endSkippingTable leaves out some ends, and reports the later ones.
type endSkippingTable struct{ faultyTable }

// Compose leaves out each fifth end.
func (t *endSkippingTable) Compose(waitMs int64) (*wire.ExchangeCall, bool) {
	call, isDue := t.Table.Compose(waitMs)
	if isDue {
		call.Ends = slices.DeleteFunc(call.Ends, func(end wire.EndReport) bool { return end.Number%oneInSkipped == 0 })
	}
	return call, isDue
}

// staleHoldTable reports an old hold of its executor, from the first hold that fails on.
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

// rareTickPool does the work that is due only at few of its ticks.
type rareTickPool struct {
	poolLeader
	ticks int
}

// Tick runs only each ticksPerRun-th tick.
func (s *rareTickPool) Tick() {
	if s.ticks++; s.ticks%ticksPerRun == 0 {
		s.poolLeader.Tick()
	}
}

// silentStatePool doesn't answer requests for the state of one in eight jobs.
type silentStatePool struct{ poolLeader }

// State answers for all jobs but those whose IDs end with certain digits.
func (s silentStatePool) State(call *wire.ClientCall, answer func(wire.ClientAnswer)) {
	if call.ID[len(call.ID)-1]%8 != 3 {
		s.poolLeader.State(call, answer)
	}
}
