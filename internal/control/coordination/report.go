package coordination

import (
	"cmp"
	"slices"

	"gannetline/internal/cluster/peerapi/wire"
)

// Report tells an operator what the part holds, and who has its locks.
func (p *Part) Report(_ *wire.ClientCall, answer answerClient) {
	now := p.Clock.Monotonic()
	report := &wire.CoordinationReport{Key: p.key, Epoch: p.leadership.Epoch(), Locks: []wire.LockReport{}, Numbers: len(p.numbers.byName),
		Cells: p.cells.count, Events: p.cells.eventCount, Watchers: p.cells.watcherCount, Bytes: p.cells.bytes}
	for name, lock := range p.locks.byName {
		if now < lock.until {
			report.Locks = append(report.Locks, wire.LockReport{Name: name, Holder: lock.holder, Fence: lock.fence,
				HeldMs: (now - lock.since).Milliseconds(), RemainingMs: (lock.until - now).Milliseconds()})
		}
	}
	slices.SortFunc(report.Locks, func(a, b wire.LockReport) int { return cmp.Compare(a.Name, b.Name) })
	p.answerUnderLease(p.success(report), answer)
}

// reportSize brings the gauges up to date.
func (p *Part) reportSize() {
	heldLocks.With(p.key).Set(float64(len(p.locks.byName)))
	keptEvents.With(p.key).Set(float64(p.cells.eventCount))
	waitingWatchers.With(p.key).Set(float64(p.cells.watcherCount))
}
