package lots

import "gannetline/internal/platform/metrics"

// results counts the results that got a position, by state.
var results = metrics.NewCounters("gannetline_lot_results_total", "state")
