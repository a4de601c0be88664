package controlkeys

import (
	"context"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/coordination"
)

// historyMargin is how much longer the leader keeps puts than watchers may use a revision. A watcher measures the validity of a revision
// from the arrival of the answer. The leader measures the age of the next put from when that put became durable, which is no earlier than
// when it computed the answer.
const historyMargin = 10 * time.Second

// listFixedKeys returns the keys that exist regardless of what the configuration says.
func (m *Manager) listFixedKeys() []string {
	if m.Coordination == nil {
		return nil
	}
	return coordination.Keys()
}

// newCoordinationDependencies returns the dependencies of a partition with locks, numbers and cells, apart from its key.
func (m *Manager) newCoordinationDependencies() coordination.Dependencies {
	return coordination.Dependencies{Clock: m.Clock, Log: m.Log, HistoryTime: m.Coordination.History + historyMargin,
		ReleaseTime: m.Coordination.Release}
}

// CoordinationReports returns the reports of the coordination partitions that this process leads. IsOff is set if this process keeps none.
func (m *Manager) CoordinationReports(ctx context.Context, _ *wire.CoordinationCall) (*wire.CoordinationReports, error) {
	if m.Coordination == nil {
		return &wire.CoordinationReports{IsOff: true}, nil
	}
	return &wire.CoordinationReports{Reports: collectReports[wire.CoordinationReport](ctx, m, wire.VerbCoordination)}, nil
}
