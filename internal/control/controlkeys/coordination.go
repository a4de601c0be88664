package controlkeys

import (
	"gannetline/internal/control/coordination"
)

// standingKeys are the keys that there are with every configuration.
func (m *Manager) standingKeys() []string {
	if m.Coordination == nil {
		return nil
	}
	return coordination.Keys()
}

// coordinationSurroundings are what a part with locks, numbers and cells needs beyond its key.
func (m *Manager) coordinationSurroundings() coordination.Surroundings {
	return coordination.Surroundings{Clock: m.Clock, Log: m.Log, HistoryTime: m.Coordination.History, ReleaseTime: m.Coordination.Release}
}
