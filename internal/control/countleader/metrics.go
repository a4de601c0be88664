package countleader

import "gannetline/internal/platform/metrics"

var (
	grantCalls   = metrics.NewCounters("gannetline_count_calls_total", "key")
	grantTurns   = metrics.NewCounters("gannetline_count_turns_total", "key")
	grantChanges = metrics.NewCounters("gannetline_count_changes_total", "key")
)
