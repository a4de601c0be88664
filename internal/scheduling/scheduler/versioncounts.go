package scheduler

import (
	"maps"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gannetline/internal/cluster/peerapi/wire"
)

// thousandths is how many units make one whole, of a core and of an estimate.
const thousandths = 1000

// The histograms of run times and of jobs' sizes hold values from 1 to maxHistogramValue, with so many significant digits.
const (
	maxHistogramValue = 1 << 40
	histogramDigits   = 1
	// largestTenth is the quantile from which on a job counts among the largest, once minWorks sizes are known.
	largestTenth = 90
	minWorks     = 20
)

// versionCounts is what one version has done since a rollout began.
type versionCounts struct {
	name    string
	begunMs int64
	jobs    wire.JobCounts
	large   wire.JobCounts
	zones   map[string]*wire.ZoneRuns
	// runTimes are in thousandths of the estimates, works in core milliseconds.
	runTimes *hdrhistogram.Histogram
	works    *hdrhistogram.Histogram
	// isChanged tells that the record on disk is older.
	isChanged bool
}

func newVersionCounts(name string, begunMs int64) *versionCounts {
	return &versionCounts{name: name, begunMs: begunMs, zones: map[string]*wire.ZoneRuns{}, runTimes: newHistogram(nil), works: newHistogram(nil)}
}

// countsFrom restores counts from a record.
func countsFrom(record wire.RolloutCounts) *versionCounts {
	counts := newVersionCounts(record.Rollout, record.BegunMs)
	counts.jobs, counts.large = record.Jobs, record.Large
	for _, zone := range record.Zones {
		counts.zones[zone.Zone] = &zone
	}
	counts.runTimes, counts.works = newHistogram(record.RunTimes), newHistogram(record.Works)
	return counts
}

func newHistogram(buckets []wire.Bucket) *hdrhistogram.Histogram {
	histogram := hdrhistogram.New(1, maxHistogramValue, histogramDigits)
	for _, bucket := range buckets {
		// The error says that a value is out of range, which bounded never is.
		_ = histogram.RecordValues(bounded(bucket.Value), bucket.Count)
	}
	return histogram
}

func bounded(value int64) int64 { return min(max(1, value), maxHistogramValue) }

// addCompleted counts a job of a size that is complete.
func (c *versionCounts) addCompleted(work int64, isLate bool) {
	c.addJob(work, func(counts *wire.JobCounts) {
		counts.Completed++
		if isLate {
			counts.Late++
		}
	})
}

// addFailed counts a job of a size that has failed.
func (c *versionCounts) addFailed(work int64) {
	c.addJob(work, func(counts *wire.JobCounts) { counts.Failed++ })
}

func (c *versionCounts) addJob(work int64, add func(*wire.JobCounts)) {
	c.isChanged = true
	if c.works.TotalCount() >= minWorks && work >= c.works.ValueAtQuantile(largestTenth) {
		add(&c.large)
	}
	_ = c.works.RecordValue(bounded(work))
	add(&c.jobs)
}

// addRun counts a run that ended by itself in a zone.
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

// addRunTime counts how long a run took, in thousandths of its estimate.
func (c *versionCounts) addRunTime(permille int64) { _ = c.runTimes.RecordValue(bounded(permille)) }

// report is what peers and records get.
func (c *versionCounts) report() wire.RolloutCounts {
	counts := wire.RolloutCounts{Rollout: c.name, BegunMs: c.begunMs, Jobs: c.jobs, Large: c.large, RunTimes: bucketsOf(c.runTimes), Works: bucketsOf(c.works)}
	for _, zone := range slices.Sorted(maps.Keys(c.zones)) {
		counts.Zones = append(counts.Zones, *c.zones[zone])
	}
	return counts
}

func bucketsOf(histogram *hdrhistogram.Histogram) []wire.Bucket {
	var buckets []wire.Bucket
	for _, bar := range histogram.Distribution() {
		if bar.Count > 0 {
			buckets = append(buckets, wire.Bucket{Value: bar.From, Count: bar.Count})
		}
	}
	return buckets
}
