package scheduler

import (
	"maps"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gannetline/internal/cluster/peerapi/wire"
)

// thousandths is the number of units per whole: CPU units per core, and run time units per estimated run time.
const thousandths = 1000

// The histograms of run times and of job sizes hold values from 1 to maxHistogramValue, with histogramDigits significant digits.
const (
	maxHistogramValue = 1 << 40
	histogramDigits   = 1
	// largeQuantile is the percentile of job sizes from which on a job counts as large, once minSizeSamples sizes are known.
	largeQuantile  = 90
	minSizeSamples = 20
)

// versionCounts holds the results of jobs and runs under one version since a rollout began.
type versionCounts struct {
	name    string
	begunMs int64
	jobs    wire.JobCounts
	large   wire.JobCounts
	zones   map[string]*wire.ZoneRuns
	// runTimes holds run times in thousandths of their estimates, jobSizes holds job sizes in core milliseconds.
	runTimes *hdrhistogram.Histogram
	jobSizes *hdrhistogram.Histogram
	// isChanged is set while the stored record is out of date.
	isChanged bool
}

func newVersionCounts(name string, begunMs int64) *versionCounts {
	return &versionCounts{name: name, begunMs: begunMs, zones: map[string]*wire.ZoneRuns{}, runTimes: newHistogram(nil), jobSizes: newHistogram(nil)}
}

// countsFrom restores counts from a record.
func countsFrom(record wire.RolloutCounts) *versionCounts {
	counts := newVersionCounts(record.Rollout, record.BegunMs)
	counts.jobs, counts.large = record.Jobs, record.Large
	for _, zone := range record.Zones {
		counts.zones[zone.Zone] = &zone
	}
	counts.runTimes, counts.jobSizes = newHistogram(record.RunTimes), newHistogram(record.Works)
	return counts
}

func newHistogram(buckets []wire.Bucket) *hdrhistogram.Histogram {
	histogram := hdrhistogram.New(1, maxHistogramValue, histogramDigits)
	for _, bucket := range buckets {
		// RecordValues fails only for a value out of range, which clamp prevents.
		_ = histogram.RecordValues(clamp(bucket.Value), bucket.Count)
	}
	return histogram
}

// clamp limits a value to the range of the histograms.
func clamp(value int64) int64 { return min(max(1, value), maxHistogramValue) }

// addCompleted counts a completed occurrence of a job. work is the job's size in core milliseconds.
func (c *versionCounts) addCompleted(work int64, isLate bool) {
	c.addJob(work, func(counts *wire.JobCounts) {
		counts.Completed++
		if isLate {
			counts.Late++
		}
	})
}

// addFailed counts a failed job. work is the job's size in core milliseconds.
func (c *versionCounts) addFailed(work int64) {
	c.addJob(work, func(counts *wire.JobCounts) { counts.Failed++ })
}

// addJob applies add to the counts of all jobs, and also to those of large jobs if the job is among the largest tenth.
func (c *versionCounts) addJob(work int64, add func(*wire.JobCounts)) {
	c.isChanged = true
	if c.jobSizes.TotalCount() >= minSizeSamples && work >= c.jobSizes.ValueAtQuantile(largeQuantile) {
		add(&c.large)
	}
	_ = c.jobSizes.RecordValue(clamp(work))
	add(&c.jobs)
}

// addRun counts a run in a zone that ended by itself.
func (c *versionCounts) addRun(zone string, isDone bool) {
	c.isChanged = true
	runs := c.zones[zone]
	if runs == nil {
		runs = &wire.ZoneRuns{Zone: zone}
		c.zones[zone] = runs
	}
	if isDone {
		runs.Done++
		return
	}
	runs.Failed++
}

// addRunTime counts a run time, in thousandths of its estimate.
func (c *versionCounts) addRunTime(permille int64) { _ = c.runTimes.RecordValue(clamp(permille)) }

// report returns the counts in the form that is stored and sent to peers.
func (c *versionCounts) report() wire.RolloutCounts {
	counts := wire.RolloutCounts{Rollout: c.name, BegunMs: c.begunMs, Jobs: c.jobs, Large: c.large, RunTimes: bucketsOf(c.runTimes), Works: bucketsOf(c.jobSizes)}
	for _, zone := range slices.Sorted(maps.Keys(c.zones)) {
		counts.Zones = append(counts.Zones, *c.zones[zone])
	}
	return counts
}

func bucketsOf(histogram *hdrhistogram.Histogram) []wire.Bucket {
	var buckets []wire.Bucket
	for _, bucket := range histogram.Distribution() {
		if bucket.Count > 0 {
			buckets = append(buckets, wire.Bucket{Value: bucket.From, Count: bucket.Count})
		}
	}
	return buckets
}
