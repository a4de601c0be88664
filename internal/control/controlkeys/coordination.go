package controlkeys

import (
	"context"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/coordination"
)

// historyMargin is how much longer the leader keeps a put than a watcher may use a revision. It covers the time that an answer takes to
// arrive. A watcher may use the revision for a fixed time after the answer has arrived, but the next put, which the watcher must not miss,
// may become durable as soon as the leader has computed the answer.
const historyMargin = 10 * time.Second

// listFixedKeys returns the keys that exist regardless of what the configuration says: the coordination partitions, if this process keeps
// any.
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

// CoordinationReports returns the reports of the coordination partitions that this process leads. IsOff is set if this process keeps no
// coordination partitions.
func (m *Manager) CoordinationReports(ctx context.Context, _ *wire.CoordinationCall) (*wire.CoordinationReports, error) {
	if m.Coordination == nil {
		return &wire.CoordinationReports{IsOff: true}, nil
	}
	return &wire.CoordinationReports{Reports: collectReports[wire.CoordinationReport](ctx, m, wire.VerbCoordination)}, nil
}
