package membership

import "gannetline/internal/platform/metrics"

var (
	datagramsSent         = metrics.NewCounters("gannetline_datagrams_sent_total", "kind")
	datagramBytesSent     = metrics.NewCounters("gannetline_datagrams_sent_bytes_total", "kind")
	datagramsReceived     = metrics.NewCounters("gannetline_datagrams_received_total", "kind")
	datagramBytesReceived = metrics.NewCounters("gannetline_datagrams_received_bytes_total", "kind")
	datagramsDropped      = metrics.NewCounters("gannetline_datagrams_dropped_total", "why")
)
