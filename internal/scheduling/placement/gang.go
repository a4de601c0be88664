package placement

import (
	"cmp"
	"maps"
	"slices"
)

// placeGang places all members of a gang or none of them.
func (t *turn) placeGang(group *Group, number int, allowance allowance) {
	gang, mayExceedLimits := group.Need.Times(float64(group.Count)), t.mayExceedLimits(group)
	if !mayExceedLimits && !allowance.covers(gang) || t.isTenantAtLimit(group, group.Count) {
		return
	}
	taken := t.findGang(group, withSoftLimits)
	if taken == nil && mayExceedLimits {
		taken = t.findGang(group, withoutSoftLimits)
	}
	for _, candidate := range taken {
		t.note(number, candidate, allowance)
	}
	allowance.spend(group.Need.Times(float64(len(taken))))
}

// findGang takes the capacity for a whole gang, or none.
func (t *turn) findGang(group *Group, limits limitMode) []*candidateState {
	if !t.hasSlots(group, "") {
		return nil
	}
	if group.SameRack {
		for _, rack := range t.racksByFree() {
			if taken := t.fillGang(group, rack, limits); taken != nil {
				return taken
			}
		}
	}
	return t.fillGang(group, "", limits)
}

// racksByFree lists the racks, those with the most free processor units first.
func (t *turn) racksByFree() []string {
	total := map[string]int64{}
	for index := range t.executors {
		if executor := &t.executors[index]; !executor.IsUnschedulable && executor.Rack != "" {
			total[executor.Rack] += executor.Free.CPU
		}
	}
	for _, candidate := range t.candidates {
		if executor := &t.executors[candidate.index]; executor.Rack != "" {
			total[executor.Rack] += candidate.free.CPU - executor.Free.CPU
		}
	}
	racks := slices.Collect(maps.Keys(total))
	slices.SortFunc(racks, func(a, b string) int {
		return cmp.Or(cmp.Compare(total[b], total[a]), cmp.Compare(a, b))
	})
	return racks
}

// fillGang chooses an executor for each member, on one rack if one is given. When a member finds none, what was taken
// for the others is given back and the result is nil.
func (t *turn) fillGang(group *Group, rack string, limits limitMode) []*candidateState {
	if !t.hasSlots(group, rack) {
		return nil
	}
	runs := runsOn(group)
	var taken []*candidateState
	for range group.Count {
		best := t.choose(search{group: group, runs: runs, rack: rack, limits: limits})
		if best == nil {
			for _, candidate := range taken {
				candidate.free = candidate.free.Plus(group.Need)
				candidate.added--
				t.firstRunCPU += group.Need.CPU
				t.countForTenant(group, -1)
			}
			return nil
		}
		t.take(group, runs, best)
		taken = append(taken, best)
	}
	return taken
}

// hasSlots tells whether a gang could fit if size were all that counts.
func (t *turn) hasSlots(group *Group, rack string) bool {
	count := int64(0)
	for _, candidate := range t.candidates {
		if rack == "" || t.executors[candidate.index].Rack == rack {
			count += candidate.free.slots(group.Need, int64(group.Count))
		}
		if count >= int64(group.Count) {
			return true
		}
	}
	return false
}
