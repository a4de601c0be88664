// Package metrics counts what a process does, and shows it in the exposition format of Prometheus.
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
	maxLabels = 3
	maxSeries = 256
	// Path is where a process shows its metrics, at its internal address.
	Path = "/metrics"
)

var (
	registry = library.NewSet()
	bounds   = []float64{0.0001, 0.0003, 0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1, 3, 10}
)

func init() { library.ExposeMetadata(true) }

type (
	// Counter only rises.
	Counter = library.Counter
	// Gauge goes up and down.
	Gauge = library.Gauge
)

// Histogram counts durations, in seconds, by size.
type Histogram struct{ kept *library.PrometheusHistogram }

// Observe counts one duration.
func (h Histogram) Observe(length time.Duration) { h.kept.Update(length.Seconds()) }

// NewCounter registers a counter without labels. It panics if the name is taken or malformed, so call it at start-up
// only.
func NewCounter(name string) *Counter { return registry.NewCounter(name) }

// NewGauge registers a gauge without labels. It panics if the name is taken or malformed, so call it at start-up
// only.
func NewGauge(name string) *Gauge { return registry.NewGauge(name, nil) }

// NewHistogram gives the histogram of that name, with buckets from 0.1 ms to 10 s. It panics if the name is
// malformed.
func NewHistogram(name string) Histogram {
	return Histogram{registry.GetOrCreatePrometheusHistogramExt(name, bounds)}
}

type labelValues [maxLabels]string

// Vector is the series of one name, told apart by the values of at most three labels.
type Vector[T any] struct {
	name   string
	labels []string
	create func(name string) T
	held   atomic.Pointer[map[labelValues]T]
}

func newVector[T any](create func(string) T, name string, labels []string) *Vector[T] {
	vector := &Vector[T]{name: name, labels: labels, create: create}
	vector.held.Store(&map[labelValues]T{})
	return vector
}

// NewCounters makes a family of counters told apart by the values of at most three labels.
func NewCounters(name string, labels ...string) *Vector[*Counter] {
	return newVector(registry.GetOrCreateCounter, name, labels)
}

// NewGauges makes a family of gauges told apart by the values of at most three labels.
func NewGauges(name string, labels ...string) *Vector[*Gauge] {
	return newVector(func(name string) *Gauge { return registry.GetOrCreateGauge(name, nil) }, name, labels)
}

// NewHistograms makes a family of histograms told apart by the values of at most three labels.
func NewHistograms(name string, labels ...string) *Vector[Histogram] {
	return newVector(NewHistogram, name, labels)
}

// With gives the series of these values; past a bound of series, all further ones are counted together as "other".
func (v *Vector[T]) With(values ...string) T {
	var key labelValues
	copy(key[:], values)
	if metric, isThere := (*v.held.Load())[key]; isThere {
		return metric
	}
	return v.add(key)
}

// add returns the metric of a key, which it creates at first use. Two goroutines may race for it: only one swap
// succeeds, and the other finds the winner's metric at its next turn. Beyond maxSeries all keys share one.
func (v *Vector[T]) add(key labelValues) T {
	for {
		current := v.held.Load()
		if len(*current) >= maxSeries {
			key = labelValues{"other", "other", "other"}
		}
		if metric, isThere := (*current)[key]; isThere {
			return metric
		}
		metric := v.create(v.seriesName(key))
		grown := maps.Clone(*current)
		grown[key] = metric
		if v.held.CompareAndSwap(current, &grown) {
			return metric
		}
	}
}

func (v *Vector[T]) seriesName(key labelValues) string {
	var pairs []string
	for place, label := range v.labels {
		pairs = append(pairs, label+`="`+strings.Map(plain, key[place])+`"`)
	}
	return v.name + "{" + strings.Join(pairs, ",") + "}"
}

func plain(sign rune) rune {
	if sign < ' ' || sign > '~' || sign == '"' || sign == '\\' {
		return '_'
	}
	return sign
}

// Write writes all metrics of the process in the Prometheus text format.
func Write(to io.Writer) { registry.WritePrometheus(to) }

// Handle serves all metrics of the process under Path.
func Handle(mux *http.ServeMux) {
	mux.HandleFunc("GET "+Path, func(to http.ResponseWriter, _ *http.Request) {
		to.Header().Set("Content-Type", "text/plain; version=0.0.4")
		Write(to)
	})
}
