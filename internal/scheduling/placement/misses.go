package placement

import "slices"

// misses lists needs that no executor had capacity for. Capacity only shrinks during a round, so a group that needs at least as much
// and requires at least the same labels can't be placed either.
type misses []miss

// miss holds the need and the required labels of a group that found no executor.
type miss struct {
	need   Resources
	labels []string
}

// rulesOut reports whether an earlier miss implies that a group can't be placed.
func (m misses) rulesOut(group *Group) bool {
	return slices.ContainsFunc(m, func(old miss) bool { return group.Need.Fits(old.need) && hasAll(group.Labels, old.labels) })
}

// add records the need of a group that found no executor, if only its size and labels were checked. It drops misses that the new one
// implies.
func (m *misses) add(group *Group) {
	if group.AntiAffinity > 0 || group.Excluded != nil || group.ExcludedIndices != nil || group.IsLocalityRequired {
		return
	}
	*m = append(slices.DeleteFunc(*m, func(old miss) bool { return old.need.Fits(group.Need) && hasAll(old.labels, group.Labels) }),
		miss{group.Need, group.Labels})
}

// hasAll reports whether labels contain all wanted ones.
func hasAll(labels, wanted []string) bool {
	return !slices.ContainsFunc(wanted, func(label string) bool { return !slices.Contains(labels, label) })
}
