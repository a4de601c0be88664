package configcache

import "gannetline/internal/platform/metrics"

var (
	versionsTaken    = metrics.NewCounter("gannetline_plan_versions_total")
	versionHeld      = metrics.NewGauge("gannetline_plan_version")
	bodyBytesFetched = metrics.NewCounter("gannetline_plan_fetched_bytes_total")
	imagesPacked     = metrics.NewCounter("gannetline_plan_images_packed_total")
	fetchesRefused   = metrics.NewCounter("gannetline_plan_fetches_refused_total")
)
