package controlmodel

import (
	"gannetline/internal/modelcheck"
	"gannetline/internal/replication"
)

// plant is a fault put into the model by wrapping what the real code stands on.
type plant struct {
	about         string
	keepsDiskName bool
	disk          func(n *node, inner replication.Disk) replication.Disk
	links         func(n *node, inner replication.Links) replication.Links
	machine       func(n *node, inner replication.StateMachine) replication.StateMachine
}

func (p plant) wrapDisk(n *node) replication.Disk {
	if p.disk == nil {
		return n.disk
	}
	return p.disk(n, n.disk)
}

func (p plant) wrapLinks(n *node, inner replication.Links) replication.Links {
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

func listPlants() []modelcheck.Plant {
	var all []modelcheck.Plant
	for _, name := range plantNames() {
		all = append(all, modelcheck.Plant{Name: name, About: plants[name].about})
	}
	return all
}
