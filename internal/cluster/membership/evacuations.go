package membership

import (
	"time"

	"gannetline/internal/cluster/peerapi/wire"
)

// evacuationNotice is what others are told of evacuations: the newest list that was heard of, which is never changed, or nil.
type evacuationNotice struct {
	evacuations *wire.Evacuations
	// evacuationsAt is when this process learned of the list.
	evacuationsAt time.Duration
}

// HoldsEvacuations takes note of a committed list of evacuations, and spreads it if it is new.
func (t *Table) HoldsEvacuations(evacuations *wire.Evacuations) { t.mergeEvacuations(evacuations) }

// IsEvacuated tells whether nothing new may be sent to the executors of a zone, as far as this process knows. Any goroutine may ask.
func (n *Node) IsEvacuated(zone string) bool { return n.View().Evacuations.Has(zone) }

// mergeEvacuations takes a list that is newer than the one that is known. Each datagram carries the newest, so that a process which missed
// the announcement learns of it with its next probe.
func (t *Table) mergeEvacuations(evacuations *wire.Evacuations) {
	if !evacuations.IsNewerThan(t.evacuations) {
		return
	}
	t.evacuations, t.evacuationsAt, t.isDirty = evacuations, t.clock.Monotonic(), true
	if !isLeaf(t.self) {
		t.versionRounds = announceRounds
		t.announceVersion()
		t.sendToLeaves()
	}
}
