package configuration_test

import (
	"fmt"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/configuration"
)

const rolloutText = `{"config-version":7, "route-list":[{"name":"a","host":"h","path-prefix":"/q/","timeout-ms":3000,"service":"v1","unknown":[1, 2]}],
 "service-list":[{"name":"v1"},{"name":"v2"},{"name":"v3"}], "of-the-operator":{"b":1},
 "rollout-list":[{"name":"r","route":"a","from-service":"v1","to-service":"v2","steps":[{"share":0.05},{"share":0.5},{"share":1}],"agreed":{"failures":0.02}}]}`

var _ = Describe("the rollouts of a configuration", func() {
	read := func(text string) *configuration.Configuration {
		decoded, err := configuration.Read([]byte(text))
		Expect(err).NotTo(HaveOccurred())
		return decoded
	}

	DescribeTable("are rejected with an error that names the invalid field", func(before, after, problem string) {
		text := strings.Replace(rolloutText, before, after, 1)
		Expect(text).NotTo(Equal(rolloutText))
		_, err := configuration.Read([]byte(text))
		Expect(err).To(MatchError(ContainSubstring(problem)))
	},
		Entry("an unknown version", `"to-service":"v2"`, `"to-service":"v9"`, `rollout "r": field to-service names "v9"`),
		Entry("the same version twice", `"to-service":"v2"`, `"to-service":"v1"`, "from-service and to-service"),
		Entry("an unknown route", `"route":"a"`, `"route":"b"`, "field route"),
		Entry("an old version that isn't the route's service", `"from-service":"v1"`, `"from-service":"v3"`, "field from-service"),
		Entry("shares that fall", `{"share":0.5}`, `{"share":0.01}`, "field share must rise"),
		Entry("a share above 1", `{"share":1}`, `{"share":1.5}`, "field share"),
		Entry("a last share below 1", `{"share":1}`, `{"share":0.9}`, "field share of the last step"),
		Entry("no steps", `[{"share":0.05},{"share":0.5},{"share":1}]`, `[]`, "field steps"),
		Entry("a bound outside 0 to 1", `{"failures":0.02}`, `{"failures":2}`, "field failures"),
		Entry("a bound below 0", `{"failures":0.02}`, `{"late":-0.1}`, "field late"),
		Entry("a factor below 1", `{"failures":0.02}`, `{"run-time-factor":0.5}`, "field run-time-factor"),
		Entry("no bound", `{"failures":0.02}`, `{}`, "field agreed"),
		Entry("an unknown state", `"agreed"`, `"state":"odd","agreed"`, "field state"),
		Entry("a step beyond the last", `"agreed"`, `"step":3,"agreed"`, "field step"),
		Entry("an unknown policy for running tasks", `"agreed"`, `"on-turn-back":"hurry","agreed"`, "field on-turn-back"),
		Entry("a route that runs no jobs", `"service":"v1","unknown"`, `"service":"v1","route-type":"streaming","unknown"`, "no queue of jobs"),
		Entry("two rollouts of a route", `"rollout-list":[`, `"rollout-list":[{"name":"q","route":"a","from-service":"v1","to-service":"v3","steps":[{"share":1}],"agreed":{"late":1}},`,
			"under way for"),
		Entry("no name", `{"name":"r"`, `{"name":""`, "has no name"),
	)

	It("choose the new version for the given share of IDs, and for the same IDs when the share grows", func() {
		rollout := read(rolloutText).Rollouts[0]
		rollout.State = configuration.RolloutWidening
		const ids = 20000
		var previous []bool
		for step, share := range []float64{0.05, 0.5, 1} {
			rollout.Step = step
			count, isNew := 0, make([]bool, ids)
			for number := range ids {
				isNew[number] = rollout.ServiceFor(fmt.Sprintf("%016x", number)) == "v2"
				if isNew[number] {
					count++
				} else if previous != nil {
					Expect(previous[number]).To(BeFalse())
				}
			}
			Expect(float64(count) / ids).To(BeNumerically("~", share, 0.01))
			previous = isNew
		}
	})

	It("may name a route with another service once they are over", func() {
		read(strings.Replace(strings.Replace(rolloutText, `"service":"v1"`, `"service":"v3"`, 1), `"agreed"`, `"state":"turned-back","agreed"`, 1))
	})

	Describe("amended in the text of a configuration", func() {
		It("leave the rest of the text as the operator wrote it", func() {
			body, err := configuration.Amend([]byte(rolloutText)).SetProgress("r", configuration.RolloutProgress{State: configuration.RolloutWidening,
				Step: 1, BegunMs: 5, StepBegunMs: 6, StepJobs: 7, Reason: `because of "x"`}).Body()
			Expect(err).NotTo(HaveOccurred())
			Expect(string(body)).To(ContainSubstring(`"unknown":[1, 2]}],
 "service-list":[{"name":"v1"},{"name":"v2"},{"name":"v3"}], "of-the-operator":{"b":1},`))
			changed := read(string(body))
			Expect(changed.Version).To(Equal(int64(8)))
			Expect(changed.Rollouts[0].Progress()).To(Equal(configuration.RolloutProgress{State: configuration.RolloutWidening, Step: 1, BegunMs: 5,
				StepBegunMs: 6, StepJobs: 7, Reason: `because of "x"`}))
			Expect(changed.Rollouts[0].Share()).To(Equal(0.5))
		})

		It("switch the route to the new version when they finish", func() {
			body, err := configuration.Amend([]byte(rolloutText)).SetProgress("r", configuration.RolloutProgress{State: configuration.RolloutFinished}).Body()
			Expect(err).NotTo(HaveOccurred())
			Expect(read(string(body)).Routes[0].Service).To(Equal("v2"))
		})

		It("can be added to a configuration without rollouts, unless they are invalid", func() {
			beforeRollouts, _, _ := strings.Cut(rolloutText, `, "of-the`)
			withoutRollouts := beforeRollouts + "}"
			rollout := read(rolloutText).Rollouts[0]
			body, err := configuration.Amend([]byte(withoutRollouts)).AddRollout(&rollout).Body()
			Expect(err).NotTo(HaveOccurred())
			Expect(read(string(body)).Rollouts).To(Equal(read(rolloutText).Rollouts))
			rollout.Steps = nil
			_, err = configuration.Amend([]byte(withoutRollouts)).AddRollout(&rollout).Body()
			Expect(err).To(MatchError(ContainSubstring("field steps")))
		})

		It("fail for an unknown name and for a body that can't be read", func() {
			_, err := configuration.Amend([]byte(rolloutText)).SetProgress("q", configuration.RolloutProgress{}).Body()
			Expect(err).To(MatchError(configuration.ErrNoRollout))
			_, err = configuration.Amend([]byte("{")).Body()
			Expect(err).To(HaveOccurred())
		})
	})
})
