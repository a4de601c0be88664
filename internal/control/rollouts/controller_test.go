package rollouts_test

import (
	"context"
	"strings"

	"github.com/mailru/easyjson"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/configuration"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/configleader"
	"gannetline/internal/control/rollouts"
	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/logging"
)

const initialConfiguration = `{"config-version":3,"route-list":[{"name":"a","host":"h","path-prefix":"/a/","timeout-ms":1,"service":"v1"},
 {"name":"b","host":"h","path-prefix":"/b/","timeout-ms":1,"service":"w1"}],
 "service-list":[{"name":"v1"},{"name":"v2"},{"name":"w1"},{"name":"w2"}],"rollout-list":[
 {"name":"r","route":"a","from-service":"v1","to-service":"v2","steps":[{"share":0.1,"min-jobs":5},{"share":1,"min-jobs":5}],"agreed":{"failures":0.05}},
 {"name":"s","route":"b","from-service":"w1","to-service":"w2","steps":[{"share":0.1,"min-jobs":5},{"share":1,"min-jobs":5}],"agreed":{"failures":0.05}}]}`

// memoryLeadership is a fake leadership that commits at once and keeps the records in memory. With isLost it has no lease.
type memoryLeadership struct {
	clock  *clock.Fake
	pairs  map[string][]byte
	isLost bool
}

func (l *memoryLeadership) HasLease() bool   { return !l.isLost }
func (l *memoryLeadership) Voters() []string { return []string{"d"} }
func (l *memoryLeadership) WallMs() int64    { return l.clock.WallMs() }
func (l *memoryLeadership) Commit(ops []wire.Op, done func(error)) {
	for _, op := range ops {
		l.pairs[op.Name] = op.Value
	}
	done(nil)
}

// system is a leader of the configuration, its rollout controller and the reports of the pools by service.
type system struct {
	clock      *clock.Fake
	leadership *memoryLeadership
	leader     *configleader.Leader
	controller *rollouts.Controller
	reports    map[string]*wire.RolloutReport
	// refusesChanges makes each change by the controller fail as if the leadership had been lost before.
	refusesChanges bool
	// onReport runs before each report of a pool is returned.
	onReport func()
}

func newSystem() *system {
	s := &system{clock: clock.NewFake(1_000_000), reports: map[string]*wire.RolloutReport{}, onReport: func() {}}
	s.leadership = &memoryLeadership{clock: s.clock, pairs: map[string][]byte{}}
	for _, service := range []string{"v1", "v2", "w1", "w2"} {
		s.reports[service] = &wire.RolloutReport{Executors: 3, Capacity: 1000}
	}
	s.changeLeader()
	Expect(s.replace(0, initialConfiguration).Status).To(Equal(200))
	return s
}

// changeLeader creates a new leader and its controller from the committed records.
func (s *system) changeLeader() {
	s.leader = configleader.New(logging.Silent(), func(*wire.Configuration) {})
	var pairs []wire.Op
	for name, value := range s.leadership.pairs {
		pairs = append(pairs, wire.Op{Name: name, Value: value})
	}
	Expect(s.leader.Open(s.leadership, pairs)).To(Succeed())
	s.controller = rollouts.New(rollouts.Dependencies{Clock: s.clock, Log: logging.Silent(), HasRollouts: func() bool { return true },
		Execute: func(_ context.Context, call *wire.ClientCall) (*wire.ClientAnswer, error) {
			var result wire.ClientAnswer
			setResult := func(answer wire.ClientAnswer) { result = answer }
			switch {
			case s.leadership.isLost || s.refusesChanges && call.Verb == wire.VerbReplace:
				result.NotLeader = true
			case call.Verb == wire.VerbRetrieve:
				s.leader.Retrieve(setResult)
			default:
				s.leader.Replace(call, setResult)
			}
			return &result, nil
		},
		Report: func(_ context.Context, service string) *wire.RolloutReport { s.onReport(); return s.reports[service] }})
}

// replace replaces the configuration, as an operator does, on condition that its version is base.
func (s *system) replace(base int64, body string) (result wire.ClientAnswer) {
	s.leader.Replace(&wire.ClientCall{Base: base, Body: []byte(body)}, func(answer wire.ClientAnswer) { result = answer })
	return result
}

func (s *system) current() *configuration.Configuration {
	var result wire.ClientAnswer
	s.leader.Retrieve(func(answer wire.ClientAnswer) { result = answer })
	decoded, err := configuration.Read(result.Body)
	Expect(err).NotTo(HaveOccurred())
	return decoded
}

// body returns the current configuration as JSON.
func (s *system) body() string {
	var result wire.ClientAnswer
	s.leader.Retrieve(func(answer wire.ClientAnswer) { result = answer })
	return string(result.Body)
}

// setEnded sets how many jobs of a rollout the pool of a service reports as completed and failed.
func (s *system) setEnded(service, rollout string, completed, failed int64) {
	begunMs := int64(0)
	for _, known := range s.current().Rollouts {
		if known.Name == rollout {
			begunMs = known.BegunMs
		}
	}
	s.reports[service].Rollouts = []wire.RolloutCounts{{Rollout: rollout, BegunMs: begunMs, Jobs: wire.JobCounts{Completed: completed, Failed: failed}}}
}

func (s *system) reconcile() { s.controller.Reconcile(context.Background()) }

var _ = Describe("the rollout controller", func() {
	var s *system
	BeforeEach(func() { s = newSystem() })
	// begin starts both rollouts. Each reconciliation makes one change.
	begin := func() {
		s.reconcile()
		s.reconcile()
	}

	It("begins, widens and finishes rollouts by one change of the configuration at a time", func() {
		begin()
		Expect(s.current().Version).To(Equal(int64(5)))
		Expect(s.current().Rollouts[0].Share()).To(Equal(0.1))
		s.setEnded("v2", "r", 5, 0)
		s.reconcile()
		Expect(s.current().Rollouts[0].Share()).To(Equal(1.0))
		Expect(s.current().Rollouts[0].StepJobs).To(Equal(int64(5)))
		s.reconcile()
		Expect(s.current().Version).To(Equal(int64(6)), "no further step without more traffic")
		s.setEnded("v2", "r", 10, 0)
		s.reconcile()
		Expect(s.current().Rollouts[0].State).To(Equal(configuration.RolloutFinished))
		Expect(s.current().Routes[0].Service).To(Equal("v2"))
		Expect(s.current().Routes[1].Service).To(Equal("w1"))
	})

	It("rolls one of two rollouts back with its figures, and leaves the other unchanged", func() {
		begin()
		s.setEnded("v2", "r", 10, 10)
		s.setEnded("w2", "s", 4, 0)
		s.reconcile()
		s.reconcile()
		Expect(s.current().Rollouts[0].State).To(Equal(configuration.RolloutRolledBack))
		Expect(s.current().Rollouts[0].Reason).To(ContainSubstring("more failures than agreed: failures of all jobs: 10 of 20, agreed 0.050"))
		Expect(s.current().Rollouts[1].State).To(Equal(configuration.RolloutWidening))
		Expect(s.current().Routes[0].Service).To(Equal("v1"))
	})

	It("continues under a new leader and takes no step twice", func() {
		begin()
		s.setEnded("v2", "r", 5, 0)
		s.reconcile()
		s.changeLeader()
		s.reconcile()
		Expect(s.current().Version).To(Equal(int64(6)))
		Expect(s.current().Rollouts[0].Step).To(Equal(1))
	})

	It("takes a step under a new leader that the last one failed to commit", func() {
		begin()
		s.setEnded("v2", "r", 20, 20)
		s.refusesChanges = true
		s.reconcile()
		Expect(s.current().Rollouts[0].State).To(Equal(configuration.RolloutWidening))
		s.refusesChanges = false
		s.changeLeader()
		s.reconcile()
		Expect(s.current().Rollouts[0].State).To(Equal(configuration.RolloutRolledBack))
	})

	It("discards a decision if an operator changes the configuration concurrently", func() {
		begin()
		s.setEnded("v2", "r", 20, 20)
		s.onReport = func() {
			s.onReport = func() {}
			changed := strings.Replace(s.body(), `"config-version":5`, `"config-version":90`, 1)
			Expect(s.replace(5, strings.Replace(changed, `"state":"widening"`, `"state":"paused"`, 1)).Status).To(Equal(200))
		}
		s.reconcile()
		Expect(s.current().Version).To(Equal(int64(90)))
		Expect(s.current().Rollouts[0].State).To(Equal(configuration.RolloutPaused))
		s.reconcile()
		Expect(s.current().Rollouts[0].State).To(Equal(configuration.RolloutRolledBack), "a paused rollout is still judged")
	})

	It("does not change rollouts that an operator paused, rolled back or removed", func() {
		begin()
		s.setEnded("v2", "r", 20, 0)
		Expect(s.replace(5, strings.Replace(strings.Replace(s.body(), `"config-version":5`, `"config-version":6`, 1), `"state":"widening"`, `"state":"paused"`, 1)).Status).To(Equal(200))
		s.reconcile()
		Expect(s.current().Version).To(Equal(int64(6)))
		Expect(s.replace(6, strings.Replace(strings.Replace(s.body(), `"config-version":6`, `"config-version":7`, 1), `"state":"paused"`, `"state":"turned-back"`, 1)).Status).To(Equal(200))
		s.reconcile()
		Expect(s.current().Version).To(Equal(int64(7)))
		beforeRollouts, _, _ := strings.Cut(initialConfiguration, `,"rollout-list"`)
		without := beforeRollouts + "}"
		Expect(s.replace(7, strings.Replace(without, `"config-version":3`, `"config-version":8`, 1)).Status).To(Equal(200))
		s.reconcile()
		Expect(s.controller.Status().Rollouts).To(BeEmpty())
	})

	It("changes nothing while a pool does not answer or another process leads the configuration", func() {
		begin()
		s.setEnded("v2", "r", 20, 20)
		delete(s.reports, "v1")
		s.reconcile()
		Expect(s.current().Version).To(Equal(int64(5)))
		Expect(s.controller.Status().Rollouts[0].ActionWhy).To(Equal("a pool of the two versions does not answer"))
		s.leadership.isLost = true
		s.reconcile()
		Expect(s.controller.Status()).To(BeNil())
	})

	It("reports the status of all rollouts with their figures", func() {
		begin()
		s.setEnded("v2", "r", 3, 1)
		s.reconcile()
		var status wire.RolloutsStatus
		Expect(easyjson.Unmarshal(s.controller.StatusAnswer().Body, &status)).To(Succeed())
		Expect(status.Version).To(Equal(int64(5)))
		Expect(status.Rollouts[0].State).To(Equal("widening"))
		Expect(status.Rollouts[0].New.Jobs).To(Equal(wire.JobCounts{Completed: 3, Failed: 1}))
		Expect(status.Rollouts[0].Verdicts[0].Bad).To(Equal(int64(1)))
	})
})
