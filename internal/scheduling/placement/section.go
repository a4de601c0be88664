package placement

import (
	"cmp"
	"slices"
)

// rank tells in which of three passes over the queue a group has its turn.
type rank int

const (
	// rankPrompt is work that is on time, by priority. Long work is among it only if nothing is more urgent: it would hold for
	// long what the late work of more urgent queues, which is still of use, needs for a moment.
	rankPrompt rank = iota
	// rankLate is all other work that is still of use, by priority: what is late, and long work that is on time.
	rankLate
	// rankExpired is work that is of no use any more, whatever its priority. It runs where capacity is left over and in its
	// Share, so that every job comes to its end. It must not go before anything else, however old it is: after an overload it is
	// most of the queue, and the overload would go on without end.
	rankExpired
)

// section is a run of consecutive groups of a queue. Priority and deadline are those of the groups, but for expired ones, which are
// in one section.
type section struct {
	rank     rank
	priority int
	deadline DeadlineClass
}

// mostUrgent is the priority that goes first.
const mostUrgent = 0

func sectionOf(g *Group) section {
	switch {
	case g.Deadline == Expired:
		return section{rank: rankExpired}
	case g.Deadline == OnTime && (!g.IsLong || g.Priority == mostUrgent):
		return section{rankPrompt, g.Priority, OnTime}
	}
	return section{rankLate, g.Priority, g.Deadline}
}

func compareSections(a, b section) int {
	return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.priority, b.priority), cmp.Compare(a.deadline, b.deadline))
}

// sections are the sections that a share is for.
func (s Share) sections() []section {
	switch s.Deadline {
	case Expired:
		return []section{{rank: rankExpired}}
	case OnTime:
		return []section{{rankPrompt, s.Priority, OnTime}, {rankLate, s.Priority, OnTime}}
	}
	return []section{{rankLate, s.Priority, s.Deadline}}
}

// indicesOf gives the first group of a section in a queue, and the first one behind it.
func indicesOf(groups []*Group, wanted section) (from, to int) {
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
