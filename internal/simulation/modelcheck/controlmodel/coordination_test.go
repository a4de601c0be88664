package controlmodel_test

import (
	"fmt"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	check "gannetline/internal/simulation/coordinationcheck"
	"gannetline/internal/simulation/modelcheck"
	"gannetline/internal/simulation/modelcheck/controlmodel"
)

var _ = Describe("the model of locks, numbers and cells", func() {
	model := controlmodel.NewCoordination()
	// seeds are the seeds of the searches for injected faults that show in only one of some thousand schedules. They shorten these searches.
	// All other searches use the constant seed.
	seeds := map[string]uint64{"refused-after-proposal": 2}
	find := func(budget modelcheck.Budget) (*modelcheck.Finding, modelcheck.Coverage) {
		budget.Seed, budget.Workers = max(seed, seeds[budget.Fault]), workers
		finding, progress := modelcheck.Run(model, budget, func(modelcheck.Progress) {})
		return finding, progress.Coverage
	}

	It("breaks no invariant and covers all kinds of calls and answers", func() {
		covered := modelcheck.Coverage{}
		for _, losses := range []int{1, 2} {
			finding, coverage := find(modelcheck.Budget{Schedules: soundSchedules, Losses: losses})
			Expect(finding).To(BeNil(), "%s", describe(finding))
			covered.Add(coverage)
		}
		for _, name := range []string{"lock-acquire 200", "lock-acquire 409", "lock-acquire 504", "lock-renew 200", "lock-renew 409", "lock-release 200",
			"number 200", "cell-put 200", "cell-put 412", "cell-put 504", "cell-get 200", "cell-get 404", "watch 200", "watch 410", "put came again",
			"holder died", "holder slept beyond its time", "history linearizable", "step wipe", "step power-all", "snapshot sent"} {
			Expect(covered[name]).To(BeNumerically(">", 0), name)
		}
	})

	It("returns the same outcome for each run of a schedule", func() {
		for number := range uint64(20) {
			drawn := model.Draw(number, 2, modelcheck.SizeSmall)
			Expect(model.Run(drawn)).To(Equal(model.Run(drawn)))
		}
	})

	DescribeTable("breaks no invariant in a schedule that once did", func(file string) {
		schedule, err := modelcheck.Load(filepath.Join("testdata", file))
		Expect(err).NotTo(HaveOccurred())
		Expect(model.Run(schedule).Violations).To(BeEmpty())
	},
		Entry("no leader, as a lost call kept a learner from catching up", "lost-call-to-a-learner.json"),
		Entry("no leader, as a lost call kept a replaced voter in the voter set", "lost-call-before-all-die.json"),
	)

	// oracles lists, for each injected fault, the oracles of the callers' answers. One of them must report the first violation.
	oracles := map[string][]string{
		"commit-before-majority": {check.OracleStale, check.OracleRevisions, check.OracleLinearizable, check.OracleNumbers, check.OracleOneHolder},
		"event-lost":             {check.OracleWatches, check.OracleRefused},
		"fence-of-a-snapshot":    {check.OracleFences, check.OracleOneHolder},
		"history-cut-short":      {check.OracleHistory, check.OracleRefused},
		"late-release":           {check.OracleOneHolder},
		"lease-not-looked-at":    {check.OracleStale, check.OracleLinearizable, check.OracleNumbers, check.OracleOneHolder},
		"locks-forgotten":        {check.OracleOneHolder},
		"number-range-twice":     {check.OracleNumbers},
		"refused-after-proposal": {check.OracleRefused},
		"repeat-forgotten":       {check.OracleRefused, check.OracleLinearizable},
	}
	for _, fault := range model.InjectedFaults() {
		It("finds the injected fault "+fault.Name, func() {
			Expect(oracles).To(HaveKey(fault.Name))
			finding, _ := find(modelcheck.Budget{Schedules: faultSchedules, Losses: 1, Fault: fault.Name})
			Expect(finding).NotTo(BeNil())
			fmt.Fprintln(GinkgoWriter, describe(finding))
			Expect(oracles[fault.Name]).To(ContainElement(finding.Outcome.Violations[0].Oracle))
		})
	}
})
