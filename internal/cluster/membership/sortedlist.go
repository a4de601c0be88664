package membership

import (
	"cmp"
	"slices"
)

// sortedList is a sorted list of members; it is copied only when a change follows after it was shown.
type sortedList struct {
	members     []Member
	isPublished bool
}

func byName(a, b Member) int {
	return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Role, b.Role))
}

func (r *sortedList) publish() []Member {
	r.isPublished = true
	return r.members
}

// makeWritable copies the list if it was shown, as what was shown is never changed.
func (r *sortedList) makeWritable() {
	if r.isPublished {
		r.members, r.isPublished = slices.Clone(r.members), false
	}
}

// put inserts a member, or replaces the one of the same name.
func (r *sortedList) put(member Member) {
	r.makeWritable()
	index, exists := slices.BinarySearchFunc(r.members, member, byName)
	if exists {
		r.members[index] = member
		return
	}
	r.members = slices.Insert(r.members, index, member)
}

func (r *sortedList) drop(member Member) {
	if index, exists := slices.BinarySearchFunc(r.members, member, byName); exists {
		r.makeWritable()
		r.members = slices.Delete(r.members, index, index+1)
	}
}
