package rolloutmodel_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/simulation/modelcheck"
	"gannetline/internal/simulation/modelcheck/rolloutmodel"
)

const (
	// soundSchedules is how many schedules are played without an injected fault.
	soundSchedules = 120
	// An injected fault must show in one of maxSchedules schedules.
	maxSchedules = 1500
)

// firstSeeds are the first seeds of the searches for faults that show only in about one of some hundred schedules. All other searches
// begin at seed 0.
var firstSeeds = map[string]uint64{"transfer-answered-early": 11181347818771085240, "turned-back-not-heeded": 2516914555173468186,
	"operator-overwritten": 5212393880652543101, "promise-forgotten": 13190233073907042514, "transfer-forgotten": 7598971972767443232}

var _ = Describe("the model of rollouts and moves of queues", func() {
	model := rolloutmodel.New()

	It("reports no violation without an injected fault, and reaches all kinds of states", func() {
		covered := modelcheck.Coverage{}
		for seed := range uint64(soundSchedules) {
			outcome := model.Run(model.Draw(seed, 1, modelcheck.SizeSmall))
			Expect(outcome.Violations).To(BeEmpty(), fmt.Sprint("seed ", seed))
			covered.Add(outcome.Coverage)
		}
		for _, name := range []string{"start", "transfer", "turned_back", "widened", "finished", "move", "post-over", "abort", "pause", "resume", "cut-gates",
			"order_during_look", "change_lasts_unknown", "commit_unknown_to_leader", "message_lost", "message_late", "killed_at_transfer", "killed_at_promise",
			"no_queue", "return-queue", "retired"} {
			Expect(covered[name]).To(BeNumerically(">", 0), name)
		}
	})

	It("gives the same outcome each time that a schedule is played", func() {
		schedule := model.Draw(7, 1, modelcheck.SizeSmall)
		Expect(model.Run(schedule)).To(Equal(model.Run(schedule)))
	})

	for _, fault := range model.InjectedFaults() {
		It("finds an injected fault: "+fault.Name, func() {
			for seed := firstSeeds[fault.Name]; seed < firstSeeds[fault.Name]+maxSchedules; seed++ {
				schedule := model.Draw(seed, 1, modelcheck.SizeSmall)
				withoutFault := schedule
				schedule.InjectedFault = fault.Name
				if outcome := model.Run(schedule); len(outcome.Violations) > 0 && len(model.Run(withoutFault).Violations) == 0 {
					fmt.Fprintln(GinkgoWriter, "seed", seed, outcome.Violations[0])
					return
				}
			}
			Fail("no schedule shows the injected fault")
		})
	}
})
