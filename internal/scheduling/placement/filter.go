package placement

import "slices"

// Reason is why an executor is rejected for a task.
type Reason int

// The reasons, in the order in which they are checked.
const (
	// Suitable means that the executor may be chosen.
	Suitable Reason = iota
	// NoCapacity means that the executor has less free capacity than the task needs.
	NoCapacity
	// Reserved means that the executor is reserved for a large task that would starve otherwise.
	Reserved
	// AtRunLimit means that the executor already got as many runs in this round as its RunLimit allows.
	AtRunLimit
	// OtherRack means that the gang is being placed on another rack.
	OtherRack
	// ExcludedExecutor means that the group must not run on this executor.
	ExcludedExecutor
	// AntiAffinityReached means that the executor runs as many tasks of the step as anti-affinity allows.
	AntiAffinityReached
	// NotLocal means that the task requires an executor near its data.
	NotLocal
	// LabelMissing means that the executor lacks a label that the step requires.
	LabelMissing
)

// limitMode says whether a search respects the soft limits: reservations (which never apply to gangs) and the run limits of executors.
type limitMode bool

const (
	withSoftLimits    limitMode = true
	withoutSoftLimits limitMode = false
)

// search describes a search for the executor of one task of a group. An empty rack means any rack. runs counts the step's runs by
// executor, including those placed in this round; it is used only with AntiAffinity.
type search struct {
	group  *Group
	runs   map[int]int
	rack   string
	limits limitMode
}

// filter returns why an executor can't be chosen, or Suitable.
func (r *placementRound) filter(search search, candidate *candidateState) Reason {
	if !candidate.free.Fits(search.group.Need) {
		return NoCapacity
	}
	if reason := r.filterSoftLimits(search, candidate); reason != Suitable {
		return reason
	}
	executor := &r.executors[candidate.index]
	if search.rack != "" && executor.Rack != search.rack {
		return OtherRack
	}
	return filterConstraints(search, executor, candidate.index)
}

// filterSoftLimits rejects an executor that is reserved or at its run limit, unless the search ignores soft limits.
func (r *placementRound) filterSoftLimits(search search, candidate *candidateState) Reason {
	switch {
	case search.limits == withoutSoftLimits:
		return Suitable
	case candidate.isReserved && !search.group.IsGang:
		return Reserved
	case r.isAtRunLimit(candidate):
		return AtRunLimit
	}
	return Suitable
}

// filterConstraints checks the step's own constraints: exclusions, anti-affinity, locality and labels.
func filterConstraints(search search, executor *Executor, index int) Reason {
	group := search.group
	switch {
	case len(group.Excluded) > index && group.Excluded[index], slices.Contains(group.ExcludedIndices, index):
		return ExcludedExecutor
	case group.AntiAffinity > 0 && search.runs[index] >= group.AntiAffinity:
		return AntiAffinityReached
	case group.IsLocalityRequired && !IsLocal(executor.Labels, group.Locality):
		return NotLocal
	case !hasAll(executor.Labels, group.Labels):
		return LabelMissing
	}
	return Suitable
}

// isAtRunLimit reports whether an executor already got as many runs in this round as its RunLimit allows.
func (r *placementRound) isAtRunLimit(candidate *candidateState) bool {
	limit := r.executors[candidate.index].RunLimit
	return limit != 0 && candidate.addedRuns >= max(0, limit)
}

// HasRoom reports whether the free capacity of the executors is enough for a task of a group, or for all members of a gang. It ignores all
// limits but the constraints of the group.
func HasRoom(executors []Executor, group *Group) bool {
	missing := int64(1)
	if group.IsGang {
		missing = int64(group.Count)
	}
	for index := range executors {
		executor := &executors[index]
		if executor.isClosed() || filterConstraints(search{group: group, runs: group.RunsByExecutor}, executor, index) != Suitable {
			continue
		}
		missing -= executor.Free.countSlots(group.Need, missing)
		if missing <= 0 {
			return true
		}
	}
	return false
}

// IsLocal reports whether an executor with these labels is near data at a locality: it has at least one of the locality's labels.
func IsLocal(labels, locality []string) bool {
	return slices.ContainsFunc(locality, func(label string) bool { return slices.Contains(labels, label) })
}
