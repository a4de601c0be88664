package clientapi

import "gannetline/internal/platform/metrics"

var (
	calls       = metrics.NewCounters("gannetline_client_calls_total", "verb", "status")
	callSeconds = metrics.NewHistograms("gannetline_client_call_seconds", "verb")
)
