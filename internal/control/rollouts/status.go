package rollouts

import (
	"gannetline/internal/cluster/configuration"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/metrics"
	"gannetline/internal/scheduling/rollout"
)

var (
	decisions = metrics.NewCounters("gannetline_rollout_decisions_total", "rollout", "action")
	shares    = metrics.NewGauges("gannetline_rollout_share", "rollout")
	jobsEnded = metrics.NewGauges("gannetline_rollout_jobs", "rollout", "version", "end")
)

// The values of the metrics label "version".
const (
	versionOld = "old"
	versionNew = "new"
)

// updateMetrics sets the gauges of all rollouts to the values in a status.
func updateMetrics(status *wire.RolloutsStatus) {
	for _, configured := range status.Rollouts {
		shares.With(configured.Name).Set(configured.Share)
		for version, counted := range map[string]wire.VersionStatus{versionOld: configured.Old, versionNew: configured.New} {
			for end, count := range map[string]int64{"completed": counted.Jobs.Completed, "failed": counted.Jobs.Failed, "late": counted.Jobs.Late,
				"overdue": counted.Overdue} {
				jobsEnded.With(configured.Name, version, end).Set(float64(count))
			}
		}
	}
}

// statusOf returns the status of a rollout, with the last decision on it and the evidence for that decision.
func statusOf(configured *configuration.Rollout, evidence rollout.Evidence, decision rollout.Decision) wire.RolloutStatus {
	status := wire.RolloutStatus{Name: configured.Name, Route: configured.Route, From: configured.From, To: configured.To, State: configured.State.Label(), Step: configured.Step,
		Steps: len(configured.Steps), Share: configured.Share(), Reason: configured.Reason, Action: string(decision.Action), ActionWhy: string(decision.Reason),
		Old: versionStatus(&evidence.Old), New: versionStatus(&evidence.New)}
	for _, verdict := range decision.Verdicts {
		status.Verdicts = append(status.Verdicts, wire.RolloutVerdict{Kind: string(verdict.Kind), Stratum: verdict.Stratum, Total: verdict.Total,
			Bad: verdict.Bad, Bound: verdict.Bound, Baseline: verdict.Baseline, Evidence: verdict.Evidence, Level: verdict.Level})
	}
	return status
}

func versionStatus(version *rollout.Version) wire.VersionStatus {
	return wire.VersionStatus{Jobs: version.Counts.Jobs, Open: version.Counts.Open, Overdue: version.Counts.Overdue, Executors: version.Executors,
		Capacity: version.Capacity, Allocated: version.Allocated}
}
