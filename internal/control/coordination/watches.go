package coordination

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/clock"
)

// maxWatchers limits the watches that wait at a partition at once.
const maxWatchers = 2000

// watcher is a watch call that waits for a durable put above afterRevision, until a deadline on the monotonic clock.
type watcher struct {
	afterRevision uint64
	deadline      time.Duration
	answer        answerClient
}

// Watch answers with the puts of a group above the revision call.Base, as soon as there is one. After call.RemainingMs it answers without
// puts. Base 0 asks for the current revision only, so such a call waits only if the group has no durable put yet. Answers contain only
// durable puts, so they don't wait for pending commits. The answer that puts are no longer kept waits, since their removal may be pending.
func (p *Part) Watch(call *wire.ClientCall, answer answerClient) {
	afterRevision, now := uint64(call.Base), p.Clock.Monotonic()
	group := p.cells.groups[call.ID]
	switch {
	case afterRevision == 0 && group != nil && group.committedRevision > 0:
		p.answerIfLeased(p.success(noEvents(group.committedRevision)), answer)
	case group != nil && afterRevision < group.compactRevision:
		p.answerUnderLease(refusal(http.StatusGone, "the puts after that revision are no longer kept"), answer)
	case group != nil && afterRevision < group.committedRevision:
		p.answerIfLeased(p.success(group.eventsAfter(afterRevision)), answer)
	case call.RemainingMs <= 0:
		p.answerIfLeased(p.success(noEvents(afterRevision)), answer)
	case p.cells.watcherCount >= maxWatchers:
		answer(overload(http.StatusTooManyRequests, "too many watches are waiting"))
	default:
		p.cells.addWatcher(call.ID, &watcher{afterRevision, now + clock.Milliseconds(call.RemainingMs), answer})
	}
}

// noEvents returns an answer without puts that states a revision.
func noEvents(revision uint64) *wire.WatchAnswer {
	return &wire.WatchAnswer{Events: []wire.CellEvent{}, Revision: revision}
}

// addWatcher registers a watcher with a group, which is created if it does not exist.
func (t *cellTable) addWatcher(name string, watcher *watcher) {
	group := t.group(name)
	group.watchers = append(group.watchers, watcher)
	t.watched[name] = group
	t.watcherCount++
}

// eventsAfter returns the durable puts above a revision, which must not be below compactRevision.
func (g *group) eventsAfter(afterRevision uint64) *wire.WatchAnswer {
	answer := noEvents(max(afterRevision, g.committedRevision))
	for _, event := range g.events {
		if event.revision > afterRevision && event.revision <= g.committedRevision {
			answer.Events = append(answer.Events, wire.CellEvent{Name: event.put.name, Value: event.put.value, Revision: event.revision})
		}
	}
	return answer
}

// notifyWatchers answers the watchers of a group that have durable puts above their revisions.
func (p *Part) notifyWatchers(group *group) {
	p.answerMatchingWatchers(group, func(watcher *watcher) bool { return watcher.afterRevision < group.committedRevision })
}

// answerExpiredWatchers answers the watchers whose deadline has passed. Their answers contain no puts, since notifyWatchers answers a
// watcher as soon as there is one.
func (p *Part) answerExpiredWatchers(now time.Duration) {
	for _, group := range p.cells.sortedWatchedGroups() {
		p.answerMatchingWatchers(group, func(watcher *watcher) bool { return now >= watcher.deadline })
	}
}

// answerMatchingWatchers removes the watchers of a group for which isReady is true and answers them.
func (p *Part) answerMatchingWatchers(group *group, isReady func(*watcher) bool) {
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
		p.answerIfLeased(p.success(group.eventsAfter(watcher.afterRevision)), watcher.answer)
	}
}

// sortedWatchedGroups returns the groups that have watchers, sorted by name so that simulations are deterministic.
func (t *cellTable) sortedWatchedGroups() []*group {
	groups := make([]*group, 0, len(t.watched))
	for _, name := range slices.Sorted(maps.Keys(t.watched)) {
		groups = append(groups, t.watched[name])
	}
	return groups
}

// removeAllWatchers removes and returns all watchers of the table.
func (t *cellTable) removeAllWatchers() []*watcher {
	var all []*watcher
	for _, group := range t.sortedWatchedGroups() {
		all = append(all, group.watchers...)
		group.watchers = nil
	}
	clear(t.watched)
	t.watcherCount = 0
	return all
}
