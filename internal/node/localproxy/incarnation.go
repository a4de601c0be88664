package localproxy

import (
	"net/http"
	"slices"
	"time"

	"gannetline/internal/node/executorapi"
	"gannetline/internal/platform/clock"
)

const (
	// maxGone is how many ended incarnations are remembered, so that their late heartbeats are refused.
	maxGone = 4
	// defaultDrainTime is the drain time if WithDrainTime is not given.
	defaultDrainTime = 2 * time.Second
)

// stateDraining is the state in the heartbeat of an executor that takes no new runs.
const stateDraining = "draining"

// Heartbeat handles an executor's heartbeat and returns the HTTP status of the answer. A problem is returned if it is refused.
func (t *Table) Heartbeat(id string, heartbeat *executorapi.Heartbeat) (status int, problem string) {
	if heartbeat.Service != t.service {
		return http.StatusUnprocessableEntity, "service " + heartbeat.Service + " is unknown on this machine"
	}
	if slices.Contains(t.gone, id) {
		return http.StatusConflict, "this executor is over"
	}
	if known := t.find(id); known != nil && heartbeat.Sequence <= known.sequence && heartbeat.Sequence != 0 {
		return http.StatusConflict, "field call-sequence is old"
	}
	t.makeCurrent(id)
	t.storeHeartbeat(t.current, heartbeat)
	return http.StatusOK, ""
}

// storeHeartbeat stores the heartbeat as the latest of its sender. The start of a drain is reported at once.
func (t *Table) storeHeartbeat(sender *executorState, heartbeat *executorapi.Heartbeat) {
	sender.sequence, sender.heartbeat = heartbeat.Sequence, *heartbeat
	if heartbeat.ClockMs > 0 {
		t.sample(sender, heartbeat.ClockMs)
	}
	if heartbeat.State == stateDraining && !sender.isDraining {
		sender.isDraining = true
		t.log.Info("executor draining", "executor", sender.id, "departure_ms", heartbeat.DepartureMs)
		t.onReportDue()
	}
	if heartbeat.DepartureMs > 0 {
		sender.departureAt = t.now() + clock.Milliseconds(heartbeat.DepartureMs)
	}
}

// currentWithID returns the current incarnation if it has this ID, else nil.
func (t *Table) currentWithID(id string) *executorState {
	if t.current != nil && t.current.id == id {
		return t.current
	}
	return nil
}

// find returns the incarnation with this ID, or nil if there is none or it is known to have ended.
func (t *Table) find(id string) *executorState {
	if current := t.currentWithID(id); current != nil {
		return current
	}
	for _, other := range t.others {
		if other.id == id {
			return other
		}
	}
	return nil
}

// makeCurrent makes the sender of a heartbeat the current incarnation. A heartbeat may arrive late, so the previous incarnation
// counts as gone only once this one has answered a hold.
func (t *Table) makeCurrent(id string) {
	if t.currentWithID(id) != nil {
		return
	}
	next := t.find(id)
	if next == nil {
		t.log.Info("executor registered", "executor", id)
		next = t.newIncarnation(id)
	}
	t.others = slices.DeleteFunc(t.others, func(other *executorState) bool { return other == next })
	if t.current != nil {
		t.others = append(t.others, t.current)
	}
	next.currentSince = t.now()
	t.current = next
	if slices.Contains(t.deregistered, id) {
		t.deregister(next)
	}
	t.onAckDue()
	t.onReportDue()
}

// confirmCurrent ends all other incarnations: the current one has answered a hold, and only one runs on the machine at a time.
func (t *Table) confirmCurrent() {
	for _, other := range t.others {
		t.markGone(other.id)
	}
	if len(t.others) > 0 {
		t.others = nil
		t.onReportDue()
	}
}

// endOther ends an incarnation that is not the current one, after another incarnation answered at its address.
func (t *Table) endOther(id string) {
	for index, other := range t.others {
		if other.id == id {
			t.others = slices.Delete(t.others, index, index+1)
			t.markGone(id)
			t.onReportDue()
			return
		}
	}
}

// endCurrent ends the current incarnation. The latest of the others, if any, becomes current, as it may be the running one.
func (t *Table) endCurrent() {
	t.markGone(t.current.id)
	t.current = nil
	if count := len(t.others); count > 0 {
		t.current, t.others = t.others[count-1], t.others[:count-1]
		t.current.currentSince = t.now()
		t.onAckDue()
	}
	t.onReportDue()
}

// appendRecent appends the ID of an incarnation to a list and keeps the last maxGone entries.
func appendRecent(ids []string, id string) []string {
	ids = append(ids, id)
	return ids[max(0, len(ids)-maxGone):]
}

// markGone records that an incarnation has ended.
func (t *Table) markGone(id string) {
	t.gone = appendRecent(t.gone, id)
}

// Deregister handles an executor's deregistration. An executor that was draining is about to shut down. Any other is reported as draining
// and keeps serving for a while, so that its runs can be moved. The deregistration of an unknown incarnation takes effect with its first
// heartbeat.
func (t *Table) Deregister(id string) {
	sender := t.find(id)
	if sender == nil {
		t.deregistered = appendRecent(t.deregistered, id)
		return
	}
	t.deregister(sender)
}

// deregister marks an executor as deregistered. One that was not draining is expected to serve for drainTime.
func (t *Table) deregister(sender *executorState) {
	if sender.isDeregistered {
		return
	}
	if !sender.isDraining {
		sender.hasSkippedDrain, sender.departureAt = true, t.now()+t.drainTime
	}
	sender.isDraining, sender.isDeregistered, sender.deregisteredAt = true, true, t.now()
	t.log.Info("executor deregistered", "executor", sender.id)
	t.onReportDue()
}

// hasShutDown reports whether an executor that no longer answers counts as shut down, because it was draining and deregistered more than
// goneAfter ago. An executor that deregistered without draining may keep serving for an unknown time and be unreachable only for a
// moment. Its runs end when their lease expires or when another incarnation answers.
func (t *Table) hasShutDown(sender *executorState) bool {
	return sender.isDeregistered && !sender.hasSkippedDrain && t.now()-sender.deregisteredAt > goneAfter
}
