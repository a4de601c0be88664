package coordination

import (
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/mailru/easyjson"

	"gannetline/internal/cluster/peerapi/wire"
)

const (
	// maxCells limits the cells of a partition.
	maxCells = 20000
	// maxBytes limits the total size of the names and values of a partition's cells and events, in bytes.
	maxBytes = 8 << 20
	// maxGroupEvents and maxGroupBytes limit the events that a group keeps for watchers. Further puts are refused, since events must not
	// be dropped before their time. A single answer to a watcher may contain all events of a group.
	maxGroupEvents = 4096
	maxGroupBytes  = 1 << 20
)

// putID identifies a put. A put of the same value into the same cell with the same expected revision is a retry of the same put.
type putID struct {
	name, value string
	expected    uint64
}

// cell holds the last put under a name and its revision.
type cell struct {
	put      putID
	revision uint64
}

// event is a put that is kept for watchers.
type event struct {
	put      putID
	revision uint64
	// committedAt is when the put became durable, or when this leader took over. It is only set for revisions up to the group's
	// committed one.
	committedAt time.Duration
}

func (e *event) size() int { return len(e.put.name) + len(e.put.value) }

// group holds the cells whose names share a prefix (see GroupOf). They share one revision counter.
type group struct {
	name string
	// revision is the revision of the last proposed put. committedRevision is the revision of the last durable put.
	revision, committedRevision uint64
	cells                       map[string]*cell
	// events holds the puts with revisions from compactRevision+1 to revision, in ascending order and without gaps. Earlier puts are no
	// longer kept.
	events          []event
	compactRevision uint64
	// eventBytes is the total size of the names and values of events.
	eventBytes int
	// revisionByPut maps the puts of events to their revisions, to detect retries.
	revisionByPut map[putID]uint64
	watchers      []*watcher
}

// cellTable holds the cells of a partition by group.
type cellTable struct {
	groups map[string]*group
	// watched holds the groups that have watchers, by name.
	watched map[string]*group
	// cellCount, eventCount and watcherCount are totals over all groups. bytes is the total size of the names and values of all cells and
	// events.
	cellCount, eventCount, watcherCount, bytes int
}

func newCellTable() cellTable {
	return cellTable{groups: map[string]*group{}, watched: map[string]*group{}}
}

// group returns the group with a name and creates it if it does not exist.
func (t *cellTable) group(name string) *group {
	found := t.groups[name]
	if found == nil {
		found = &group{name: name, cells: map[string]*cell{}, revisionByPut: map[putID]uint64{}}
		t.groups[name] = found
	}
	return found
}

func (t *cellTable) loadCell(name string, value []byte) error {
	var record cellRecord
	if err := easyjson.Unmarshal(value, &record); err != nil {
		return err
	}
	group := t.group(GroupOf(name))
	t.setCell(group, putID{name, record.Value, record.Expected}, record.Revision)
	group.revision = max(group.revision, record.Revision)
	return nil
}

func (t *cellTable) loadEvent(value []byte) error {
	var record eventRecord
	if err := easyjson.Unmarshal(value, &record); err != nil {
		return err
	}
	t.addEvent(t.group(GroupOf(record.Name)), event{put: putID{record.Name, record.Value, record.Expected}, revision: record.Revision})
	return nil
}

// finishLoading is called once all records are loaded. It sorts the events, since the records come in any order, and sets the revisions of
// the groups. The history time of all events restarts now.
func (t *cellTable) finishLoading(now time.Duration) {
	for _, group := range t.groups {
		slices.SortFunc(group.events, func(a, b event) int { return int(a.revision) - int(b.revision) })
		for index := range group.events {
			group.events[index].committedAt = now
		}
		group.committedRevision, group.compactRevision = group.revision, group.revision-uint64(len(group.events))
	}
}

// setCell stores a put as the current value of its cell.
func (t *cellTable) setCell(group *group, put putID, revision uint64) {
	if previous := group.cells[put.name]; previous != nil {
		t.bytes -= len(put.name) + len(previous.put.value)
	} else {
		t.cellCount++
	}
	t.bytes += len(put.name) + len(put.value)
	group.cells[put.name] = &cell{put, revision}
}

// addEvent keeps a put for watchers and for the detection of retries.
func (t *cellTable) addEvent(group *group, event event) {
	group.events = append(group.events, event)
	group.revisionByPut[event.put] = event.revision
	group.eventBytes += event.size()
	t.bytes += event.size()
	t.eventCount++
}

// hasRoom reports whether a put and its event fit within the limits. The size of the put counts twice, for the cell and the event.
func (t *cellTable) hasRoom(group *group, put putID) bool {
	size := len(put.name) + len(put.value)
	isNew := group.cells[put.name] == nil
	return t.bytes+2*size <= maxBytes && group.eventBytes+size <= maxGroupBytes && len(group.events) < maxGroupEvents &&
		!(isNew && t.cellCount >= maxCells)
}

// revisionOfRetry returns the revision of a put that was accepted before, or false if the put is new. It compares the put with the group's
// events, which are kept for longer than a caller may retry a put, and with the last put into the cell.
func (g *group) revisionOfRetry(put putID) (uint64, bool) {
	if revision, isKnown := g.revisionByPut[put]; isKnown {
		return revision, true
	}
	if last := g.cells[put.name]; last != nil && last.put == put {
		return last.revision, true
	}
	return 0, false
}

// revisionOf returns the revision of a cell, or 0 if it does not exist.
func (g *group) revisionOf(name string) uint64 {
	if found := g.cells[name]; found != nil {
		return found.revision
	}
	return 0
}

// dropUnusedGroups removes groups without cells and watchers, which refused puts and expired watches leave behind.
func (t *cellTable) dropUnusedGroups() {
	maps.DeleteFunc(t.groups, func(_ string, group *group) bool {
		return len(group.cells) == 0 && len(group.watchers) == 0
	})
}

// dropOldEvents removes the events that became durable at or before the cutoff, and returns the operations that delete their records.
// It removes at most maxDropsPerCommit; the rest stays for the next clean-up.
func (t *cellTable) dropOldEvents(cutoff time.Duration) []wire.Op {
	var ops []wire.Op
	for _, name := range slices.Sorted(maps.Keys(t.groups)) {
		group, dropped := t.groups[name], 0
		for dropped < len(group.events) && len(ops) < maxDropsPerCommit {
			oldest := &group.events[dropped]
			if oldest.revision > group.committedRevision || oldest.committedAt > cutoff {
				break
			}
			ops = append(ops, newDeleteOp(eventName(group.name, oldest.revision)))
			t.removeEvent(group, oldest)
			dropped++
		}
		group.events = slices.Clone(group.events[dropped:])
	}
	return ops
}

// removeEvent updates the indexes and totals for the removal of a group's oldest event; the caller shortens group.events.
func (t *cellTable) removeEvent(group *group, oldest *event) {
	group.compactRevision = oldest.revision
	delete(group.revisionByPut, oldest.put)
	group.eventBytes -= oldest.size()
	t.bytes -= oldest.size()
	t.eventCount--
}

// eventName returns the record name of an event.
func eventName(group string, revision uint64) string {
	return recordName(recordEvent, group+"/"+strconv.FormatUint(revision, 10))
}

// Put writes a value to a cell if the cell is at the expected revision. A retry of an accepted put is answered with the revision of that
// put. Put checks for a retry before it compares the revision, since the accepted put and later ones have raised it. A refusal because of
// the revision is final, since the revisions of a cell only rise.
func (p *Part) Put(call *wire.ClientCall, answer answerClient) {
	var params wire.PutCall
	if err := easyjson.Unmarshal(call.Body, &params); err != nil {
		answer(refusal(http.StatusBadRequest, "the call can't be read"))
		return
	}
	group, put := p.cells.group(GroupOf(call.ID)), putID{call.ID, params.Value, params.Expected}
	if revision, isRetry := group.revisionOfRetry(put); isRetry {
		p.answerUnderLease(p.success(&wire.RevisionAnswer{Revision: revision}), answer)
		return
	}
	if current := group.revisionOf(call.ID); current != params.Expected {
		p.answerUnderLease(p.answerWithBody(http.StatusPreconditionFailed, &wire.RevisionAnswer{Revision: current}), answer)
		return
	}
	switch {
	case p.isCommitQueueFull():
		answer(overload(http.StatusServiceUnavailable, "too many changes are waiting"))
	case !p.cells.hasRoom(group, put):
		answer(overload(http.StatusTooManyRequests, "no room for the value"))
	default:
		p.put(group, put, answer)
	}
}

// put proposes a put. The caller and the watchers of the group are answered once it is durable.
func (p *Part) put(group *group, put putID, answer answerClient) {
	group.revision++
	revision := group.revision
	p.cells.setCell(group, put, revision)
	p.cells.addEvent(group, event{put: put, revision: revision})
	ops := []wire.Op{
		newPutOp(recordName(recordCell, put.name), &cellRecord{put.value, revision, put.expected}),
		newPutOp(eventName(group.name, revision), &eventRecord{put.name, put.value, revision, put.expected}),
	}
	response := p.success(&wire.RevisionAnswer{Revision: revision})
	p.commit(ops, func(err error) {
		if err != nil {
			answer(outcomeUnknown)
			return
		}
		answer(response)
		group.markCommitted(revision, p.Clock.Monotonic())
		p.notifyWatchers(group)
	})
}

// markCommitted records that all puts up to a revision are durable as of now.
func (g *group) markCommitted(revision uint64, now time.Duration) {
	for index := range g.events {
		if event := &g.events[index]; event.revision > g.committedRevision && event.revision <= revision {
			event.committedAt = now
		}
	}
	g.committedRevision = revision
}

// Get answers with the value and the revision of a cell.
func (p *Part) Get(call *wire.ClientCall, answer answerClient) {
	found := p.cells.cell(call.ID)
	if found == nil {
		p.answerUnderLease(refusal(http.StatusNotFound, "there is no such cell"), answer)
		return
	}
	p.answerUnderLease(p.success(&wire.CellAnswer{Value: found.put.value, Revision: found.revision}), answer)
}

// cell returns the cell with a name, or nil if it does not exist.
func (t *cellTable) cell(name string) *cell {
	if group := t.groups[GroupOf(name)]; group != nil {
		return group.cells[name]
	}
	return nil
}
