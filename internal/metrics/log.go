package metrics

import (
	"time"

	"gannetline/internal/logs"
	"gannetline/internal/pulse"
	"gannetline/internal/span"
)

// Log writes all that was counted so far, zeros left out, as one line.
func Log(log logs.Logger) { log.Info("metrics", "metrics", map[string]float64(Own())) }

// Logging does so again and again until the span ends.
func Logging(log logs.Logger, clock pulse.Pulse, every time.Duration) func(span.Span) error {
	return func(life span.Span) error {
		for {
			select {
			case <-life.Done():
				return nil
			case <-clock.After(every):
				Log(log)
			}
		}
	}
}
