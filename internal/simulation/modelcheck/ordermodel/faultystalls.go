package ordermodel

import (
	"slices"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/node/localproxy"
)

// The injected faults of this file let jobs wait, or be forgotten, without cause.
const (
	forgottenAfter = 2 * time.Second
	// oneInSkipped ends is left out.
	oneInSkipped = 5
	// ticksDozed is how many ticks a dozing leader sleeps.
	ticksPerRun = int(8 * time.Second / tickInterval)
)

// skippingTable leaves out some ends, and tells the later ones.
type endSkippingTable struct{ faultyTable }

// Compose leaves out each fifth end.
func (t *endSkippingTable) Compose(waitMs int64) (*wire.ExchangeCall, bool) {
	call, isDue := t.Table.Compose(waitMs)
	if isDue {
		call.Ends = slices.DeleteFunc(call.Ends, func(end wire.EndReport) bool { return end.Number%oneInSkipped == 0 })
	}
	return call, isDue
}

// grudgingTable reports, from the first hold that fails on, that its executor has not been held for long.
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

// Compose reports no hold once one has failed.
func (t *staleHoldTable) Compose(waitMs int64) (*wire.ExchangeCall, bool) {
	call, isDue := t.Table.Compose(waitMs)
	if isDue && t.hasFailed {
		call.HoldAgeMs = staleHoldAge.Milliseconds()
	}
	return call, isDue
}

// dozingScheduler does what falls due only at few of its ticks.
type rareTickPool struct {
	poolLeader
	ticks int
}

// Tick does nothing most of the time.
func (s *rareTickPool) Tick() {
	if s.ticks++; s.ticks%ticksPerRun == 0 {
		s.poolLeader.Tick()
	}
}

// silentScheduler leaves the questions for one job in eight without an answer.
type silentStatePool struct{ poolLeader }

// State answers for all jobs but those whose ID ends with certain digits.
func (s silentStatePool) State(call *wire.ClientCall, answer func(wire.ClientAnswer)) {
	if call.ID[len(call.ID)-1]%8 != 3 {
		s.poolLeader.State(call, answer)
	}
}
