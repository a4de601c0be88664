package scheduler

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"gannetline/internal/scheduling/placement"
)

// lateWorkLogInterval is the minimum time between two log reports of late work.
const lateWorkLogInterval = 5 * time.Second

// Values of the state label of capacityCPU. Open capacity takes new runs, known capacity is the total of all executors.
const (
	capacityOpen  = "open"
	capacityKnown = "known"
)

// load is the capacity of the fleet and the demand of each priority, in CPU units.
type load struct {
	open, known int64
	priorities  map[int]*priorityLoad
}

// priorityLoad holds the CPU units that the runs of one priority take, and those that its pending tasks ask for. allowance is how much more
// its long work may take; it is meaningful only if isLimited is set.
type priorityLoad struct {
	allocated int64
	waiting   map[placement.DeadlineClass]int64
	allowance int64
	isLimited bool
}

// forPriority returns the load of a priority and creates it on first use.
func (l *load) forPriority(priority int) *priorityLoad {
	if l.priorities[priority] == nil {
		l.priorities[priority] = &priorityLoad{waiting: map[placement.DeadlineClass]int64{}}
	}
	return l.priorities[priority]
}

// hasLateWork reports whether any pending work is late or expired. Such work can't be on time any more, or is surplus work.
func (l *load) hasLateWork() bool {
	for _, priority := range l.priorities {
		if priority.waiting[placement.Late]+priority.waiting[placement.Expired] > 0 {
			return true
		}
	}
	return false
}

// loadByPriority sums up running and pending work by priority, and how much long work may still start according to the last placement.
// Pending speculative runs are left out.
func (p *Pool) loadByPriority() load {
	result := load{open: p.table.openCapacity.CPU, known: p.table.totalCapacity.CPU, priorities: map[int]*priorityLoad{}}
	for priority, allocation := range p.allocations {
		result.forPriority(priority).allocated = allocation.resources.CPU
	}
	for _, group := range p.open.first.groups {
		result.forPriority(group.Priority).waiting[group.Deadline] += totalNeed(group).CPU
	}
	for priority, current := range result.priorities {
		if remaining, isLimited := p.longWorkRemaining[priority]; isLimited {
			current.allowance, current.isLimited = remaining.CPU, true
		}
	}
	return result
}

// showLoad sets the capacity gauges and the gauges of each priority. A priority that was shown before and has no load now is set to 0.
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

// priorityName is the name of a priority in metrics and logs.
func priorityName(priority int) string {
	if priority == placement.Background {
		return "background"
	}
	return strconv.Itoa(priority)
}

// reportLateWork logs the load of each priority while late work is pending, at most once per lateWorkLogInterval.
func (p *Pool) reportLateWork(current load, now time.Duration) {
	if now < p.nextLateWorkReport || !current.hasLateWork() {
		return
	}
	p.nextLateWorkReport = now + lateWorkLogInterval
	for _, priority := range slices.Sorted(maps.Keys(current.priorities)) {
		p.logPriority(current, priority)
	}
}

// logPriority logs the load of one priority.
func (p *Pool) logPriority(total load, priority int) {
	current := total.priorities[priority]
	values := []any{"key", p.key, "priority", priorityName(priority), "allocated_cpu", current.allocated, "open_cpu", total.open,
		"on_time_cpu", current.waiting[placement.OnTime], "late_cpu", current.waiting[placement.Late], "expired_cpu", current.waiting[placement.Expired]}
	if current.isLimited {
		values = append(values, "long_work_allowance_cpu", current.allowance)
	}
	p.log.Info("late work waits", values...)
}

// countOccurrenceInMetrics counts a completed occurrence under the deadline class that it ended in.
func (p *Pool) countOccurrenceInMetrics(occurrence *occurrence) {
	class, nowMs := placement.OnTime, p.leadership.WallMs()
	switch {
	case nowMs > occurrence.expiryMs:
		class = placement.Expired
	case nowMs > occurrence.targetMs:
		class = placement.Late
	}
	occurrences.With(p.key, occurrence.job.record.Route, class.String()).Inc()
}
