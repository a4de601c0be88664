package rehearsal

import (
	"hash/fnv"
	"math"
	"time"

	"github.com/mailru/easyjson"

	"gannetline/internal/cluster/configcache"
	"gannetline/internal/cluster/configuration"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/rollouts"
	"gannetline/internal/scheduling/rollout"
	"gannetline/internal/scheduling/scheduler"
	"gannetline/internal/simulation/simcluster"
)

// reconcileInterval is the interval at which the rollout is judged, sampleInterval that at which its progress is sampled.
const (
	reconcileInterval = 500 * time.Millisecond
	sampleInterval    = time.Second
)

// replayedRollout is a rollout in a replay. The new version runs in a cluster of its own beside that of the day. The counts, the
// transfers of jobs and the judge of the rollout are the production code.
type replayedRollout struct {
	replay  *replay
	spec    Rollout
	cluster *simcluster.Cluster
	rollout configuration.Rollout
	judge   *rollout.Judge
	// version is incremented with each change of the rollout, as the version of a configuration is.
	version   int64
	evidence  rollout.Evidence
	startedAt time.Duration
}

func newReplayedRollout(owner *replay, spec Rollout) *replayedRollout {
	return &replayedRollout{replay: owner, spec: spec, rollout: spec.toConfiguration(), judge: &rollout.Judge{}, version: 1}
}

// start starts the cluster of the new version, and schedules the rollout.
func (r *replayedRollout) start(sites []simcluster.Site) {
	count := max(1, int(math.Round(r.spec.Executors*float64(len(sites)))))
	var newSites []simcluster.Site
	for _, site := range sites[:count] {
		site.Machine += "-next"
		newSites = append(newSites, site)
	}
	r.cluster = simcluster.New(r.replay.setup.Seed, stewardCount, 0, wire.Capacity{}, 0, simcluster.WithPeer(r.replay.cluster, versionNew),
		simcluster.WithSites(newSites), simcluster.WithWork(r.work), simcluster.WithPoolOptions(r.poolOptions(versionNew)...))
	r.replay.cluster.Events.After(warmUp+time.Duration(r.spec.AtS*float64(time.Second)), r.reconcile)
	r.replay.cluster.Events.After(warmUp, r.sample)
}

// isOnNewVersion reports whether a job goes to the new version at the current share.
func (r *replayedRollout) isOnNewVersion(job *replayedJob) bool {
	return job.event.Queue == r.spec.Queue && r.rollout.ServiceFor(job.event.ID) == versionNew
}

// work returns the run time and outcome of a run of the new version: those of the day, changed by the assumed behaviour of that version.
func (r *replayedRollout) work(task string, run int64, executor *simcluster.Executor) (time.Duration, string) {
	length, outcome := r.replay.work(task, run, executor)
	if r.startedAt == 0 || r.replay.cluster.Events.Now()-r.startedAt < time.Duration(r.spec.NewVersion.FromS*float64(time.Second)) {
		return length, outcome
	}
	if hashFractionOf(task, run) < r.spec.NewVersion.FailureShare {
		outcome = outcomeFailed
	}
	return time.Duration(r.spec.NewVersion.RunTimeFactor * float64(length)), outcome
}

// hashFractionOf returns a number from 0 up to but not including 1 that depends on the run alone.
func hashFractionOf(task string, run int64) float64 {
	sum := fnv.New32a()
	sum.Write([]byte(task))
	sum.Write([]byte{byte(run)})
	return float64(sum.Sum32()) / (1 << 32)
}

// poolOptions returns the options of the pools of a version.
func (r *replayedRollout) poolOptions(service string) []scheduler.Option {
	return []scheduler.Option{scheduler.WithRollouts(func() scheduler.RolloutPolicy { return r.policy(service) }), scheduler.WithTransfers(r)}
}

// policy returns the rollout policy of the pools of a version. The production code derives it from a configuration with the queue's route and
// the rollout.
func (r *replayedRollout) policy(service string) scheduler.RolloutPolicy {
	route := configuration.Route{Name: r.rollout.Route, Host: rehearsalHost, Service: versionOld, Type: r.spec.routeType()}
	matcher := configuration.NewMatcher(&configuration.Configuration{Routes: []configuration.Route{route}, Rollouts: []configuration.Rollout{r.rollout}})
	return rollouts.PolicyFor(&configcache.Snapshot{Committed: &wire.Configuration{Version: r.version}, Matcher: matcher}, service)
}

// Send sends a transferred job to the pool of the old version.
func (r *replayedRollout) Send(_ string, call *wire.ClientCall, answer func(*wire.ClientAnswer)) {
	r.replay.cluster.CallLeader(*call, func(given wire.ClientAnswer) { answer(&given) })
}

// reconcile judges the rollout at each reconcileInterval until it is over, and applies each decision at once.
func (r *replayedRollout) reconcile() {
	if r.rollout.IsOver() {
		return
	}
	r.collectCounts(r.replay.cluster, &r.evidence.Old)
	r.collectCounts(r.cluster, &r.evidence.New)
	nowMs := r.replay.cluster.Events.Clock.WallMs()
	decision := r.judge.Decide(&r.rollout, r.evidence, nowMs)
	if decision.Action != rollout.Hold {
		r.version++
		r.applyDecision(decision, nowMs)
	}
	r.replay.cluster.Events.After(reconcileInterval, r.reconcile)
}

// applyDecision applies a decision as the configuration leader does, except that the reason is only the decisive verdict.
func (r *replayedRollout) applyDecision(decision rollout.Decision, nowMs int64) {
	r.rollout.SetProgress(rollout.ProgressAfter(&r.rollout, r.evidence, decision, nowMs))
	if decision.Decisive != nil {
		r.rollout.Reason = decision.Decisive.String()
	}
	if decision.Action == rollout.Begin {
		r.startedAt = r.replay.cluster.Events.Now()
	}
}

// collectCounts requests the counts of a version from its pool. The next call of reconcile uses the answer. Answers after the end of the
// rollout are ignored, so that the last counts are kept: the pools drop the counts of a rollout that is over.
func (r *replayedRollout) collectCounts(cluster *simcluster.Cluster, version *rollout.Version) {
	cluster.CallLeader(wire.ClientCall{Verb: wire.VerbRollouts}, func(answer wire.ClientAnswer) {
		report := &wire.RolloutReport{}
		if easyjson.Unmarshal(answer.Body, report) == nil && !r.rollout.IsOver() {
			*version = rollout.VersionFrom(report, r.rollout.Name, r.rollout.BegunMs)
		}
	})
}

// sample reports the progress of the rollout at each sampleInterval.
func (r *replayedRollout) sample() {
	if r.replay.setup.OnRolloutSample != nil {
		old, next := r.evidence.Old.Counts, r.evidence.New.Counts
		r.replay.setup.OnRolloutSample(RolloutSample{AtS: (r.replay.cluster.Events.Now() - warmUp).Seconds(), State: r.rollout.State.Label(), Share: r.rollout.Share(),
			OldEnded: old.Jobs.Completed + old.Jobs.Failed, OldFailed: old.Jobs.Failed, OldOverdue: old.Overdue,
			NewEnded: next.Jobs.Completed + next.Jobs.Failed, NewFailed: next.Jobs.Failed, NewOverdue: next.Overdue, Reason: r.rollout.Reason})
	}
	r.replay.cluster.Events.After(sampleInterval, r.sample)
}
