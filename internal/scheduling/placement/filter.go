package placement

import "slices"

// Reason tells why an executor was passed over for a task.
type Reason int

// The reasons, in the order in which they are looked for.
const (
	// Suitable is no reason: the executor may be chosen.
	Suitable Reason = iota
	// NoCapacity: less is free than the task needs.
	NoCapacity
	// Reserved: the executor is kept for a large task that would starve otherwise.
	Reserved
	// AtRunLimit: the executor has as many runs as it may have at once.
	AtRunLimit
	// OtherRack: the gang goes to another rack.
	OtherRack
	// ExcludedExecutor: the group may not run there.
	ExcludedExecutor
	// AntiAffinityReached: as many tasks of the step run there as may.
	AntiAffinityReached
	// NotLocal: the task waits for an executor near its data.
	NotLocal
	// LabelMissing: the executor lacks a label that the step requires.
	LabelMissing
)

// limitMode tells whether soft limits hold: reservations, which gangs may always use, and the run limits of executors.
type limitMode bool

const (
	withSoftLimits    limitMode = true
	withoutSoftLimits limitMode = false
)

// search is what executors are filtered for: one task of a group, on one rack if that is named. runs counts the step's runs by
// executor, those of this turn included.
type search struct {
	group  *Group
	runs   map[int]int
	rack   string
	limits limitMode
}

// filter tells why an executor can't be chosen, or Suitable.
func (t *turn) filter(search search, candidate *candidateState) Reason {
	if !candidate.free.Fits(search.group.Need) {
		return NoCapacity
	}
	if reason := t.filterSoftLimits(search, candidate); reason != Suitable {
		return reason
	}
	executor := &t.executors[candidate.index]
	if search.rack != "" && executor.Rack != search.rack {
		return OtherRack
	}
	return filterConstraints(search, executor, candidate.index)
}

// filterSoftLimits holds an executor back that is reserved or has its runs, unless the search goes past soft limits.
func (t *turn) filterSoftLimits(search search, candidate *candidateState) Reason {
	switch {
	case search.limits == withoutSoftLimits:
		return Suitable
	case candidate.isReserved && !search.group.IsGang:
		return Reserved
	case t.isAtRunLimit(candidate):
		return AtRunLimit
	}
	return Suitable
}

// filterConstraints applies what the step itself asks for.
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

// isAtRunLimit tells whether an executor was given all that it may have in this turn.
func (t *turn) isAtRunLimit(candidate *candidateState) bool {
	limit := t.executors[candidate.index].RunLimit
	return limit != 0 && candidate.added >= max(0, limit)
}

// IsLocal tells whether an executor with these labels is near data at a locality: it has any of the locality's labels.
func IsLocal(labels, locality []string) bool {
	return slices.ContainsFunc(locality, func(label string) bool { return slices.Contains(labels, label) })
}
