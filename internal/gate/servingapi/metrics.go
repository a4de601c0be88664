package servingapi

import "gannetline/internal/platform/metrics"

// requests counts clients' requests by kind.
var requests = metrics.NewCounters("gannetline_serving_requests_total", "kind")
