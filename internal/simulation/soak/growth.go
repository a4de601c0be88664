package soak

import (
	"fmt"
	"math"
	"time"

	"gonum.org/v1/gonum/stat"
)

const (
	// warmUp is the time after the first sample of an incarnation for which its samples are left out, as it may grow until then.
	warmUp = 15 * time.Second
	// minSamples is the minimum number of samples for a slope.
	minSamples = 20
	// minFit is the minimum r squared of a slope that counts as growth: the fraction of the variance that the slope explains.
	minFit = 0.8
	// maxGrowth is the tolerated growth over the observed time, as a fraction of the mean.
	maxGrowth = 0.5
)

// resource is a measured resource of a process. toleratedGrowth is the growth over the observed time that is never reported.
type resource struct {
	name            string
	toleratedGrowth float64
	valueIn         func(*Sample) float64
}

var resources = []resource{
	{"memory, bytes", 24 << 20, func(s *Sample) float64 { return s.Memory }},
	{"goroutines", 60, func(s *Sample) float64 { return s.Goroutines }},
	{"descriptors", 60, func(s *Sample) float64 { return s.Descriptors }},
	{"disk, bytes", 64 << 20, func(s *Sample) float64 { return s.Disk }},
}

// Slope is the change per second of one resource in one incarnation of a process, with its standard error and its r squared
// (Fit). Mean is the mean value of the resource, and Seconds the observed time.
type Slope struct {
	Process  string  `json:"process"`
	Resource string  `json:"resource"`
	Mean     float64 `json:"mean"`
	Slope    float64 `json:"slope"`
	Error    float64 `json:"error"`
	Fit      float64 `json:"fit"`
	Seconds  float64 `json:"seconds"`
	isGrowth bool
}

// slopes returns the slope of each resource for each incarnation with enough samples after warmUp.
func slopes(h *History) []Slope {
	type incarnation struct {
		process string
		number  int
	}
	byIncarnation, order := map[incarnation][]Sample{}, []incarnation{}
	for _, sample := range h.Samples {
		key := incarnation{sample.Process, sample.Incarnation}
		if byIncarnation[key] == nil {
			order = append(order, key)
		}
		byIncarnation[key] = append(byIncarnation[key], sample)
	}
	var all []Slope
	for _, key := range order {
		samples := byIncarnation[key]
		for len(samples) > 0 && samples[0].At < byIncarnation[key][0].At+warmUp {
			samples = samples[1:]
		}
		if len(samples) < minSamples {
			continue
		}
		for _, resource := range resources {
			all = append(all, slopeOf(samples, resource))
		}
	}
	return all
}

// slopeOf fits a line to the samples of one resource.
func slopeOf(samples []Sample, resource resource) Slope {
	var seconds, values []float64
	for index := range samples {
		seconds, values = append(seconds, samples[index].At.Seconds()), append(values, resource.valueIn(&samples[index]))
	}
	base, slope := stat.LinearRegression(seconds, values, nil, false)
	result := Slope{Process: samples[0].Process, Resource: resource.name, Mean: stat.Mean(values, nil), Slope: slope,
		Seconds: seconds[len(seconds)-1] - seconds[0]}
	if stat.Variance(values, nil) > 0 {
		result.Fit = stat.RSquared(seconds, values, nil, base, slope)
	}
	var residual float64
	for index, at := range seconds {
		residual += math.Pow(values[index]-base-slope*at, 2)
	}
	result.Error = math.Sqrt(residual / float64(len(values)-2) / (stat.Variance(seconds, nil) * float64(len(values)-1)))
	growth := slope * result.Seconds
	result.isGrowth = result.Fit >= minFit && growth > resource.toleratedGrowth && growth > maxGrowth*result.Mean
	return result
}

// growingResources is OracleGrowth: it reports the slopes that count as growth.
func growingResources(h *History) []Violation {
	var violations []Violation
	for _, slope := range slopes(h) {
		if slope.isGrowth {
			violations = append(violations, Violation{OracleGrowth, 0, fmt.Sprintf("%s: %s grow by %.3g a second (error %.2g) over %.0f s, mean %.3g", slope.Process,
				slope.Resource, slope.Slope, slope.Error, slope.Seconds, slope.Mean)})
		}
	}
	return violations
}
