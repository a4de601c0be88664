// Package rollout decides whether a new version of a service gets a larger share of a route's jobs, or is turned back. It is pure: the
// counts of both versions and the time go in, a decision comes out with the figures that it was made of.
package rollout

import (
	"fmt"
	"slices"
	"time"

	"gannetline/internal/cluster/configuration"
)

// Action is what should become of a rollout.
type Action string

// The actions. Hold leaves the rollout as it is.
const (
	Hold     Action = "hold"
	Begin    Action = "begin"
	Widen    Action = "widen"
	Finish   Action = "finish"
	TurnBack Action = "turn back"
)

// Reason says why a decision was made.
type Reason string

// The reasons.
const (
	ReasonBehaves       Reason = "the new version behaves"
	ReasonFailures      Reason = "more failures than agreed"
	ReasonLate          Reason = "more late jobs than agreed"
	ReasonRunTime       Reason = "runs take longer than agreed"
	ReasonNoExecutors   Reason = "the new version has no executors"
	ReasonSilent        Reason = "a pool of the two versions does not answer"
	ReasonPaused        Reason = "paused by an operator"
	ReasonMinTime       Reason = "the step has not lasted long enough"
	ReasonMinJobs       Reason = "too few jobs of the new version have ended in the step"
	ReasonUnclear       Reason = "the new version is worse than agreed, which is not certain yet"
	ReasonNoCapacityOld Reason = "the old version would not have room for all jobs again"
	ReasonNoCapacityNew Reason = "the new version has no room for the next share"
	ReasonOver          Reason = "the rollout is over"
)

// Kind is what a verdict is about.
type Kind string

// The kinds of verdicts.
const (
	Failures Kind = "failures"
	Late     Kind = "late"
	RunTime  Kind = "run time"
)

// reasonOf is why a version is turned back that a verdict of a kind is against.
func reasonOf(kind Kind) Reason {
	switch kind {
	case Late:
		return ReasonLate
	case RunTime:
		return ReasonRunTime
	}
	return ReasonFailures
}

// Verdict is the figures of one aspect of the new version.
type Verdict struct {
	Kind    Kind
	Stratum string
	// Total outcomes of the new version were counted, Bad of them; Bound is the share that may be bad, Baseline that of the old version.
	Total, Bad      int64
	Bound, Baseline float64
	// Evidence is that against the version, Level that from which on it counts as proved; both are logarithms.
	Evidence, Level float64
	// Window is the number of the window in which the outcomes were counted, from 1; all since the beginning are 1.
	Window int
}

// String is the verdict as logs and operators read it.
func (v Verdict) String() string {
	return fmt.Sprintf("%s of %s: %d of %d, agreed %.3f (old version %.3f), evidence %.1f of %.1f", v.Kind, v.Stratum, v.Bad, v.Total, v.Bound,
		v.Baseline, v.Evidence, v.Level)
}

func (v Verdict) isProved() bool { return v.Evidence >= v.Level }

// isWorse tells whether the outcomes are worse than agreed, as far as they go.
func (v Verdict) isWorse() bool { return v.Total > 0 && float64(v.Bad)/float64(v.Total) > v.Bound }

// Decision is what should become of a rollout, with the figures.
type Decision struct {
	Action Action
	Reason Reason
	// Verdicts are the figures of all aspects since the beginning; Decisive is the one that turned the version back, if one did.
	Verdicts []Verdict
	Decisive *Verdict
}

const (
	// windowLength is how long after one another windows begin in which outcomes are counted anew, so that a version that begins to fail late
	// is found although it behaved for long.
	windowLength = time.Minute
	// maxWindows are watched at once: the first, since the beginning, and the last ones.
	maxWindows = 6
	// goneTimeout is how long the new version may be without executors.
	goneTimeout = 3 * time.Second
	// slowQuantile is the quantile of the old version's run times that the new version's are held against, and slowShare the share of runs
	// that may be above it in either version.
	slowQuantile = 0.9
	slowShare    = 1 - slowQuantile
	// slowMargin is how much larger that share may be, as a histogram's bars are not exact.
	slowMargin = 0.05
)

// window is a stretch of time in which outcomes are counted anew.
type window struct {
	number int
	// begun is what was known when it began; the outcomes until then don't count in it.
	begun Evidence
}

// Judge watches one rollout. It holds only what can be found again from the counts: after a change of the leader a new one begins with the
// window since the beginning, and opens further ones from then on.
type Judge struct {
	windows []window
	// goneSinceMs is when the new version was first seen without executors, 0 while it has some.
	goneSinceMs int64
}

// Decide says what should become of a rollout at a time of day, in milliseconds since 1970.
func (j *Judge) Decide(rollout *configuration.Rollout, evidence Evidence, nowMs int64) Decision {
	switch {
	case rollout.IsOver():
		return Decision{Action: Hold, Reason: ReasonOver}
	case !evidence.Old.IsKnown || !evidence.New.IsKnown:
		return Decision{Action: Hold, Reason: ReasonSilent}
	case rollout.State == configuration.RolloutRequested:
		return begin(rollout, evidence)
	}
	verdicts, decisive := j.judge(rollout, evidence, nowMs)
	decision := Decision{Action: Hold, Verdicts: verdicts, Decisive: decisive}
	switch {
	case j.isGone(evidence, nowMs):
		decision.Action, decision.Reason = TurnBack, ReasonNoExecutors
	case decisive != nil:
		decision.Action, decision.Reason = TurnBack, reasonOf(decisive.Kind)
	default:
		decision.Action, decision.Reason = widen(rollout, evidence, verdicts, nowMs)
	}
	return decision
}

// begin lets the new version have its first share once it has executors and the old one has capacity.
func begin(rollout *configuration.Rollout, evidence Evidence) Decision {
	if evidence.New.Executors == 0 {
		return Decision{Action: Hold, Reason: ReasonNoExecutors}
	}
	if reason, hasCapacity := hasCapacityFor(rollout.Steps[0].Share, evidence); !hasCapacity {
		return Decision{Action: Hold, Reason: reason}
	}
	return Decision{Action: Begin, Reason: ReasonBehaves}
}

// isGone tells whether the new version has had no executors for some time.
func (j *Judge) isGone(evidence Evidence, nowMs int64) bool {
	if evidence.New.Executors > 0 {
		j.goneSinceMs = 0
		return false
	}
	if j.goneSinceMs == 0 {
		j.goneSinceMs = nowMs
	}
	return nowMs-j.goneSinceMs >= goneTimeout.Milliseconds()
}

// widen says whether the next step may begin, and otherwise what keeps it.
func widen(rollout *configuration.Rollout, evidence Evidence, verdicts []Verdict, nowMs int64) (Action, Reason) {
	step := rollout.Steps[rollout.Step]
	isLast := rollout.Step == len(rollout.Steps)-1
	switch {
	case rollout.State == configuration.RolloutPaused:
		return Hold, ReasonPaused
	case float64(nowMs-rollout.StepBegunMs) < step.MinTimeS*float64(time.Second/time.Millisecond):
		return Hold, ReasonMinTime
	case evidence.New.ended()-rollout.StepJobs < max(1, step.MinJobs):
		return Hold, ReasonMinJobs
	case slices.ContainsFunc(verdicts, Verdict.isWorse):
		return Hold, ReasonUnclear
	case isLast:
		return Finish, ReasonBehaves
	}
	if reason, hasCapacity := hasCapacityFor(rollout.Steps[rollout.Step+1].Share, evidence); !hasCapacity {
		return Hold, reason
	}
	return Widen, ReasonBehaves
}

// hasCapacityFor tells whether the new version has capacity for a share of all that runs, and the old one for all of it once more, so that the new
// one can be turned back at any time.
func hasCapacityFor(share float64, evidence Evidence) (Reason, bool) {
	load := evidence.Old.Allocated + evidence.New.Allocated
	switch {
	case load > evidence.Old.Capacity:
		return ReasonNoCapacityOld, false
	case share*float64(load) > float64(evidence.New.Capacity):
		return ReasonNoCapacityNew, false
	}
	return "", true
}

// judge gives the figures of all aspects since the beginning, and the first that proves the new version bad in any window.
func (j *Judge) judge(rollout *configuration.Rollout, evidence Evidence, nowMs int64) (verdicts []Verdict, decisive *Verdict) {
	j.openWindow(rollout, evidence, nowMs)
	hasFloor := evidence.New.judged() >= minJobsOf(rollout)
	now := samplesOf(evidence, slowLimit(rollout, evidence))
	for index, window := range j.windows {
		judged := judgeWindow(rollout, window, now)
		if index == 0 {
			verdicts = judged
		}
		for _, verdict := range judged {
			if hasFloor && decisive == nil && verdict.isProved() {
				decisive = &verdict
			}
		}
	}
	return verdicts, decisive
}

// slowLimit is from which run time on a run counts as slow, in thousandths of its estimate; 0 while that is not judged.
func slowLimit(rollout *configuration.Rollout, evidence Evidence) int64 {
	if rollout.Bounds.RunTimeFactor == 0 || slowerThan(evidence.Old.Counts.RunTimes, 0).total < minBaseline {
		return 0
	}
	return int64(rollout.Bounds.RunTimeFactor * float64(quantile(evidence.Old.Counts.RunTimes, slowQuantile)))
}

func minJobsOf(rollout *configuration.Rollout) int64 {
	if rollout.Bounds.MinJobs > 0 {
		return rollout.Bounds.MinJobs
	}
	return configuration.DefaultMinJobs
}

// openWindow opens the window since the beginning, and a further one when it is due.
func (j *Judge) openWindow(rollout *configuration.Rollout, evidence Evidence, nowMs int64) {
	if len(j.windows) == 0 {
		j.windows = append(j.windows, window{number: 1})
	}
	number := 1 + int((nowMs-rollout.BegunMs)/windowLength.Milliseconds())
	if number <= j.windows[len(j.windows)-1].number {
		return
	}
	j.windows = append(j.windows, window{number: number, begun: evidence})
	if len(j.windows) > maxWindows {
		j.windows = slices.Delete(j.windows, 1, 2)
	}
}

// samples are the counts of both versions by all aspects, with the run time from which on a run counts as slow.
type samples struct {
	old, new sample
	slowFrom int64
}

func samplesOf(evidence Evidence, slowFrom int64) samples {
	return samples{old: sampleOf(&evidence.Old, slowFrom), new: sampleOf(&evidence.New, slowFrom), slowFrom: slowFrom}
}

// judgeWindow judges all aspects that something was agreed on by what was counted since a window began.
func judgeWindow(rollout *configuration.Rollout, window window, now samples) []Verdict {
	falseAlarm := rollout.Bounds.FalseAlarm
	if falseAlarm == 0 {
		falseAlarm = configuration.DefaultFalseAlarm
	}
	before := samplesOf(window.begun, now.slowFrom)
	level := alarmLevel(falseAlarm, len(now.new), window.number)
	var verdicts []Verdict
	for _, aspect := range now.new.aspects() {
		agreed, isJudged := agreedOn(rollout.Bounds, aspect.kind)
		if !isJudged {
			continue
		}
		counted := now.new[aspect].minus(before.new[aspect])
		baseline := baselineRate(now.old[aspect].minus(before.old[aspect]), now.old[aspect], now.old[aspect.overall()])
		if aspect.kind == RunTime {
			baseline = slowShare
		}
		bound := min(1, baseline+agreed)
		verdicts = append(verdicts, Verdict{Kind: aspect.kind, Stratum: aspect.stratum, Total: counted.total, Bad: counted.bad, Bound: bound,
			Baseline: baseline, Evidence: logEvidence(counted, bound), Level: level, Window: window.number})
	}
	return verdicts
}

// agreedOn is the share of bad outcomes that was agreed on beyond that of the old version.
func agreedOn(bounds configuration.RolloutBounds, kind Kind) (share float64, isJudged bool) {
	switch kind {
	case Failures:
		return bounds.Failures, bounds.Failures > 0
	case Late:
		return bounds.Late, bounds.Late > 0
	}
	return slowMargin, bounds.RunTimeFactor > 0
}
