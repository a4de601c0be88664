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
	// maxCells is how many cells a part has at most.
	maxCells = 20000
	// maxBytes is how many bytes the names and values of a part's cells and events have at most.
	maxBytes = 8 << 20
	// maxGroupEvents and maxGroupBytes are how much of a group is kept for watchers at most; further puts are refused, since what is
	// kept may not be shortened. One answer to a watcher may hold all of it.
	maxGroupEvents = 4096
	maxGroupBytes  = 1 << 20
)

// putID tells one put from all others: the same value on top of the same revision is the same put, sent again.
type putID struct {
	name, value string
	expected    uint64
}

// cell is what a name holds by its last put.
type cell struct {
	put      putID
	revision uint64
}

// event is a put, as long as watchers may ask for it.
type event struct {
	put      putID
	revision uint64
	// committedAt is when it became durable, or when this leader took over; it counts only up to the group's committed revision.
	committedAt time.Duration
}

func (e *event) size() int { return len(e.put.name) + len(e.put.value) }

// group holds the cells whose names begin alike; they share one count of revisions.
type group struct {
	name string
	// revision is that of the last put that was proposed; committed, which is never above, that of the last one that is durable.
	revision, committed uint64
	cells               map[string]*cell
	// events are the puts above floor, without a gap and in rising order, up to revision.
	events []event
	floor  uint64
	bytes  int
	// repeats finds the revision of a put that comes again, among the events.
	repeats  map[putID]uint64
	watchers []*watcher
}

// cellTable holds the cells of a part.
type cellTable struct {
	groups map[string]*group
	// watched are the groups at which a watcher waits.
	watched map[string]*group
	// count, eventCount, watcherCount and bytes are sums over the groups.
	count, eventCount, watcherCount, bytes int
}

func newCellTable() cellTable {
	return cellTable{groups: map[string]*group{}, watched: map[string]*group{}}
}

// group gives the group of a name, a new one if there is none.
func (t *cellTable) group(name string) *group {
	found := t.groups[name]
	if found == nil {
		found = &group{name: name, cells: map[string]*cell{}, repeats: map[putID]uint64{}}
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

// finishLoading brings what was loaded in any order into the order of the revisions.
func (t *cellTable) finishLoading(now time.Duration) {
	for _, group := range t.groups {
		slices.SortFunc(group.events, func(a, b event) int { return int(a.revision) - int(b.revision) })
		for index := range group.events {
			group.events[index].committedAt = now
		}
		group.committed, group.floor = group.revision, group.revision-uint64(len(group.events))
	}
}

// setCell notes the last put into a cell.
func (t *cellTable) setCell(group *group, put putID, revision uint64) {
	if before := group.cells[put.name]; before != nil {
		t.bytes -= len(put.name) + len(before.put.value)
	} else {
		t.count++
	}
	t.bytes += len(put.name) + len(put.value)
	group.cells[put.name] = &cell{put, revision}
}

// addEvent notes a put for watchers and for its own repeats.
func (t *cellTable) addEvent(group *group, event event) {
	group.events = append(group.events, event)
	group.repeats[event.put] = event.revision
	group.bytes += event.size()
	t.bytes += event.size()
	t.eventCount++
}

// hasRoom tells whether a put may be kept, with its event.
func (t *cellTable) hasRoom(group *group, put putID) bool {
	size := len(put.name) + len(put.value)
	isNew := group.cells[put.name] == nil
	return t.bytes+2*size <= maxBytes && group.bytes+size <= maxGroupBytes && len(group.events) < maxGroupEvents &&
		!(isNew && t.count >= maxCells)
}

// revisionOfRepeat gives the revision of a put that was taken before. It is found among the events, which are kept for longer than a
// caller may send a put again, or as the last put into its cell.
func (g *group) revisionOfRepeat(put putID) (uint64, bool) {
	if revision, isKnown := g.repeats[put]; isKnown {
		return revision, true
	}
	if last := g.cells[put.name]; last != nil && last.put == put {
		return last.revision, true
	}
	return 0, false
}

// revisionOf is the revision of a cell, or 0 if there is none.
func (g *group) revisionOf(name string) uint64 {
	if found := g.cells[name]; found != nil {
		return found.revision
	}
	return 0
}

// dropUnusedGroups forgets groups that were only asked for.
func (t *cellTable) dropUnusedGroups() {
	maps.DeleteFunc(t.groups, func(_ string, group *group) bool {
		return len(group.cells) == 0 && len(group.watchers) == 0
	})
}

// dropOldEvents forgets the puts that became durable at a moment or before; more than one change may drop remain for the next time.
func (t *cellTable) dropOldEvents(before time.Duration) []wire.Op {
	var ops []wire.Op
	for _, name := range slices.Sorted(maps.Keys(t.groups)) {
		group, dropped := t.groups[name], 0
		for dropped < len(group.events) && len(ops) < maxDropsPerCommit {
			oldest := &group.events[dropped]
			if oldest.revision > group.committed || oldest.committedAt > before {
				break
			}
			ops = append(ops, dropping(eventName(group.name, oldest.revision)))
			t.forgetEvent(group, oldest)
			dropped++
		}
		group.events = slices.Clone(group.events[dropped:])
	}
	return ops
}

func (t *cellTable) forgetEvent(group *group, oldest *event) {
	group.floor = oldest.revision
	delete(group.repeats, oldest.put)
	group.bytes -= oldest.size()
	t.bytes -= oldest.size()
	t.eventCount--
}

func eventName(group string, revision uint64) string {
	return recordName(recordEvent, group+"/"+strconv.FormatUint(revision, 10))
}

// Put puts a value into a cell that is at the expected revision. A put that was taken before gets its first revision again; that is
// asked for first, as the cell may have moved on since. A refusal is final: revisions of a cell only rise.
func (p *Part) Put(call *wire.ClientCall, answer answerClient) {
	var asked wire.PutCall
	if err := easyjson.Unmarshal(call.Body, &asked); err != nil {
		answer(refusal(http.StatusBadRequest, "the call can't be read"))
		return
	}
	group, put := p.cells.group(GroupOf(call.ID)), putID{call.ID, asked.Value, asked.Expected}
	if revision, isRepeat := group.revisionOfRepeat(put); isRepeat {
		p.answerUnderLease(p.success(&wire.RevisionAnswer{Revision: revision}), answer)
		return
	}
	if current := group.revisionOf(call.ID); current != asked.Expected {
		p.answerUnderLease(p.withBody(http.StatusPreconditionFailed, &wire.RevisionAnswer{Revision: current}), answer)
		return
	}
	switch {
	case p.isFull():
		answer(overload(http.StatusServiceUnavailable, "too many changes are waiting"))
	case !p.cells.hasRoom(group, put):
		answer(overload(http.StatusTooManyRequests, "no room for the value"))
	default:
		p.put(group, put, answer)
	}
}

// put proposes a put; its watchers get it once it is durable.
func (p *Part) put(group *group, put putID, answer answerClient) {
	group.revision++
	revision := group.revision
	p.cells.setCell(group, put, revision)
	p.cells.addEvent(group, event{put: put, revision: revision})
	ops := []wire.Op{
		writing(recordName(recordCell, put.name), &cellRecord{put.value, revision, put.expected}),
		writing(eventName(group.name, revision), &eventRecord{put.name, put.value, revision, put.expected}),
	}
	response := p.success(&wire.RevisionAnswer{Revision: revision})
	p.commit(ops, func(err error) {
		if err != nil {
			answer(outcomeUnknown)
			return
		}
		answer(response)
		group.noteCommitted(revision, p.Clock.Monotonic())
		p.answerWatchers(group)
	})
}

// noteCommitted notes that all puts up to a revision are durable.
func (g *group) noteCommitted(revision uint64, now time.Duration) {
	for index := range g.events {
		if event := &g.events[index]; event.revision > g.committed && event.revision <= revision {
			event.committedAt = now
		}
	}
	g.committed = revision
}

// Get reads a cell.
func (p *Part) Get(call *wire.ClientCall, answer answerClient) {
	found := p.cells.cell(call.ID)
	if found == nil {
		p.answerUnderLease(refusal(http.StatusNotFound, "there is no such cell"), answer)
		return
	}
	p.answerUnderLease(p.success(&wire.CellAnswer{Value: found.put.value, Revision: found.revision}), answer)
}

// cell gives the cell of a name, or nil.
func (t *cellTable) cell(name string) *cell {
	if group := t.groups[GroupOf(name)]; group != nil {
		return group.cells[name]
	}
	return nil
}
