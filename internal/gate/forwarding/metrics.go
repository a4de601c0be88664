package forwarding

import "gannetline/internal/platform/metrics"

// refusals counts requests that no executor accepted.
var refusals = metrics.NewCounter("gannetline_forward_refusals_total")
