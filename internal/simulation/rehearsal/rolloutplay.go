package rehearsal

import (
	"hash/fnv"
	"math"
	"time"

	"github.com/mailru/easyjson"

	"gannetline/internal/cluster/configuration"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/rollouts"
	"gannetline/internal/scheduling/rollout"
	"gannetline/internal/scheduling/scheduler"
	"gannetline/internal/simulation/simcluster"
)

// reconcileInterval is how often the rollout is judged, sampleEvery how often it is told how it stands.
const (
	reconcileInterval = 500 * time.Millisecond
	sampleEvery       = time.Second
)

// playedRollout is a rollout in a play: the pool of the new version beside that of the day, real counts, transfers and judge.
type playedRollout struct {
	play    *play
	spec    Rollout
	cluster *simcluster.Cluster
	rollout configuration.Rollout
	judge   *rollout.Judge
	// version rises with each change of the rollout, as that of a configuration does.
	version  int64
	evidence rollout.Evidence
	begunAt  time.Duration
}

func newPlayedRollout(p *play, spec Rollout) *playedRollout {
	return &playedRollout{play: p, spec: spec, rollout: spec.asConfigured(), judge: &rollout.Judge{}, version: 1}
}

// start starts the new version's executors, and the rollout at its time.
func (r *playedRollout) start(sites []simcluster.Site) {
	count := max(1, int(math.Round(r.spec.Executors*float64(len(sites)))))
	var places []simcluster.Site
	for _, site := range sites[:count] {
		site.Machine += "-next"
		places = append(places, site)
	}
	r.cluster = simcluster.New(r.play.setup.Seed, stewards, 0, wire.Capacity{}, 0, simcluster.WithPeer(r.play.cluster, versionNew),
		simcluster.WithSites(places), simcluster.WithWork(r.work), simcluster.WithPoolOptions(r.poolOptions(versionNew)...))
	r.play.cluster.Events.After(warmUp+time.Duration(r.spec.AtS*float64(time.Second)), r.reconcile)
	r.play.cluster.Events.After(warmUp, r.sample)
}

// takes tells whether the new version runs a job.
func (r *playedRollout) takes(job *playedJob) bool {
	return job.event.Queue == r.spec.Queue && r.rollout.ServiceFor(job.event.ID) == versionNew
}

// work is that of the day, changed by how the new version is supposed to fare.
func (r *playedRollout) work(task string, run int64, executor *simcluster.Executor) (time.Duration, string) {
	length, outcome := r.play.work(task, run, executor)
	if r.begunAt == 0 || r.play.cluster.Events.Now()-r.begunAt < time.Duration(r.spec.New.FromS*float64(time.Second)) {
		return length, outcome
	}
	if drawOf(task, run) < r.spec.New.Fails {
		outcome = outcomeFailed
	}
	return time.Duration(r.spec.New.RunTimeFactor * float64(length)), outcome
}

// drawOf is a number from 0 on and below 1 that a run decides.
func drawOf(task string, run int64) float64 {
	sum := fnv.New32a()
	sum.Write([]byte(task))
	sum.Write([]byte{byte(run)})
	return float64(sum.Sum32()) / (1 << 32)
}

// poolOptions are those of the pools of a version.
func (r *playedRollout) poolOptions(service string) []scheduler.Option {
	return []scheduler.Option{scheduler.WithRollouts(func() scheduler.RolloutPolicy { return r.policy(service) }), scheduler.WithTransfers(r)}
}

// policy is what the pools know of the rollout: what a configuration with the queue and the rollout says.
func (r *playedRollout) policy(service string) scheduler.RolloutPolicy {
	route := configuration.Route{Name: r.rollout.Route, Host: rehearsalHost, Service: versionOld, Type: r.spec.routeType()}
	matcher := configuration.NewMatcher(&configuration.Configuration{Routes: []configuration.Route{route}, Rollouts: []configuration.Rollout{r.rollout}})
	return rollouts.PolicyFor(r.version, matcher, service)
}

// Send carries a job back to the pool of the old version.
func (r *playedRollout) Send(_ string, call *wire.ClientCall, answer func(*wire.ClientAnswer)) {
	r.play.cluster.CallLeader(*call, func(given wire.ClientAnswer) { answer(&given) })
}

// reconcile judges the rollout until it is over, and changes it at once as the decision says. The pools forget the counts of one that is
// over, so what was counted last stays.
func (r *playedRollout) reconcile() {
	if r.rollout.IsOver() {
		return
	}
	r.gather(r.play.cluster, &r.evidence.Old)
	r.gather(r.cluster, &r.evidence.New)
	nowMs := r.play.cluster.Events.Clock.WallMs()
	decision := r.judge.Decide(&r.rollout, r.evidence, nowMs)
	if decision.Action != rollout.Hold {
		r.version++
		r.change(decision, nowMs)
	}
	r.play.cluster.Events.After(reconcileInterval, r.reconcile)
}

// change takes a step, as the leader of the configuration writes it; the reason is the decisive verdict alone.
func (r *playedRollout) change(decision rollout.Decision, nowMs int64) {
	r.rollout.SetProgress(rollout.ProgressAfter(&r.rollout, r.evidence, decision, nowMs))
	if decision.Decisive != nil {
		r.rollout.Reason = decision.Decisive.String()
	}
	if decision.Action == rollout.Begin {
		r.begunAt = r.play.cluster.Events.Now()
	}
}

// gather asks the pool of a version what it has counted; the answer counts at the next judgement.
func (r *playedRollout) gather(cluster *simcluster.Cluster, version *rollout.Version) {
	cluster.CallLeader(wire.ClientCall{Verb: wire.VerbRollouts}, func(answer wire.ClientAnswer) {
		report := &wire.RolloutReport{}
		if easyjson.Unmarshal(answer.Body, report) == nil && !r.rollout.IsOver() {
			*version = rollout.VersionFrom(report, r.rollout.Name, r.rollout.BegunMs)
		}
	})
}

// sample tells how the rollout stands, again and again.
func (r *playedRollout) sample() {
	if r.play.setup.Watch != nil {
		old, next := r.evidence.Old.Counts, r.evidence.New.Counts
		r.play.setup.Watch(RolloutSample{AtS: (r.play.cluster.Events.Now() - warmUp).Seconds(), State: r.rollout.State.Label(), Share: r.rollout.Share(),
			OldEnded: old.Jobs.Completed + old.Jobs.Failed, OldFailed: old.Jobs.Failed, OldWaiting: old.Overdue,
			NewEnded: next.Jobs.Completed + next.Jobs.Failed, NewFailed: next.Jobs.Failed, NewWaiting: next.Overdue, Reason: r.rollout.Reason})
	}
	r.play.cluster.Events.After(sampleEvery, r.sample)
}
