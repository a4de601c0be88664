package configcache

import "gannetline/internal/platform/metrics"

var (
	versionsApplied  = metrics.NewCounter("gannetline_configuration_versions_total")
	versionInForce   = metrics.NewGauge("gannetline_configuration_version")
	bodyBytesFetched = metrics.NewCounter("gannetline_configuration_fetched_bytes_total")
	imagesPacked     = metrics.NewCounter("gannetline_configuration_images_packed_total")
	fetchesRefused   = metrics.NewCounter("gannetline_configuration_fetches_refused_total")
)
