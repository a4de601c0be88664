package lots

import "gannetline/internal/platform/metrics"

// recordedResults counts the results that were assigned a position, by state.
var recordedResults = metrics.NewCounters("gannetline_lot_results_total", "state")
