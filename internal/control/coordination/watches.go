package coordination

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/clock"
)

// maxWatchers is how many watches may wait at a part at once.
const maxWatchers = 2000

// watcher waits until a group has a put above a revision, or until a moment of the monotonic clock.
type watcher struct {
	above  uint64
	until  time.Duration
	answer answerClient
}

// Watch gives the puts of a group above the revision Base, as soon as there is one. From revision 0 on only the present revision is
// asked for, so that the answer waits only where the group has none yet. All of it rests on durable puts alone, so that no answer
// waits for those that were proposed.
func (p *Part) Watch(call *wire.ClientCall, answer answerClient) {
	above, now := uint64(call.Base), p.Clock.Monotonic()
	group := p.cells.groups[call.ID]
	switch {
	case above == 0 && group != nil && group.committed > 0:
		p.answerIfLeased(p.success(noEvents(group.committed)), answer)
	case group != nil && above < group.floor:
		p.answerIfLeased(refusal(http.StatusGone, "the puts after that revision are no longer kept"), answer)
	case group != nil && above < group.committed:
		p.answerIfLeased(p.success(group.eventsAbove(above)), answer)
	case call.RemainingMs <= 0:
		p.answerIfLeased(p.success(noEvents(above)), answer)
	case p.cells.watcherCount >= maxWatchers:
		answer(overload(http.StatusTooManyRequests, "too many watches are waiting"))
	default:
		p.cells.addWatcher(call.ID, &watcher{above, now + clock.Milliseconds(call.RemainingMs), answer})
	}
}

// noEvents is an answer without a put.
func noEvents(revision uint64) *wire.WatchAnswer {
	return &wire.WatchAnswer{Events: []wire.CellEvent{}, Revision: revision}
}

// addWatcher has a watcher wait at a group.
func (t *cellTable) addWatcher(name string, watcher *watcher) {
	group := t.group(name)
	group.watchers = append(group.watchers, watcher)
	t.watched[name] = group
	t.watcherCount++
}

// eventsAbove gives the durable puts above a revision, which must not be below the floor.
func (g *group) eventsAbove(above uint64) *wire.WatchAnswer {
	answer := noEvents(max(above, g.committed))
	for _, event := range g.events {
		if event.revision > above && event.revision <= g.committed {
			answer.Events = append(answer.Events, wire.CellEvent{Name: event.put.name, Value: event.put.value, Revision: event.revision})
		}
	}
	return answer
}

// answerWatchers gives the watchers of a group what has become durable above their revisions.
func (p *Part) answerWatchers(group *group) {
	p.takeWatchers(group, func(watcher *watcher) bool { return watcher.above < group.committed })
}

// answerDueWatchers gives nothing to the watchers that have waited long enough.
func (p *Part) answerDueWatchers(now time.Duration) {
	for _, group := range p.cells.watchedInOrder() {
		p.takeWatchers(group, func(watcher *watcher) bool { return now >= watcher.until })
	}
}

// takeWatchers answers some of the watchers of a group.
func (p *Part) takeWatchers(group *group, isReady func(*watcher) bool) {
	var ready []*watcher
	group.watchers = slices.DeleteFunc(group.watchers, func(watcher *watcher) bool {
		if !isReady(watcher) {
			return false
		}
		ready = append(ready, watcher)
		return true
	})
	p.cells.watcherCount -= len(ready)
	if len(group.watchers) == 0 {
		delete(p.cells.watched, group.name)
	}
	for _, watcher := range ready {
		p.answerIfLeased(p.success(group.eventsAbove(watcher.above)), watcher.answer)
	}
}

// watchedInOrder gives the groups at which a watcher waits in the order of their names, so that a run can be repeated.
func (t *cellTable) watchedInOrder() []*group {
	groups := make([]*group, 0, len(t.watched))
	for _, name := range slices.Sorted(maps.Keys(t.watched)) {
		groups = append(groups, t.watched[name])
	}
	return groups
}

// takeWatchers takes all watchers away.
func (t *cellTable) takeWatchers() []*watcher {
	var all []*watcher
	for _, group := range t.watchedInOrder() {
		all = append(all, group.watchers...)
		group.watchers = nil
	}
	clear(t.watched)
	t.watcherCount = 0
	return all
}
