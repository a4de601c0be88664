package metrics

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/logging"
)

// maxMetricsPerLine keeps log lines short enough for log collectors that cut long ones.
const maxMetricsPerLine = 50

// Log logs the metrics of this process in as few lines as maxMetricsPerLine allows. It leaves out zeros and the buckets of histograms.
func Log(log logging.Logger) {
	samples := Own()
	maps.DeleteFunc(samples, func(name string, _ float64) bool { return strings.Contains(name, "_bucket{") })
	for names := range slices.Chunk(slices.Sorted(maps.Keys(samples)), maxMetricsPerLine) {
		values := map[string]float64{}
		for _, name := range names {
			values[name] = samples[name]
		}
		log.Info("metrics", "metrics", values)
	}
}

// Logging returns a part for a supervisor tree that calls Log at each interval until ctx is done.
func Logging(log logging.Logger, clock clock.Clock, interval time.Duration) func(context.Context) error {
	return func(ctx context.Context) error {
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-clock.After(interval):
				Log(log)
			}
		}
	}
}
