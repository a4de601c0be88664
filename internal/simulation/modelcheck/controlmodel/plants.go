package controlmodel

import (
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/configleader"
	"gannetline/internal/control/replication"
	"gannetline/internal/simulation/modelcheck"
)

// plant is a fault put into the model by wrapping what the real code stands on; a field that is not set wraps nothing.
type plant struct {
	about string
	// keepsDiskName lets an empty disk answer under the name of the one before it.
	keepsDiskName bool
	// isFileUnsafe lets a loss of power take a disk's whole file.
	isFileUnsafe bool
	// leavesAtOnce lets a machine that is replaced go without leaving the voters.
	leavesAtOnce bool
	// lease is what replicas grant, if it is not the engines' own.
	lease   time.Duration
	disk    func(n *node, inner *disk) replication.Disk
	links   func(n *node, inner *links) replication.Transport
	machine func(n *node, inner replication.StateMachine) replication.StateMachine
	tenure  func(n *node, inner configleader.Leadership) configleader.Leadership
	// answer changes what a leader tells an operator.
	answer func(n *node, ask *wire.ClientCall, answer wire.ClientAnswer) wire.ClientAnswer
}

func (p plant) wrapDisk(n *node) replication.Disk {
	if p.disk == nil {
		return n.disk
	}
	return p.disk(n, n.disk)
}

func (p plant) wrapLinks(n *node, inner *links) replication.Transport {
	if p.links == nil {
		return inner
	}
	return p.links(n, inner)
}

func (p plant) wrapMachine(n *node, inner replication.StateMachine) replication.StateMachine {
	if p.machine == nil {
		return inner
	}
	return p.machine(n, inner)
}

func (p plant) wrapTenure(n *node, inner configleader.Leadership) configleader.Leadership {
	if p.tenure == nil {
		return inner
	}
	return p.tenure(n, inner)
}

func (p plant) leaseOfReplicas() time.Duration {
	if p.lease > 0 {
		return p.lease
	}
	return replication.DefaultTiming.Lease
}

func listPlants() []modelcheck.Plant {
	var all []modelcheck.Plant
	for _, name := range plantNames() {
		all = append(all, modelcheck.Plant{Name: name, About: plants[name].about})
	}
	return all
}
