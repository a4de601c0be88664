package coordination

import "gannetline/internal/platform/metrics"

var (
	proposedChanges = metrics.NewCounters("gannetline_coordination_changes_total", "key")
	heldLocks       = metrics.NewGauges("gannetline_coordination_locks", "key")
	keptEvents      = metrics.NewGauges("gannetline_coordination_events", "key")
	waitingWatchers = metrics.NewGauges("gannetline_coordination_watchers", "key")
)
