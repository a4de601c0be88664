package placement

import (
	"cmp"
	"maps"
	"slices"
)

// placeGang places all members of a gang or none of them.
func (r *placementRound) placeGang(group *Group, number int, allowance allowance) {
	gangNeed, mayExceedLimits := group.Need.Times(float64(group.Count)), r.mayExceedLimits(group)
	if !mayExceedLimits && !allowance.covers(gangNeed) || r.isTenantAtLimit(group, group.Count) {
		return
	}
	chosen := r.findGang(group, withSoftLimits)
	if chosen == nil && mayExceedLimits {
		chosen = r.findGang(group, withoutSoftLimits)
	}
	for _, candidate := range chosen {
		r.recordPlacement(number, candidate, allowance)
	}
	allowance.spend(group.Need.Times(float64(len(chosen))))
}

// findGang allocates the capacity for a whole gang and returns the executor of each member, or nil with nothing allocated. A gang
// that prefers a single rack tries the racks first and falls back to all executors.
func (r *placementRound) findGang(group *Group, limits limitMode) []*candidateState {
	if !r.hasSlots(group, "") {
		return nil
	}
	if group.SameRack {
		for _, rack := range r.racksByFree() {
			if chosen := r.fillGang(group, rack, limits); chosen != nil {
				return chosen
			}
		}
	}
	return r.fillGang(group, "", limits)
}

// racksByFree lists the racks, ordered by their free CPU from most to least. It sums the free CPU from the beginning of the round and then
// subtracts what was placed since.
func (r *placementRound) racksByFree() []string {
	total := map[string]int64{}
	for index := range r.executors {
		if executor := &r.executors[index]; !executor.IsUnschedulable && executor.Rack != "" {
			total[executor.Rack] += executor.Free.CPU
		}
	}
	for _, candidate := range r.candidates {
		if executor := &r.executors[candidate.index]; executor.Rack != "" {
			total[executor.Rack] += candidate.free.CPU - executor.Free.CPU
		}
	}
	racks := slices.Collect(maps.Keys(total))
	slices.SortFunc(racks, func(a, b string) int {
		return cmp.Or(cmp.Compare(total[b], total[a]), cmp.Compare(a, b))
	})
	return racks
}

// fillGang chooses an executor for each member; an empty rack means any rack. If there is no executor for a member, fillGang releases the
// capacity of the other members and returns nil.
func (r *placementRound) fillGang(group *Group, rack string, limits limitMode) []*candidateState {
	if !r.hasSlots(group, rack) {
		return nil
	}
	runs := copyRuns(group)
	var chosen []*candidateState
	for range group.Count {
		best := r.choose(search{group: group, runs: runs, rack: rack, limits: limits})
		if best == nil {
			for _, candidate := range chosen {
				candidate.free = candidate.free.Plus(group.Need)
				candidate.addedRuns--
				r.firstRunCPU += group.Need.CPU
				r.countForTenant(group, -1)
			}
			return nil
		}
		r.allocate(group, runs, best)
		chosen = append(chosen, best)
	}
	return chosen
}

// hasSlots reports whether the free capacity of a rack, or of all executors if rack is empty, is enough for all members. It ignores every
// other constraint, and is a cheap check before the search for executors.
func (r *placementRound) hasSlots(group *Group, rack string) bool {
	count := int64(0)
	for _, candidate := range r.candidates {
		if rack == "" || r.executors[candidate.index].Rack == rack {
			count += candidate.free.countSlots(group.Need, int64(group.Count))
		}
		if count >= int64(group.Count) {
			return true
		}
	}
	return false
}
