package controlkeys

import (
	"context"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/coordination"
)

// historyMargin is how long puts are kept beyond the time for which a revision stays good: a watcher counts that time from when an
// answer arrives, and the leader the age of the put that follows from when that was durable, which is no earlier than when the answer
// was worked out.
const historyMargin = 10 * time.Second

// standingKeys are the keys that there are with every configuration.
func (m *Manager) standingKeys() []string {
	if m.Coordination == nil {
		return nil
	}
	return coordination.Keys()
}

// coordinationSurroundings are what a part with locks, numbers and cells needs beyond its key.
func (m *Manager) coordinationSurroundings() coordination.Surroundings {
	return coordination.Surroundings{Clock: m.Clock, Log: m.Log, HistoryTime: m.Coordination.History + historyMargin,
		ReleaseTime: m.Coordination.Release}
}

// CoordinationReports gathers what the parts that are led here hold.
func (m *Manager) CoordinationReports(ctx context.Context, _ *wire.CoordinationCall) (*wire.CoordinationReports, error) {
	if m.Coordination == nil {
		return &wire.CoordinationReports{IsOff: true}, nil
	}
	return &wire.CoordinationReports{Reports: gatherReports[wire.CoordinationReport](ctx, m, wire.VerbCoordination)}, nil
}
