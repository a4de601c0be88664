package placement

import (
	"cmp"
	"slices"
)

// rank is the most significant part of the queue order.
type rank int

const (
	// rankOnTime is work that is on time, ordered by priority. It includes long work only of the most urgent priority. Long work of other
	// priorities would hold capacity for a long time that late work of a more urgent priority needs only briefly.
	rankOnTime rank = iota
	// rankLate is all other work that is still useful, ordered by priority: late work, and long work that is on time.
	rankLate
	// rankExpired is work that is no longer useful, of any priority. It runs on spare capacity and from its Share, so that every job
	// ends eventually. It must never go before other work, however old it is: after an overload most of the queue is expired, and
	// placing it first would make the other work late too, so that the overload would never end.
	rankExpired
)

// section identifies consecutive groups of a queue with the same rank, priority and deadline class. All expired groups are in one
// section, whose priority and deadline are zero.
type section struct {
	rank     rank
	priority int
	deadline DeadlineClass
}

// mostUrgent is the most urgent priority; larger numbers are less urgent.
const mostUrgent = 0

func sectionOf(g *Group) section {
	switch {
	case g.Deadline == Expired:
		return section{rank: rankExpired}
	case g.Deadline == OnTime && (!g.IsLong || g.Priority == mostUrgent):
		return section{rankOnTime, g.Priority, OnTime}
	}
	return section{rankLate, g.Priority, g.Deadline}
}

func compareSections(a, b section) int {
	return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.priority, b.priority), cmp.Compare(a.deadline, b.deadline))
}

// sections returns the sections of the queue that a share applies to.
func (s Share) sections() []section {
	switch s.Deadline {
	case Expired:
		return []section{{rank: rankExpired}}
	case OnTime:
		return []section{{rankOnTime, s.Priority, OnTime}, {rankLate, s.Priority, OnTime}}
	}
	return []section{{rankLate, s.Priority, s.Deadline}}
}

// sectionBounds returns the index of the first group of a section in a queue, and of the first group after the section.
func sectionBounds(groups []*Group, wanted section) (from, to int) {
	compare := func(group *Group, wanted section) int { return compareSections(sectionOf(group), wanted) }
	from, _ = slices.BinarySearchFunc(groups, wanted, compare)
	length, _ := slices.BinarySearchFunc(groups[from:], wanted, func(group *Group, wanted section) int {
		if compare(group, wanted) > 0 {
			return 1
		}
		return -1
	})
	return from, from + length
}
