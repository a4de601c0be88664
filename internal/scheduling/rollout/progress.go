package rollout

import "gannetline/internal/cluster/configuration"

// ProgressAfter returns the progress of a rollout after a decision on it. nowMs is the time of day of the decision in milliseconds since
// 1970.
func ProgressAfter(rollout *configuration.Rollout, evidence Evidence, decision Decision, nowMs int64) configuration.RolloutProgress {
	progress := rollout.Progress()
	progress.Reason = ""
	switch decision.Action {
	case Begin:
		progress = configuration.RolloutProgress{State: configuration.RolloutWidening, BegunMs: nowMs, StepBegunMs: nowMs}
	case Widen:
		progress.Step, progress.StepBegunMs, progress.StepJobs = rollout.Step+1, nowMs, evidence.New.ended()
	case Finish:
		progress.State = configuration.RolloutFinished
	case RollBack:
		progress.State, progress.Reason = configuration.RolloutRolledBack, reasonText(decision)
	}
	return progress
}

// reasonText returns the reason for which a version is rolled back, with the decisive verdict if there is one.
func reasonText(decision Decision) string {
	if decision.Decisive == nil {
		return string(decision.Reason)
	}
	return string(decision.Reason) + ": " + decision.Decisive.String()
}
