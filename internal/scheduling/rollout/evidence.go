package rollout

import (
	"cmp"
	"maps"
	"slices"

	"gannetline/internal/cluster/peerapi/wire"
)

// Version holds the last report on one of the two versions of a rollout.
type Version struct {
	// IsKnown means that there is a report from the version's pool. Without it the other fields are zero.
	IsKnown bool
	Counts  wire.RolloutCounts
	// Executors is the number of executors that accept work, and Capacity their total capacity. Allocated is what runs use on all executors.
	// Both amounts are in thousandths of a core.
	Executors           int
	Capacity, Allocated int64
}

// VersionFrom extracts a version of a rollout from the report of its pool. It ignores the counts of an earlier rollout with the same name,
// which began at another time.
func VersionFrom(report *wire.RolloutReport, name string, begunMs int64) Version {
	version := Version{IsKnown: true, Executors: report.Executors, Capacity: report.Capacity, Allocated: report.Allocated}
	for _, counts := range report.Rollouts {
		if counts.Rollout == name && counts.BegunMs == begunMs {
			version.Counts = counts
		}
	}
	return version
}

// Evidence holds the last reports on both versions.
type Evidence struct {
	Old, New Version
}

// ended returns the number of jobs of the version that have completed or failed.
func (v *Version) ended() int64 { return v.Counts.Jobs.Completed + v.Counts.Jobs.Failed }

// judged returns the number of jobs of the version with a known outcome: those that have ended, and open ones that are past their target
// latency.
func (v *Version) judged() int64 { return v.ended() + v.Counts.Overdue }

// aspect is one criterion by which a version is judged: a kind of bad outcome, counted over a stratum of jobs or runs.
type aspect struct {
	kind    Kind
	stratum string
}

// overall returns the aspect of the same kind over all jobs or, for a stratum of runs, over all runs.
func (a aspect) overall() aspect {
	if a.stratum == largestJobs || a.stratum == allJobs {
		return aspect{a.kind, allJobs}
	}
	return aspect{a.kind, allRuns}
}

// trials counts outcomes (total), and the bad ones among them.
type trials struct{ total, bad int64 }

func (t trials) minus(earlier trials) trials {
	return trials{t.total - earlier.total, t.bad - earlier.bad}
}

func (t trials) rate() float64 {
	if t.total == 0 {
		return 0
	}
	return float64(t.bad) / float64(t.total)
}

// The strata of jobs and runs. Each zone is a further stratum of runs, named by zonePrefix and the zone.
const (
	allJobs     = "all jobs"
	largestJobs = "largest tenth of jobs"
	allRuns     = "all runs"
	zonePrefix  = "runs in zone "
)

// sample counts the outcomes of a version up to one moment, by aspect.
type sample map[aspect]trials

// sampleOf counts the outcomes of a version by all aspects. A run is slow if it took longer than slowLimit, in thousandths of its
// estimate; with a slowLimit of 0, run times are left out.
func sampleOf(version *Version, slowLimit int64) sample {
	counts := &version.Counts
	counted := sample{
		{Failures, allJobs}:     {counts.Jobs.Completed + counts.Jobs.Failed, counts.Jobs.Failed},
		{Failures, largestJobs}: {counts.Large.Completed + counts.Large.Failed, counts.Large.Failed},
		{Late, allJobs}:         {counts.Jobs.Completed + counts.Overdue, counts.Jobs.Late + counts.Overdue},
		{Late, largestJobs}:     {counts.Large.Completed, counts.Large.Late},
	}
	var runs trials
	for _, zone := range counts.Zones {
		counted[aspect{Failures, zonePrefix + zone.Zone}] = trials{zone.Done + zone.Failed, zone.Failed}
		runs = trials{runs.total + zone.Done + zone.Failed, runs.bad + zone.Failed}
	}
	counted[aspect{Failures, allRuns}] = runs
	if slowLimit > 0 {
		counted[aspect{RunTime, allRuns}] = slowerThan(counts.RunTimes, slowLimit)
	}
	return counted
}

// aspects returns the aspects of a sample in sorted order.
func (s sample) aspects() []aspect {
	return slices.SortedFunc(maps.Keys(s), func(a, b aspect) int { return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.stratum, b.stratum)) })
}

// slowerThan counts all values of a histogram, with those above a limit as the bad ones.
func slowerThan(histogram []wire.Bucket, limit int64) trials {
	var counted trials
	for _, bucket := range histogram {
		counted.total += bucket.Count
		if bucket.Value > limit {
			counted.bad += bucket.Count
		}
	}
	return counted
}

// quantile returns the lowest bucket value of a sorted histogram such that at least the given share of the values is at or below it, or 0
// for an empty histogram.
func quantile(histogram []wire.Bucket, share float64) int64 {
	var total, below int64
	for _, bucket := range histogram {
		total += bucket.Count
	}
	for _, bucket := range histogram {
		below += bucket.Count
		if float64(below) >= share*float64(total) {
			return bucket.Value
		}
	}
	return 0
}
