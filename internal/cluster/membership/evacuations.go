package membership

import (
	"time"

	"gannetline/internal/cluster/peerapi/wire"
)

// evacuationNotice is what others are told of evacuations: the newest list that was heard of, which is never changed, or nil.
type evacuationNotice struct {
	evacuations *wire.Evacuations
	// evacuatedAt is when this process learned of the order for each zone of the list, on its monotonic clock; it is never changed.
	evacuatedAt map[string]time.Duration
}

// take makes a newer list the one that is told. A zone that the list before had by the same order keeps its time, so that orders for
// other zones don't put off the one for this zone.
func (n *evacuationNotice) take(newer *wire.Evacuations, now time.Duration) {
	evacuatedAt := map[string]time.Duration{}
	for _, evacuated := range newer.Zones {
		evacuatedAt[evacuated.Zone] = now
		if n.evacuations.HasOrder(evacuated) {
			evacuatedAt[evacuated.Zone] = n.evacuatedAt[evacuated.Zone]
		}
	}
	n.evacuations, n.evacuatedAt = newer, evacuatedAt
}

// AnnounceEvacuations takes note of a committed list of evacuations, and spreads it if it is new.
func (t *Table) AnnounceEvacuations(evacuations *wire.Evacuations) { t.mergeEvacuations(evacuations) }

// IsEvacuated tells whether nothing new may be sent to the executors of a zone, as far as this process knows. Any goroutine may ask.
func (n *Node) IsEvacuated(zone string) bool { return n.View().Evacuations.Has(zone) }

// mergeEvacuations takes a list that is newer than the one that is known. Each datagram carries the newest, so that a process which missed
// the announcement learns of it with its next probe.
func (t *Table) mergeEvacuations(evacuations *wire.Evacuations) {
	if !evacuations.IsNewerThan(t.evacuations) {
		return
	}
	t.take(evacuations, t.clock.Monotonic())
	t.isDirty = true
	if !isLeaf(t.self) {
		t.versionRounds = announceRounds
		t.announceVersion()
		t.sendToLeaves()
	}
}
