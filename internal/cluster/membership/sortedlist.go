package membership

import (
	"cmp"
	"slices"
)

// sortedList is a list of members in the order of byName. Its slice is shared with published views, and is copied before the first change
// after it was published.
type sortedList struct {
	members     []Member
	isPublished bool
}

// byName compares members by name, then by role.
func byName(a, b Member) int {
	return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Role, b.Role))
}

// publish returns the slice for a view. The list does not change it from then on.
func (l *sortedList) publish() []Member {
	l.isPublished = true
	return l.members
}

// makeWritable copies the slice if it was published, because published views are immutable.
func (l *sortedList) makeWritable() {
	if l.isPublished {
		l.members, l.isPublished = slices.Clone(l.members), false
	}
}

// put inserts a member, or replaces the one of the same name and role.
func (l *sortedList) put(member Member) {
	l.makeWritable()
	index, exists := slices.BinarySearchFunc(l.members, member, byName)
	if exists {
		l.members[index] = member
		return
	}
	l.members = slices.Insert(l.members, index, member)
}

// remove removes a member if it is listed.
func (l *sortedList) remove(member Member) {
	if index, exists := slices.BinarySearchFunc(l.members, member, byName); exists {
		l.makeWritable()
		l.members = slices.Delete(l.members, index, index+1)
	}
}
