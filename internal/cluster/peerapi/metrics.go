package peerapi

import "gannetline/internal/platform/metrics"

// The values of the label "side" of the metrics of calls.
const (
	sideMade   = "made"
	sideServed = "served"
)

var (
	calls         = metrics.NewCounters("gannetline_peer_calls_total", "procedure", "side")
	callErrors    = metrics.NewCounters("gannetline_peer_call_errors_total", "procedure", "side")
	sentBytes     = metrics.NewCounters("gannetline_peer_sent_bytes_total", "procedure", "side")
	receivedBytes = metrics.NewCounters("gannetline_peer_received_bytes_total", "procedure", "side")
)
