// Package rollout decides whether a new version of a service gets a larger share of a route's jobs or is rolled back. Its input is the
// counts of both versions and the time; its output is a decision with the figures that it is based on. It has no clock and no network
// access.
package rollout

import (
	"fmt"
	"slices"
	"time"

	"gannetline/internal/cluster/configuration"
)

// Action is the change that a decision makes to a rollout.
type Action string

// The actions. Hold changes nothing, Begin gives the new version its first share, Widen its next one, Finish moves the route to the new
// version, and RollBack returns all jobs to the old one.
const (
	Hold     Action = "hold"
	Begin    Action = "begin"
	Widen    Action = "widen"
	Finish   Action = "finish"
	RollBack Action = "turn back"
)

// Reason is why a decision was made. Operators see it in the status, the logs and the configuration.
type Reason string

// The reasons.
const (
	ReasonBehaves       Reason = "the new version behaves"
	ReasonFailures      Reason = "more failures than agreed"
	ReasonLate          Reason = "more late jobs than agreed"
	ReasonRunTime       Reason = "runs take longer than agreed"
	ReasonNoExecutors   Reason = "the new version has no executors"
	ReasonNoAnswer      Reason = "a pool of the two versions does not answer"
	ReasonPaused        Reason = "paused by an operator"
	ReasonMinTime       Reason = "the step has not lasted long enough"
	ReasonMinJobs       Reason = "too few jobs of the new version have ended in the step"
	ReasonUnclear       Reason = "the new version is worse than agreed, which is not certain yet"
	ReasonNoCapacityOld Reason = "the old version would not have room for all jobs again"
	ReasonNoCapacityNew Reason = "the new version has no room for the next share"
	ReasonOver          Reason = "the rollout is over"
)

// Kind is the kind of bad outcome that a verdict counts.
type Kind string

// The kinds of bad outcomes: failed jobs and runs, jobs that end after their target, and runs that take too long.
const (
	Failures Kind = "failures"
	Late     Kind = "late"
	RunTime  Kind = "run time"
)

// reasonOf returns the reason for rolling a version back because of a proved verdict of a kind.
func reasonOf(kind Kind) Reason {
	switch kind {
	case Late:
		return ReasonLate
	case RunTime:
		return ReasonRunTime
	}
	return ReasonFailures
}

// Verdict is the result for one aspect of the new version in one window.
type Verdict struct {
	Kind    Kind
	Stratum string
	// Total and Bad count the outcomes of the new version. Bound is the share of outcomes that may be bad. Baseline is the share that is
	// expected from the old version, which Bound exceeds by the agreed margin.
	Total, Bad      int64
	Bound, Baseline float64
	// Evidence is the evidence that the version exceeds the bound; from Level on it counts as proved. Both are natural logarithms.
	Evidence, Level float64
	// Window is the number of the window in which the outcomes were counted. Window 1 covers the whole rollout.
	Window int
}

// String formats the verdict for logs and operators.
func (v Verdict) String() string {
	return fmt.Sprintf("%s of %s: %d of %d, agreed %.3f (old version %.3f), evidence %.1f of %.1f", v.Kind, v.Stratum, v.Bad, v.Total, v.Bound,
		v.Baseline, v.Evidence, v.Level)
}

func (v Verdict) isProved() bool { return v.Evidence >= v.Level }

// isWorse reports whether the share of bad outcomes is above the bound, proved or not.
func (v Verdict) isWorse() bool { return v.Total > 0 && float64(v.Bad)/float64(v.Total) > v.Bound }

// Decision is the next action of a rollout, with the figures that it is based on.
type Decision struct {
	Action Action
	Reason Reason
	// Verdicts are the verdicts on all aspects over the whole rollout; there are none if the versions are not judged. Decisive is the first
	// proved verdict of any window, or nil. A proved verdict always rolls the version back.
	Verdicts []Verdict
	Decisive *Verdict
}

const (
	// windowInterval is the interval at which new windows begin. A window counts outcomes from its own start, so that a version that begins to
	// fail is detected quickly even after a long time without failures.
	windowInterval = time.Minute
	// maxWindows is how many windows are kept: the first, which covers the whole rollout, and the latest ones.
	maxWindows = 6
	// noExecutorsTimeout is how long the new version may have no executors before it is rolled back.
	noExecutorsTimeout = 3 * time.Second
	// slowQuantile is the quantile of the old version's run times that, multiplied by Bounds.RunTimeFactor, separates slow runs from others.
	// slowShare is the expected share of runs above the quantile.
	slowQuantile = 0.9
	slowShare    = 1 - slowQuantile
	// slowMargin is by how much the new version's share of slow runs may exceed slowShare, because histogram buckets are inexact.
	slowMargin = 0.05
)

// window is the time from one moment of the rollout until now. So all windows overlap.
type window struct {
	number int
	// startEvidence is the evidence when the window began. Its counts are subtracted from later ones. It is zero for the first window.
	startEvidence Evidence
}

// Judge decides on one rollout. It needs no stored state: after a change of leader a new Judge starts with the window over the whole
// rollout, and opens further windows from then on.
type Judge struct {
	windows []window
	// noExecutorsSinceMs is the time of day from which on all reports of the new version showed no executors, 0 while it has some.
	noExecutorsSinceMs int64
}

// Decide returns the next action of a rollout. nowMs is the time of day in milliseconds since 1970.
func (j *Judge) Decide(rollout *configuration.Rollout, evidence Evidence, nowMs int64) Decision {
	switch {
	case rollout.IsOver():
		return Decision{Action: Hold, Reason: ReasonOver}
	case !evidence.Old.IsKnown || !evidence.New.IsKnown:
		return Decision{Action: Hold, Reason: ReasonNoAnswer}
	case rollout.State == configuration.RolloutRequested:
		return decideBegin(rollout, evidence)
	}
	verdicts, decisive := j.judge(rollout, evidence, nowMs)
	decision := Decision{Action: Hold, Verdicts: verdicts, Decisive: decisive}
	switch {
	case j.hasLostExecutors(evidence, nowMs):
		decision.Action, decision.Reason = RollBack, ReasonNoExecutors
	case decisive != nil:
		decision.Action, decision.Reason = RollBack, reasonOf(decisive.Kind)
	default:
		decision.Action, decision.Reason = decideNextStep(rollout, evidence, verdicts, nowMs)
	}
	return decision
}

// decideBegin returns Begin for a requested rollout once the new version has executors and both versions have the capacity, and otherwise
// Hold with the reason.
func decideBegin(rollout *configuration.Rollout, evidence Evidence) Decision {
	if evidence.New.Executors == 0 {
		return Decision{Action: Hold, Reason: ReasonNoExecutors}
	}
	if reason, hasCapacity := hasCapacityFor(rollout.Steps[0].Share, evidence); !hasCapacity {
		return Decision{Action: Hold, Reason: reason}
	}
	return Decision{Action: Begin, Reason: ReasonBehaves}
}

// hasLostExecutors reports whether the new version has had no executors for noExecutorsTimeout.
func (j *Judge) hasLostExecutors(evidence Evidence, nowMs int64) bool {
	if evidence.New.Executors > 0 {
		j.noExecutorsSinceMs = 0
		return false
	}
	if j.noExecutorsSinceMs == 0 {
		j.noExecutorsSinceMs = nowMs
	}
	return nowMs-j.noExecutorsSinceMs >= noExecutorsTimeout.Milliseconds()
}

// decideNextStep returns Widen or Finish if the current step is complete, and otherwise Hold with the reason.
func decideNextStep(rollout *configuration.Rollout, evidence Evidence, verdicts []Verdict, nowMs int64) (Action, Reason) {
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

// hasCapacityFor reports whether the new version has capacity for a share of the total load, and the old version for all of it, so that
// the rollout can be rolled back at any time. If not, the reason names the version that lacks capacity.
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

// judge returns the verdicts on all aspects over the whole rollout, and the first proved verdict of any window, or nil. No verdict is
// decisive before the minimum number of jobs of the new version have a known outcome.
func (j *Judge) judge(rollout *configuration.Rollout, evidence Evidence, nowMs int64) (verdicts []Verdict, decisive *Verdict) {
	j.openWindow(rollout, evidence, nowMs)
	hasMinJobs := evidence.New.judged() >= minJobsOf(rollout)
	now := samplesOf(evidence, slowRunLimit(rollout, evidence))
	for index, window := range j.windows {
		judged := judgeWindow(rollout, window, now)
		if index == 0 {
			verdicts = judged
		}
		for _, verdict := range judged {
			if hasMinJobs && decisive == nil && verdict.isProved() {
				decisive = &verdict
			}
		}
	}
	return verdicts, decisive
}

// slowRunLimit returns the run time above which a run counts as slow, in thousandths of the run's estimate. It is 0 if run times are not
// judged, or if the old version has too few runs to compare with.
func slowRunLimit(rollout *configuration.Rollout, evidence Evidence) int64 {
	if rollout.Bounds.RunTimeFactor == 0 || slowerThan(evidence.Old.Counts.RunTimes, 0).total < minBaseline {
		return 0
	}
	return int64(rollout.Bounds.RunTimeFactor * float64(quantile(evidence.Old.Counts.RunTimes, slowQuantile)))
}

// minJobsOf returns how many jobs of the new version need a known outcome before any verdict counts.
func minJobsOf(rollout *configuration.Rollout) int64 {
	if rollout.Bounds.MinJobs > 0 {
		return rollout.Bounds.MinJobs
	}
	return configuration.DefaultMinJobs
}

// openWindow opens the window over the whole rollout on the first call, and a further one when it is due. It drops the second oldest
// window if there are more than maxWindows.
func (j *Judge) openWindow(rollout *configuration.Rollout, evidence Evidence, nowMs int64) {
	if len(j.windows) == 0 {
		j.windows = append(j.windows, window{number: 1})
	}
	number := 1 + int((nowMs-rollout.BegunMs)/windowInterval.Milliseconds())
	if number <= j.windows[len(j.windows)-1].number {
		return
	}
	j.windows = append(j.windows, window{number: number, startEvidence: evidence})
	if len(j.windows) > maxWindows {
		j.windows = slices.Delete(j.windows, 1, 2)
	}
}

// samples holds the outcomes of both versions by all aspects, and the run time above which a run counts as slow.
type samples struct {
	old, new  sample
	slowLimit int64
}

func samplesOf(evidence Evidence, slowLimit int64) samples {
	return samples{old: sampleOf(&evidence.Old, slowLimit), new: sampleOf(&evidence.New, slowLimit), slowLimit: slowLimit}
}

// judgeWindow returns the verdicts on all aspects that the rollout's bounds cover, from the outcomes since a window began.
func judgeWindow(rollout *configuration.Rollout, window window, now samples) []Verdict {
	falseAlarm := rollout.Bounds.FalseAlarm
	if falseAlarm == 0 {
		falseAlarm = configuration.DefaultFalseAlarm
	}
	before := samplesOf(window.startEvidence, now.slowLimit)
	level := alarmLevel(falseAlarm, len(now.new), window.number)
	var verdicts []Verdict
	for _, aspect := range now.new.aspects() {
		excess, isJudged := allowedExcess(rollout.Bounds, aspect.kind)
		if !isJudged {
			continue
		}
		counted := now.new[aspect].minus(before.new[aspect])
		baseline := baselineRate(now.old[aspect].minus(before.old[aspect]), now.old[aspect], now.old[aspect.overall()])
		if aspect.kind == RunTime {
			baseline = slowShare
		}
		bound := min(1, baseline+excess)
		verdicts = append(verdicts, Verdict{Kind: aspect.kind, Stratum: aspect.stratum, Total: counted.total, Bad: counted.bad, Bound: bound,
			Baseline: baseline, Evidence: logEvidence(counted, bound), Level: level, Window: window.number})
	}
	return verdicts
}

// allowedExcess returns how far the share of bad outcomes may exceed that of the old version. isJudged is false if the rollout's bounds
// don't cover the kind.
func allowedExcess(bounds configuration.RolloutBounds, kind Kind) (share float64, isJudged bool) {
	switch kind {
	case Failures:
		return bounds.Failures, bounds.Failures > 0
	case Late:
		return bounds.Late, bounds.Late > 0
	}
	return slowMargin, bounds.RunTimeFactor > 0
}
