package coordination

import (
	"cmp"
	"slices"

	"gannetline/internal/cluster/peerapi/wire"
)

// Report answers an operator with the sizes of the partition's tables and the holders of its locks, sorted by name.
func (p *Part) Report(_ *wire.ClientCall, answer answerClient) {
	now := p.Clock.Monotonic()
	report := &wire.CoordinationReport{Key: p.key, Epoch: p.leadership.Epoch(), Locks: []wire.LockReport{}, Numbers: len(p.numbers.byName),
		Cells: p.cells.cellCount, Events: p.cells.eventCount, Watchers: p.cells.watcherCount, Bytes: p.cells.bytes}
	for name, lock := range p.locks.byName {
		if now < lock.expiresAt {
			report.Locks = append(report.Locks, wire.LockReport{Name: name, Holder: lock.holder, Fence: lock.fence,
				HeldMs: (now - lock.acquiredAt).Milliseconds(), RemainingMs: (lock.expiresAt - now).Milliseconds()})
		}
	}
	slices.SortFunc(report.Locks, func(a, b wire.LockReport) int { return cmp.Compare(a.Name, b.Name) })
	p.answerUnderLease(p.success(report), answer)
}

// updateGauges sets the gauges of the partition to the sizes of its tables.
func (p *Part) updateGauges() {
	heldLocks.With(p.key).Set(float64(len(p.locks.byName)))
	keptEvents.With(p.key).Set(float64(p.cells.eventCount))
	waitingWatchers.With(p.key).Set(float64(p.cells.watcherCount))
}
