package controlmodel_test

import (
	"fmt"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/simulation/modelcheck"
	"gannetline/internal/simulation/modelcheck/controlmodel"
)

const (
	seed = 1
	// soundSchedules is the number of schedules run without an injected fault, for each number of losses.
	soundSchedules = 600
	// largeSchedules is the number of large schedules run without an injected fault, and with each that must be found in them.
	largeSchedules = 400
	// faultSchedules is the number of schedules in which each injected fault must be found, with one loss or with two.
	faultSchedules = 6000
	// rareFault shows only if a leader is cut off within the few milliseconds of a change of voters, which happens in one of some thousand
	// schedules. With one loss, the first schedule that showed it had a number from 470 to 21,362 in five searches. rareFaultSeed
	// shortens the search.
	rareFault     = "voter-change-forgotten"
	rareFaultSeed = 7
	workers       = 2
	// splitHalves is the number of different splits that are tried, so that in some of them the leader is in the smaller half.
	splitHalves = 12
)

func run(budget modelcheck.Budget) *modelcheck.Finding {
	budget.Workers = workers
	finding, _ := modelcheck.Run(controlmodel.New(), budget, func(modelcheck.Progress) {})
	return finding
}

func describe(finding *modelcheck.Finding) string {
	if finding == nil {
		return ""
	}
	return fmt.Sprintf("schedule %d (seed %d): %+v", finding.Number, finding.Schedule.Seed, finding.Outcome.Violations)
}

var _ = Describe("the model of the configuration leader", func() {
	for _, losses := range []int{1, 2} {
		It(fmt.Sprintf("breaks no invariant when it must tolerate %d losses", losses), func() {
			finding := run(modelcheck.Budget{Seed: seed, Schedules: soundSchedules, Losses: losses})
			Expect(finding).To(BeNil(), "%s", describe(finding))
		})
	}

	It("covers splits without other faults, machines that are emptied, and power losses at the end", func() {
		_, progress := modelcheck.Run(controlmodel.New(), modelcheck.Budget{Seed: seed, Schedules: soundSchedules, Losses: 1, Workers: workers}, func(modelcheck.Progress) {})
		for _, name := range []string{"split with nothing else wrong", "end of the day", "machine emptied"} {
			Expect(progress.Coverage[name]).To(BeNumerically(">", 50), name)
		}
	})

	for _, fault := range []string{"unreachable-voters-left-out", "election-needs-all"} {
		It("finds the injected fault "+fault+" in schedules with a split and no other fault", func() {
			found := 0
			for half := range splitHalves {
				schedule := modelcheck.Schedule{Model: controlmodel.Name, Seed: 1, Losses: 1, Nodes: 3, InjectedFault: fault, Steps: []modelcheck.Step{
					{AtMs: 700, Kind: "order"}, {AtMs: 6000, Kind: "split", Value: half, ForMs: 7000}, {AtMs: 8000, Kind: "race", Node: 1, Peer: 2}}}
				found += len(controlmodel.New().Run(schedule).Violations)
				schedule.InjectedFault = ""
				Expect(controlmodel.New().Run(schedule).Violations).To(BeEmpty())
			}
			Expect(found).To(BeNumerically(">", 0))
		})
	}

	It("breaks no invariant in large schedules without spare disks", func() {
		finding := run(modelcheck.Budget{Seed: seed, Schedules: largeSchedules, Losses: 2, Size: modelcheck.SizeLarge})
		Expect(finding).To(BeNil(), "%s", describe(finding))
	})

	for _, fault := range []string{"learner-counted-early", "learner-counted-between-chunks"} {
		It("finds the injected fault "+fault+" in large schedules", func() {
			finding := run(modelcheck.Budget{Seed: seed, Schedules: largeSchedules, Losses: 2, Size: modelcheck.SizeLarge, Fault: fault})
			Expect(finding).NotTo(BeNil())
		})
	}

	for _, fault := range controlmodel.New().InjectedFaults() {
		faultSeed := uint64(seed)
		if fault.Name == rareFault {
			faultSeed = rareFaultSeed
		}
		It("finds the injected fault "+fault.Name, func() {
			finding := run(modelcheck.Budget{Seed: faultSeed, Schedules: faultSchedules, Losses: 1, Fault: fault.Name})
			if finding == nil {
				finding = run(modelcheck.Budget{Seed: faultSeed, Schedules: faultSchedules, Losses: 2, Fault: fault.Name})
			}
			Expect(finding).NotTo(BeNil())
		})
	}

	It("finds the injected fault "+rareFault+" in a stored schedule, which breaks no invariant without the fault", func() {
		schedule, err := modelcheck.Load(filepath.Join("testdata", "voter-change-forgotten.json"))
		Expect(err).NotTo(HaveOccurred())
		Expect(controlmodel.New().Run(schedule).Violations).NotTo(BeEmpty())
		schedule.InjectedFault = ""
		Expect(controlmodel.New().Run(schedule).Violations).To(BeEmpty())
	})

	DescribeTable("breaks no invariant in a schedule that once did", func(file string) {
		schedule, err := modelcheck.Load(filepath.Join("testdata", file))
		Expect(err).NotTo(HaveOccurred())
		Expect(controlmodel.New().Run(schedule).Violations).To(BeEmpty())
	},
		Entry("two leases at the same time, after a heartbeat of an old leader", "old-leader-takes-lease.json"),
		Entry("no leader after a planned replacement and a wipe", "planned-replacement-then-wipe.json"),
		Entry("a leader behind its own log after its disk stalled", "leaders-own-disk-stalled.json"),
		Entry("a busy loop of a leader whose own replica is behind", "leader-spins-when-its-own-replica-is-behind.json"),
		Entry("a voter that shuts down during the change that replaces it", "leaver-goes-during-joint-change.json"),
		Entry("a leader that is no voter", "leader-voted-out.json"),
		Entry("voters replaced more slowly than disks are lost", "voters-not-replaced-in-time.json"),
		Entry("two more disks lost while a voter shuts down", "two-disks-lost-beside-a-leaver.json"),
		Entry("no leader, as a lost call kept a voter that shuts down in the voter set", "leaver-gone-during-loss.json"),
		Entry("no leader, as a lost call kept a replaced voter in the voter set", "replaced-voter-before-all-die.json"),
	)

	It("returns the same outcome for each run of a schedule, and the same finding for any number of workers", func() {
		model := controlmodel.New()
		for number := range uint64(20) {
			schedule := model.Draw(number, 1, modelcheck.SizeSmall)
			Expect(model.Run(schedule)).To(Equal(model.Run(schedule)))
		}
		budget := modelcheck.Budget{Seed: seed, Schedules: 300, Losses: 1, Fault: "commit-before-majority", Workers: 1}
		finding, _ := modelcheck.Run(model, budget, func(modelcheck.Progress) {})
		budget.Workers = 4
		findingOfFour, _ := modelcheck.Run(model, budget, func(modelcheck.Progress) {})
		Expect(finding.Number).To(Equal(findingOfFour.Number))
	})

	It("shrinks a failing schedule to fewer steps that break the same invariant", func() {
		finding := run(modelcheck.Budget{Seed: seed, Schedules: 300, Losses: 1, Fault: "confirmed-list-lost"})
		shortest, outcome := modelcheck.Shrink(controlmodel.New(), finding.Schedule)
		Expect(len(shortest.Steps)).To(BeNumerically("<", len(finding.Schedule.Steps)))
		Expect(outcome.Violations[0].Oracle).To(Equal(finding.Outcome.Violations[0].Oracle))
	})
})
