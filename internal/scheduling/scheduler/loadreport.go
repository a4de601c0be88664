package scheduler

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"gannetline/internal/scheduling/placement"
)

// lateWorkLogInterval is the least time between two reports of late work in the log.
const lateWorkLogInterval = 5 * time.Second

// The states of capacity in metrics: open takes new runs, known is that of all executors.
const (
	capacityOpen  = "open"
	capacityKnown = "known"
)

// load is what runs and waits now, in CPU units.
type load struct {
	open, known int64
	priorities  map[int]*priorityLoad
}

// priorityLoad is what one priority has and asks for, in CPU units. allowance is what its long work may still take; it counts
// only if isBound.
type priorityLoad struct {
	allocated int64
	waiting   map[placement.DeadlineClass]int64
	allowance int64
	isBound   bool
}

// of gives the load of a priority, which it makes at first use.
func (l *load) of(priority int) *priorityLoad {
	if l.priorities[priority] == nil {
		l.priorities[priority] = &priorityLoad{waiting: map[placement.DeadlineClass]int64{}}
	}
	return l.priorities[priority]
}

// hasLateWork tells whether work waits that can't be on time any more.
func (l *load) hasLateWork() bool {
	for _, priority := range l.priorities {
		if priority.waiting[placement.Late]+priority.waiting[placement.Expired] > 0 {
			return true
		}
	}
	return false
}

// loadByPriority sums up what runs and what waits, without speculative runs, and what the last placement allowed long work.
func (p *Pool) loadByPriority() load {
	result := load{open: p.table.openCapacity.CPU, known: p.table.totalCapacity.CPU, priorities: map[int]*priorityLoad{}}
	for priority, allocation := range p.allocations {
		result.of(priority).allocated = allocation.resources.CPU
	}
	for _, group := range p.open.first.groups {
		result.of(group.Priority).waiting[group.Deadline] += totalNeed(group).CPU
	}
	for priority, current := range result.priorities {
		if remaining, isBound := p.longWorkRemaining[priority]; isBound {
			current.allowance, current.isBound = remaining.CPU, true
		}
	}
	return result
}

// showLoad sets the gauges of all priorities that were ever shown.
func (m *poolMetrics) showLoad(l load) {
	capacityCPU.With(m.key, capacityOpen).Set(float64(l.open))
	capacityCPU.With(m.key, capacityKnown).Set(float64(l.known))
	for priority := range l.priorities {
		m.shownPriorities[priority] = true
	}
	for priority := range m.shownPriorities {
		current, name := l.priorities[priority], priorityName(priority)
		if current == nil {
			current = &priorityLoad{}
		}
		allocatedCPU.With(m.key, name).Set(float64(current.allocated))
		longWorkCPU.With(m.key, name).Set(float64(current.allowance))
		for _, class := range []placement.DeadlineClass{placement.OnTime, placement.Late, placement.Expired} {
			waitingCPU.With(m.key, name, class.String()).Set(float64(current.waiting[class]))
		}
	}
}

// priorityName is a priority as operators see it.
func priorityName(priority int) string {
	if priority == placement.Background {
		return "background"
	}
	return strconv.Itoa(priority)
}

// reportLateWork logs, now and then, what each priority has and waits for, as long as anything waits that is late already.
func (p *Pool) reportLateWork(current load, now time.Duration) {
	if now < p.nextLateWorkReport || !current.hasLateWork() {
		return
	}
	p.nextLateWorkReport = now + lateWorkLogInterval
	for _, priority := range slices.Sorted(maps.Keys(current.priorities)) {
		p.logPriority(current, priority)
	}
}

// logPriority writes what one priority has and waits for.
func (p *Pool) logPriority(current load, priority int) {
	of := current.priorities[priority]
	values := []any{"key", p.key, "priority", priorityName(priority), "allocated_cpu", of.allocated, "open_cpu", current.open,
		"on_time_cpu", of.waiting[placement.OnTime], "late_cpu", of.waiting[placement.Late], "expired_cpu", of.waiting[placement.Expired]}
	if of.isBound {
		values = append(values, "long_work_allowance_cpu", of.allowance)
	}
	p.log.Info("late work waits", values...)
}

// countOccurrence counts a completed occurrence by whether it was in time.
func (p *Pool) countOccurrence(occurrence *occurrence) {
	class, nowMs := placement.OnTime, p.leadership.WallMs()
	switch {
	case nowMs > occurrence.expiryMs:
		class = placement.Expired
	case nowMs > occurrence.targetMs:
		class = placement.Late
	}
	occurrences.With(p.key, occurrence.job.record.Route, class.String()).Inc()
}
