package coordinationapi

import "gannetline/internal/platform/metrics"

var callsServed = metrics.NewCounters("gannetline_coordination_calls_total", "verb", "status")
