package rollout

import (
	"cmp"
	"maps"
	"slices"

	"gannetline/internal/cluster/peerapi/wire"
)

// Version is what is known of one of the two versions.
type Version struct {
	// IsKnown tells that its pool has answered lately.
	IsKnown bool
	Counts  wire.RolloutCounts
	// Executors is how many take work; Capacity and Allocated are in thousandths of a core.
	Executors           int
	Capacity, Allocated int64
}

// VersionFrom finds the counts of a rollout in the report of a version's pool. Counts of an earlier rollout of the same name are left out.
func VersionFrom(report *wire.RolloutReport, name string, begunMs int64) Version {
	version := Version{IsKnown: true, Executors: report.Executors, Capacity: report.Capacity, Allocated: report.Allocated}
	for _, counts := range report.Rollouts {
		if counts.Rollout == name && counts.BegunMs == begunMs {
			version.Counts = counts
		}
	}
	return version
}

// Evidence is what is known of both versions at one moment.
type Evidence struct {
	Old, New Version
}

// ended is how many jobs of the version have ended.
func (v *Version) ended() int64 { return v.Counts.Jobs.Completed + v.Counts.Jobs.Failed }

// judged is how many jobs of the version can be judged: those that have ended, and those that have missed their target already.
func (v *Version) judged() int64 { return v.ended() + v.Counts.Overdue }

// aspect is one thing that a version is judged by.
type aspect struct {
	kind    Kind
	stratum string
}

// overall is the same thing judged over all jobs, or over all runs.
func (a aspect) overall() aspect {
	if a.stratum == largestJobs || a.stratum == allJobs {
		return aspect{a.kind, allJobs}
	}
	return aspect{a.kind, allRuns}
}

// trials are so many outcomes, of which some are bad.
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

// The strata of jobs; those of runs are the zones.
const (
	allJobs     = "all jobs"
	largestJobs = "largest tenth of jobs"
	allRuns     = "all runs"
	zonePrefix  = "runs in zone "
)

// sample is what was counted of a version at one moment, by aspect.
type sample map[aspect]trials

// sampleOf counts a version by all aspects. A run is slow if it took longer than slowFrom thousandths of its estimate; 0 judges no times.
func sampleOf(version *Version, slowFrom int64) sample {
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
	if slowFrom > 0 {
		counted[aspect{RunTime, allRuns}] = slowerThan(counts.RunTimes, slowFrom)
	}
	return counted
}

// aspects lists those of a sample, in an order that is the same each time.
func (s sample) aspects() []aspect {
	return slices.SortedFunc(maps.Keys(s), func(a, b aspect) int { return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.stratum, b.stratum)) })
}

// slowerThan counts the values of a histogram, and those above a limit.
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

// quantile gives the value below or at which a share of a histogram lies; 0 for an empty one.
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
