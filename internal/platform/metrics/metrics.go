// Package metrics registers the metrics of a process and serves and logs them. Its page is in the Prometheus text format.
package metrics

import (
	"io"
	"maps"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	library "github.com/VictoriaMetrics/metrics"
)

const (
	// maxLabels is the largest number of labels of a metric.
	maxLabels = 3
	// maxSeries is the number of series of a family beyond which further label values are counted as "other".
	maxSeries = 256
	// Path is the HTTP path of the metrics page, at the internal address of a process.
	Path = "/metrics"
)

var (
	registry = library.NewSet()
	// bucketBounds are the upper bounds of the buckets of all histograms, in seconds.
	bucketBounds = []float64{0.0001, 0.0003, 0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1, 3, 10}
)

func init() { library.ExposeMetadata(true) }

type (
	// Counter is a count that only rises.
	Counter = library.Counter
	// Gauge is a value that can rise and fall.
	Gauge = library.Gauge
)

// Histogram counts durations, in seconds, in buckets.
type Histogram struct{ inner *library.PrometheusHistogram }

// Observe counts one duration.
func (h Histogram) Observe(duration time.Duration) { h.inner.Update(duration.Seconds()) }

// NewCounter registers a counter without labels. It panics if the name is taken or malformed, so call it only at start-up.
func NewCounter(name string) *Counter { return registry.NewCounter(name) }

// NewGauge registers a gauge without labels. It panics if the name is taken or malformed, so call it only at start-up.
func NewGauge(name string) *Gauge { return registry.NewGauge(name, nil) }

// NewHistogram returns the histogram of that name, with buckets from 0.1 ms to 10 s, and registers it if needed. It panics if the name is
// malformed.
func NewHistogram(name string) Histogram {
	return Histogram{registry.GetOrCreatePrometheusHistogramExt(name, bucketBounds)}
}

// labelValues holds the values of the labels of a series. Unused ones are empty.
type labelValues [maxLabels]string

// Vector is a family of series of one metric, one for each combination of the values of at most three labels.
type Vector[T any] struct {
	name   string
	labels []string
	create func(name string) T
	// series is a copy-on-write map, so that With takes no lock.
	series atomic.Pointer[map[labelValues]T]
}

func newVector[T any](create func(string) T, name string, labels []string) *Vector[T] {
	vector := &Vector[T]{name: name, labels: labels, create: create}
	vector.series.Store(&map[labelValues]T{})
	return vector
}

// NewCounters creates a family of counters with at most three labels.
func NewCounters(name string, labels ...string) *Vector[*Counter] {
	return newVector(registry.GetOrCreateCounter, name, labels)
}

// NewGauges creates a family of gauges with at most three labels.
func NewGauges(name string, labels ...string) *Vector[*Gauge] {
	return newVector(func(name string) *Gauge { return registry.GetOrCreateGauge(name, nil) }, name, labels)
}

// NewHistograms creates a family of histograms with at most three labels.
func NewHistograms(name string, labels ...string) *Vector[Histogram] {
	return newVector(NewHistogram, name, labels)
}

// With returns the series of these label values. Beyond maxSeries all further values share one more series, with the value "other"
// in each label.
func (v *Vector[T]) With(values ...string) T {
	var key labelValues
	copy(key[:], values)
	if metric, exists := (*v.series.Load())[key]; exists {
		return metric
	}
	return v.add(key)
}

// add returns the metric of a key and creates it at first use. If two goroutines add metrics at the same time, only one swap succeeds, and
// the other goroutine retries with the new map. Beyond maxSeries all keys share one metric.
func (v *Vector[T]) add(key labelValues) T {
	for {
		existing := v.series.Load()
		if len(*existing) >= maxSeries {
			key = labelValues{"other", "other", "other"}
		}
		if metric, exists := (*existing)[key]; exists {
			return metric
		}
		metric := v.create(v.seriesName(key))
		grown := maps.Clone(*existing)
		grown[key] = metric
		if v.series.CompareAndSwap(existing, &grown) {
			return metric
		}
	}
}

func (v *Vector[T]) seriesName(key labelValues) string {
	var pairs []string
	for index, label := range v.labels {
		pairs = append(pairs, label+`="`+strings.Map(sanitizeLabelRune, key[index])+`"`)
	}
	return v.name + "{" + strings.Join(pairs, ",") + "}"
}

// sanitizeLabelRune replaces characters that would need escaping in a label value by an underscore.
func sanitizeLabelRune(char rune) rune {
	if char < ' ' || char > '~' || char == '"' || char == '\\' {
		return '_'
	}
	return char
}

// Write writes all metrics of the process in the Prometheus text format.
func Write(writer io.Writer) { registry.WritePrometheus(writer) }

// Handle serves all metrics of the process under Path.
func Handle(mux *http.ServeMux) {
	mux.HandleFunc("GET "+Path, func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Content-Type", "text/plain; version=0.0.4")
		Write(writer)
	})
}
