package controlmodel

import (
	"maps"
	"slices"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/replication"
	"gannetline/internal/simulation/modelcheck"
)

// injectedFault is a fault that is put into the model, mostly by wrapping the dependencies of the real code. A nil function wraps nothing.
type injectedFault struct {
	about string
	// keepsDiskName gives an empty disk the name of the disk that it replaces.
	keepsDiskName bool
	// isFileUnsafe lets a power loss wipe a disk.
	isFileUnsafe bool
	// leavesAtOnce shuts a machine down without replacing its voter first.
	leavesAtOnce bool
	// retiresAsLeaving makes a machine that is being emptied give up leading for good.
	retiresAsLeaving bool
	// lease is the length of the lease that replicas grant. 0 means the default of the engines, which leaders always use.
	lease      time.Duration
	disk       func(n *simNode, inner *disk) replication.Disk
	links      func(n *simNode, inner *links) replication.Transport
	machine    func(n *simNode, inner replication.StateMachine) replication.StateMachine
	leadership func(n *simNode, inner keyLeadership) keyLeadership
	// part wraps the state machine of a partition of locks, numbers and cells.
	part func(inner serviceMachine) serviceMachine
	// answer changes a leader's answer to a call.
	answer func(n *simNode, call *wire.ClientCall, answer wire.ClientAnswer) wire.ClientAnswer
}

func (f injectedFault) wrapDisk(n *simNode) replication.Disk {
	if f.disk == nil {
		return n.disk
	}
	return f.disk(n, n.disk)
}

func (f injectedFault) wrapLinks(n *simNode, inner *links) replication.Transport {
	if f.links == nil {
		return inner
	}
	return f.links(n, inner)
}

func (f injectedFault) wrapMachine(n *simNode, inner replication.StateMachine) replication.StateMachine {
	if f.machine == nil {
		return inner
	}
	return f.machine(n, inner)
}

func (f injectedFault) wrapLeadership(n *simNode, inner keyLeadership) keyLeadership {
	if f.leadership == nil {
		return inner
	}
	return f.leadership(n, inner)
}

// replicaLease returns the length of the lease that replicas grant.
func (f injectedFault) replicaLease() time.Duration {
	if f.lease > 0 {
		return f.lease
	}
	return replication.DefaultTiming.Lease
}

// faultsOf returns the faults that can be injected into a model, by name.
func faultsOf(model string) map[string]injectedFault {
	if model == CoordinationName {
		return coordinationFaults
	}
	return injectedFaults
}

// listFaults returns the names and descriptions of the faults that can be injected into a model, sorted by name.
func listFaults(model string) []modelcheck.InjectedFault {
	var all []modelcheck.InjectedFault
	faults := faultsOf(model)
	for _, name := range slices.Sorted(maps.Keys(faults)) {
		all = append(all, modelcheck.InjectedFault{Name: name, About: faults[name].about})
	}
	return all
}
