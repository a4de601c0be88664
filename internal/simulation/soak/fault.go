package soak

import (
	"slices"
	"time"
)

// FaultKind is the effect of a schedule's event on a process or on the connections of a gate's clients.
type FaultKind string

// The kinds of faults. Except with FaultWipe and FaultReplace, a process that ends is restarted with the data on its disk.
const (
	// FaultTerminate sends SIGTERM, which asks the process for an orderly shutdown.
	FaultTerminate FaultKind = "terminate"
	// FaultKill sends SIGKILL.
	FaultKill FaultKind = "kill"
	// FaultFreeze suspends the process for its duration, possibly for longer than its leases last.
	FaultFreeze FaultKind = "freeze"
	// FaultHangup sends SIGHUP.
	FaultHangup FaultKind = "hangup"
	// FaultSettings rewrites the settings file without sending a signal.
	FaultSettings FaultKind = "settings"
	// FaultWipe kills a steward and restarts it with an empty disk.
	FaultWipe FaultKind = "wipe"
	// FaultReplace terminates a steward and doesn't restart it. Another steward starts with an empty disk at another address.
	FaultReplace FaultKind = "replace"
	// FaultWave terminates all gates, one after the other.
	FaultWave FaultKind = "wave"
	// FaultCut resets the connections of a gate's clients, and for its duration any new ones.
	FaultCut FaultKind = "cut"
	// FaultStall holds back all data between a gate and its clients for its duration.
	FaultStall FaultKind = "stall"
)

// AllFaults are the kinds that can be drawn. Their order determines the schedule of a seed.
var AllFaults = []FaultKind{FaultTerminate, FaultKill, FaultFreeze, FaultHangup, FaultSettings, FaultWipe, FaultReplace, FaultWave, FaultCut, FaultStall}

func (k FaultKind) isKnown() bool { return slices.Contains(AllFaults, k) }

// roles returns the roles that the fault can affect. FaultWave has no target and affects all gates.
func (k FaultKind) roles() []Role {
	switch k {
	case FaultWipe, FaultReplace:
		return []Role{RoleSteward}
	case FaultCut, FaultStall, FaultWave:
		return []Role{RoleGate}
	}
	return []Role{RoleSteward, RoleGate, RoleProxy, RoleStorage}
}

// makesUnavailable reports whether the process is down or suspended, so that a steward counts as lost.
func (k FaultKind) makesUnavailable() bool {
	switch k {
	case FaultTerminate, FaultKill, FaultFreeze, FaultWipe, FaultReplace:
		return true
	}
	return false
}

// durationRange returns the range of the fault's drawn duration, or 0, 0 if the fault has no duration.
func (k FaultKind) durationRange() (shortest, longest time.Duration) {
	switch k {
	case FaultFreeze:
		return 800 * time.Millisecond, 4 * time.Second
	case FaultCut, FaultStall:
		return 300 * time.Millisecond, 2 * time.Second
	}
	return 0, 0
}
