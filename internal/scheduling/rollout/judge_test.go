package rollout_test

import (
	"fmt"
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/configuration"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/scheduling/rollout"
)

// behaviour holds the probabilities, from 0 to 1, with which the jobs and runs of a version fail or are late, and the run time of its runs in
// thousandths of their estimate.
type behaviour struct {
	fails, late float64
	// failsLarge applies to the largest tenth of jobs, failsInZone to runs in the second zone, failsLater to all jobs from laterFailuresMs on.
	failsLarge, failsInZone, failsLater float64
	runTime                             int64
}

// simulation simulates a rollout. perSecond jobs end each second, divided between the versions by the current share, and the judge decides
// every decisionIntervalMs.
type simulation struct {
	rollout   configuration.Rollout
	old, new  behaviour
	perSecond float64
	random    *rand.Rand
	evidence  rollout.Evidence
	nowMs     int64
}

const (
	begunMs            = 1_000_000
	laterFailuresMs    = begunMs + 10*60*1000
	decisionIntervalMs = 500
)

func newSimulation(seed uint64, version behaviour) *simulation {
	s := &simulation{old: behaviour{runTime: 1000}, new: version, perSecond: 20, random: rand.New(rand.NewPCG(seed, 1)), nowMs: begunMs}
	if s.new.runTime == 0 {
		s.new.runTime = 1000
	}
	s.rollout = configuration.Rollout{Name: "r", Route: "q", From: "v1", To: "v2", State: configuration.RolloutWidening, BegunMs: begunMs, StepBegunMs: begunMs,
		Steps:  []configuration.RolloutStep{{Share: 0.05, MinTimeS: 30, MinJobs: 20}, {Share: 0.25, MinTimeS: 30, MinJobs: 50}, {Share: 1, MinTimeS: 30, MinJobs: 100}},
		Bounds: configuration.RolloutBounds{Failures: 0.05, Late: 0.1, RunTimeFactor: 1.5}}
	s.evidence = rollout.Evidence{Old: rollout.Version{IsKnown: true, Executors: 10, Capacity: 10000, Allocated: 2000},
		New: rollout.Version{IsKnown: true, Executors: 10, Capacity: 10000}}
	return s
}

// draw returns true with a probability of chance.
func (s *simulation) draw(chance float64) bool { return s.random.Float64() < chance }

// endJob counts the end of one job and one run of a version.
func (s *simulation) endJob(version *rollout.Version, chances behaviour) {
	counts, fails, isLarge, zone := &version.Counts, chances.fails, s.draw(0.1), s.random.IntN(2)
	if isLarge {
		fails = max(fails, chances.failsLarge)
	}
	if s.nowMs >= laterFailuresMs {
		fails = max(fails, chances.failsLater)
	}
	countEnd := func(jobs *wire.JobCounts) { jobs.Completed++ }
	if s.draw(fails) {
		countEnd = func(jobs *wire.JobCounts) { jobs.Failed++ }
	} else if s.draw(chances.late) {
		countEnd = func(jobs *wire.JobCounts) { jobs.Completed, jobs.Late = jobs.Completed+1, jobs.Late+1 }
	}
	countEnd(&counts.Jobs)
	if isLarge {
		countEnd(&counts.Large)
	}
	if len(counts.Zones) == 0 {
		counts.Zones = []wire.ZoneRuns{{Zone: "a"}, {Zone: "b"}}
		counts.RunTimes = []wire.Bucket{{Value: chances.runTime}}
	}
	if zone == 1 && s.draw(chances.failsInZone) {
		counts.Zones[zone].Failed++
	}
	counts.Zones[zone].Done++
	counts.RunTimes[0].Count++
}

// advance simulates the time up to the next decision, and returns the judge's decision.
func (s *simulation) advance(judge *rollout.Judge) rollout.Decision {
	s.nowMs += decisionIntervalMs
	for range int(s.perSecond * decisionIntervalMs / 1000) {
		if s.draw(s.rollout.Share()) {
			s.endJob(&s.evidence.New, s.new)
		} else {
			s.endJob(&s.evidence.Old, s.old)
		}
	}
	return judge.Decide(&s.rollout, s.evidence, s.nowMs)
}

// run applies the decisions until the rollout is finished or rolled back, and returns that decision, or Hold once untilMs is reached.
func (s *simulation) run(untilMs int64) rollout.Decision {
	judge := &rollout.Judge{}
	for s.nowMs < untilMs {
		decision := s.advance(judge)
		switch decision.Action {
		case rollout.Widen:
			s.rollout.Step++
			s.rollout.StepBegunMs, s.rollout.StepJobs = s.nowMs, s.evidence.New.Counts.Jobs.Completed+s.evidence.New.Counts.Jobs.Failed
		case rollout.Finish, rollout.RollBack:
			return decision
		}
	}
	return rollout.Decision{Action: rollout.Hold}
}

const endMs = begunMs + 30*60*1000

var _ = Describe("the judge of a rollout", func() {
	It("widens step by step and finishes if the new version has no failures", func() {
		s := newSimulation(1, behaviour{})
		Expect(s.run(endMs).Action).To(Equal(rollout.Finish))
		Expect(s.rollout.Step).To(Equal(2))
		Expect(s.nowMs).To(BeNumerically(">=", begunMs+90_000))
	})

	DescribeTable("rolls back a bad version", func(chances behaviour, reason rollout.Reason, stratum string, maxStep int) {
		for seed := range uint64(10) {
			s := newSimulation(seed, chances)
			decision := s.run(endMs)
			Expect(decision.Action).To(Equal(rollout.RollBack), "seed %d", seed)
			Expect(decision.Reason).To(Equal(reason))
			Expect(decision.Decisive.Stratum).To(Equal(stratum))
			Expect(s.rollout.Step).To(BeNumerically("<=", maxStep), "the bad version got a larger share before it was detected")
		}
	},
		Entry("that always fails", behaviour{fails: 1}, rollout.ReasonFailures, "all jobs", 0),
		Entry("that fails a third of its jobs", behaviour{fails: 0.33}, rollout.ReasonFailures, "all jobs", 0),
		Entry("that is slow and does not fail", behaviour{runTime: 2000}, rollout.ReasonRunTime, "all runs", 0),
		Entry("that is late", behaviour{late: 0.5}, rollout.ReasonLate, "all jobs", 0),
		Entry("that fails only its largest tenth of jobs", behaviour{failsLarge: 0.8}, rollout.ReasonFailures, "largest tenth of jobs", 1),
		Entry("that fails only in one zone", behaviour{failsInZone: 0.4}, rollout.ReasonFailures, "runs in zone b", 0),
	)

	It("rolls back an error rate just above the bound and not one just below it", func() {
		rollbacks := func(fails float64) (count int) {
			for seed := range uint64(40) {
				s := newSimulation(seed, behaviour{fails: fails})
				s.perSecond = 200
				if s.run(endMs).Action == rollout.RollBack {
					count++
				}
			}
			return count
		}
		Expect(rollbacks(0.04)).To(BeZero())
		Expect(rollbacks(0.08)).To(Equal(40))
	})

	It("keeps false alarms within the configured rate when failures are exactly at the bound", func() {
		const trials = 300
		alarms := 0
		for seed := range uint64(trials) {
			s := newSimulation(seed, behaviour{fails: 0.05})
			s.rollout.Bounds.FalseAlarm = 0.05
			s.rollout.State = configuration.RolloutPaused
			if s.run(begunMs+10*60*1000).Action == rollout.RollBack {
				alarms++
			}
		}
		Expect(float64(alarms) / trials).To(BeNumerically("<=", 0.05))
	})

	It("detects within a minute that a version starts to fail after ten minutes", func() {
		s := newSimulation(3, behaviour{failsLater: 0.5})
		s.rollout.Steps[0].MinTimeS = 3600
		decision := s.run(endMs)
		Expect(decision.Reason).To(Equal(rollout.ReasonFailures))
		Expect(s.nowMs).To(BeNumerically("~", laterFailuresMs+30_000, 30_000))
	})

	It("does not roll back a version that fails as often as the old one", func() {
		s := newSimulation(4, behaviour{fails: 0.2})
		s.old.fails = 0.2
		Expect(s.run(endMs).Action).NotTo(Equal(rollout.RollBack))
	})

	It("rolls back a bad version though each decision is made by a new judge, as after changes of leader", func() {
		s := newSimulation(5, behaviour{fails: 0.5})
		for {
			if decision := s.advance(&rollout.Judge{}); decision.Action == rollout.RollBack {
				break
			}
			Expect(s.nowMs).To(BeNumerically("<", endMs))
		}
	})

	DescribeTable("holds", func(change func(*simulation), reason rollout.Reason) {
		s := newSimulation(6, behaviour{})
		judge := &rollout.Judge{}
		for range 200 {
			s.advance(judge)
		}
		change(s)
		decision := judge.Decide(&s.rollout, s.evidence, s.nowMs)
		Expect(decision.Action).To(Equal(rollout.Hold))
		Expect(decision.Reason).To(Equal(reason))
	},
		Entry("when the new version has no traffic", func(s *simulation) { s.evidence.New.Counts = wire.RolloutCounts{} }, rollout.ReasonMinJobs),
		Entry("before the step has lasted its minimum time", func(s *simulation) { s.rollout.StepBegunMs = s.nowMs }, rollout.ReasonMinTime),
		Entry("while the rollout is paused", func(s *simulation) { s.rollout.State = configuration.RolloutPaused }, rollout.ReasonPaused),
		Entry("while a pool does not answer", func(s *simulation) { s.evidence.Old.IsKnown = false }, rollout.ReasonNoAnswer),
		Entry("when the old version could not take back all jobs", func(s *simulation) { s.evidence.Old.Capacity = 1000 }, rollout.ReasonNoCapacityOld),
		Entry("when the new version lacks capacity for the next step", func(s *simulation) { s.evidence.New.Capacity = 100 }, rollout.ReasonNoCapacityNew),
		Entry("when the rollout is over", func(s *simulation) { s.rollout.State = configuration.RolloutRolledBack }, rollout.ReasonOver),
		Entry("when the rollout is requested and the new version has no executors", func(s *simulation) {
			s.rollout.State, s.evidence.New.Executors = configuration.RolloutRequested, 0
		}, rollout.ReasonNoExecutors),
	)

	It("begins when both versions have capacity", func() {
		s := newSimulation(7, behaviour{})
		s.rollout.State = configuration.RolloutRequested
		Expect((&rollout.Judge{}).Decide(&s.rollout, s.evidence, begunMs).Action).To(Equal(rollout.Begin))
	})

	It("rolls back a version without executors after a timeout, also while paused", func() {
		s := newSimulation(8, behaviour{})
		s.rollout.State = configuration.RolloutPaused
		judge := &rollout.Judge{}
		s.evidence.New.Executors = 0
		for range 5 {
			Expect(s.advance(judge).Action).To(Equal(rollout.Hold), fmt.Sprint(s.nowMs))
		}
		s.advance(judge)
		decision := s.advance(judge)
		Expect(decision.Action).To(Equal(rollout.RollBack))
		Expect(decision.Reason).To(Equal(rollout.ReasonNoExecutors))
	})

	It("does not roll back before the minimum number of jobs", func() {
		s := newSimulation(9, behaviour{fails: 1})
		s.rollout.Bounds.MinJobs = 40
		Expect(s.run(endMs).Action).To(Equal(rollout.RollBack))
		Expect(s.evidence.New.Counts.Jobs.Failed).To(BeNumerically(">=", 40))
	})

	It("counts open jobs past their target latency as late", func() {
		s := newSimulation(10, behaviour{})
		for range 40 {
			s.endJob(&s.evidence.Old, s.old)
		}
		s.evidence.New.Counts.Open, s.evidence.New.Counts.Overdue = 30, 30
		decision := (&rollout.Judge{}).Decide(&s.rollout, s.evidence, s.nowMs+1000)
		Expect(decision.Reason).To(Equal(rollout.ReasonLate))
	})
})
