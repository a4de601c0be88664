package placement

import "slices"

// misses are needs that no executor had capacity for. Capacity only shrinks during a turn, so what asks for as much, or more,
// of executors with the same labels, or more labels, finds none either.
type misses []miss

type miss struct {
	need   Resources
	labels []string
}

func (m misses) covers(group *Group) bool {
	return slices.ContainsFunc(m, func(old miss) bool { return group.Need.Fits(old.need) && hasAll(group.Labels, old.labels) })
}

// note remembers what a group asked for, if size and labels alone decided.
func (m *misses) note(group *Group) {
	if group.AntiAffinity > 0 || group.Excluded != nil || group.ExcludedIndices != nil || group.IsLocalityRequired {
		return
	}
	*m = append(slices.DeleteFunc(*m, func(old miss) bool { return old.need.Fits(group.Need) && hasAll(old.labels, group.Labels) }),
		miss{group.Need, group.Labels})
}

func hasAll(labels, wanted []string) bool {
	return !slices.ContainsFunc(wanted, func(label string) bool { return !slices.Contains(labels, label) })
}
