package rollout

import "gannetline/internal/cluster/configuration"

// ProgressAfter is how far a rollout is once a decision that was made at a time of day, in milliseconds since 1970, is carried out.
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
	case TurnBack:
		progress.State, progress.Reason = configuration.RolloutTurnedBack, reasonText(decision)
	}
	return progress
}

// reasonText says why a version was turned back, with the figures.
func reasonText(decision Decision) string {
	if decision.Decisive == nil {
		return string(decision.Reason)
	}
	return string(decision.Reason) + ": " + decision.Decisive.String()
}
