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

// maxPerLine keeps lines short enough for collectors that cut long ones.
const maxPerLine = 50

// Log writes all that was counted so far, zeros and buckets left out, as few lines.
func Log(log logging.Logger) {
	own := Own()
	maps.DeleteFunc(own, func(name string, _ float64) bool { return strings.Contains(name, "_bucket{") })
	for names := range slices.Chunk(slices.Sorted(maps.Keys(own)), maxPerLine) {
		line := map[string]float64{}
		for _, name := range names {
			line[name] = own[name]
		}
		log.Info("metrics", "metrics", line)
	}
}

// Logging does so at each interval until ctx is done.
func Logging(log logging.Logger, clock clock.Clock, every time.Duration) func(context.Context) error {
	return func(ctx context.Context) error {
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-clock.After(every):
				Log(log)
			}
		}
	}
}
