package executorapi

import "gannetline/internal/platform/metrics"

var (
	calls         = metrics.NewCounters("gannetline_executor_calls_total", "path", "result")
	sentBytes     = metrics.NewCounters("gannetline_executor_sent_bytes_total", "path")
	receivedBytes = metrics.NewCounters("gannetline_executor_received_bytes_total", "path")
)
