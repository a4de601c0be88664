package membership

import (
	"time"

	"gannetline/internal/cluster/peerapi/wire"
)

// evacuationState holds the newest known list of evacuations, which is immutable, or nil.
type evacuationState struct {
	evacuations *wire.Evacuations
	// evacuatedAt holds for each zone of the list the time at which this process received the order, on its monotonic clock. The map is
	// immutable.
	evacuatedAt map[string]time.Duration
}

// replace replaces the list by a newer one. A zone that is in the previous list by the same order keeps its time in evacuatedAt, so that an
// order for one zone doesn't restart the times of others.
func (s *evacuationState) replace(newer *wire.Evacuations, now time.Duration) {
	evacuatedAt := map[string]time.Duration{}
	for _, evacuated := range newer.Zones {
		evacuatedAt[evacuated.Zone] = now
		if s.evacuations.HasOrder(evacuated) {
			evacuatedAt[evacuated.Zone] = s.evacuatedAt[evacuated.Zone]
		}
	}
	s.evacuations, s.evacuatedAt = newer, evacuatedAt
}

// AnnounceEvacuations records a committed list of evacuations, and announces it to other processes if it is new.
func (t *Table) AnnounceEvacuations(evacuations *wire.Evacuations) { t.mergeEvacuations(evacuations) }

// IsEvacuated reports whether the zone is being evacuated according to the list that this process holds, so that nothing new may be sent
// to its executors. Any goroutine may call it.
func (n *Node) IsEvacuated(zone string) bool { return n.View().Evacuations.Has(zone) }

// mergeEvacuations replaces the known list by a newer one, and announces it unless this process is a local proxy. Each datagram carries the
// newest list, so that a process that missed the announcement gets the list with the next probe.
func (t *Table) mergeEvacuations(evacuations *wire.Evacuations) {
	if !evacuations.IsNewerThan(t.evacuations) {
		return
	}
	t.replace(evacuations, t.clock.Monotonic())
	t.isDirty = true
	if !isLeaf(t.self) {
		t.announceTicksLeft = announceTicks
		t.announceDigest()
		t.sendToLeaves()
	}
}
