package soak

import (
	"slices"
	"time"
)

// FaultKind is what an event of a schedule does to a process or to the connections of a gate's clients.
type FaultKind string

// The faults. Processes that end are started again; those of stewards with their disk, unless the fault takes it.
const (
	// FaultTerminate sends SIGTERM: the process leaves in order.
	FaultTerminate FaultKind = "terminate"
	// FaultKill sends SIGKILL.
	FaultKill FaultKind = "kill"
	// FaultFreeze stops the process for a while, past its leases.
	FaultFreeze FaultKind = "freeze"
	// FaultHangup sends SIGHUP.
	FaultHangup FaultKind = "hangup"
	// FaultSettings changes the settings file without a signal.
	FaultSettings FaultKind = "settings"
	// FaultWipe kills a steward, which comes back with an empty disk.
	FaultWipe FaultKind = "wipe"
	// FaultReplace terminates a steward for good; another one with an empty disk comes at another address.
	FaultReplace FaultKind = "replace"
	// FaultWave terminates all gates, one after the other.
	FaultWave FaultKind = "wave"
	// FaultCut breaks the connections of a gate's clients, and takes no new ones for a while.
	FaultCut FaultKind = "cut"
	// FaultStall holds back what passes between a gate and its clients.
	FaultStall FaultKind = "stall"
)

// AllFaults are the kinds that can be drawn.
var AllFaults = []FaultKind{FaultTerminate, FaultKill, FaultFreeze, FaultHangup, FaultSettings, FaultWipe, FaultReplace, FaultWave, FaultCut, FaultStall}

func (k FaultKind) isKnown() bool { return slices.Contains(AllFaults, k) }

// roles are those whose processes a fault can strike; empty for one that strikes all gates.
func (k FaultKind) roles() []Role {
	switch k {
	case FaultWipe, FaultReplace:
		return []Role{RoleSteward}
	case FaultCut, FaultStall, FaultWave:
		return []Role{RoleGate}
	}
	return []Role{RoleSteward, RoleGate, RoleProxy, RoleStorage}
}

// takesAway tells whether the process is gone or silent for a while, so that a steward counts as lost.
func (k FaultKind) takesAway() bool {
	switch k {
	case FaultTerminate, FaultKill, FaultFreeze, FaultWipe, FaultReplace:
		return true
	}
	return false
}

// lasts is between what times a fault lasts; 0 where it has no length of its own.
func (k FaultKind) lasts() (shortest, longest time.Duration) {
	switch k {
	case FaultFreeze:
		return 800 * time.Millisecond, 4 * time.Second
	case FaultCut, FaultStall:
		return 300 * time.Millisecond, 2 * time.Second
	}
	return 0, 0
}
