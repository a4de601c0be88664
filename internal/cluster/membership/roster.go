package membership

import (
	"cmp"
	"slices"
)

// roster is a sorted list of members; it is copied only when a change follows after it was shown.
type roster struct {
	members []Member
	isShown bool
}

func byName(a, b Member) int {
	return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Role, b.Role))
}

func (r *roster) show() []Member {
	r.isShown = true
	return r.members
}

// makeWritable copies the list if it was shown, as what was shown is never changed.
func (r *roster) makeWritable() {
	if r.isShown {
		r.members, r.isShown = slices.Clone(r.members), false
	}
}

func (r *roster) put(member Member) {
	r.makeWritable()
	place, isThere := slices.BinarySearchFunc(r.members, member, byName)
	if isThere {
		r.members[place] = member
		return
	}
	r.members = slices.Insert(r.members, place, member)
}

func (r *roster) drop(member Member) {
	if place, isThere := slices.BinarySearchFunc(r.members, member, byName); isThere {
		r.makeWritable()
		r.members = slices.Delete(r.members, place, place+1)
	}
}
