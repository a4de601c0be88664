package rehearsal

import (
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/configuration"
)

var _ = ginkgo.Describe("what the pools of a rehearsal know of a rollout", func() {
	played := func(state configuration.RolloutState, isRepeatable bool) *playedRollout {
		spec := &Rollout{Queue: "q", OnTurnBack: configuration.RollbackStop, IsRepeatable: isRepeatable}
		made := &playedRollout{spec: *spec, rollout: spec.asConfigured(), version: 3}
		made.rollout.State, made.rollout.BegunMs = state, 1000
		return made
	}

	ginkgo.DescribeTable("is that runs of a turned back version are stopped where its jobs may run again", func(isRepeatable bool) {
		policy := played(configuration.RolloutRolledBack, isRepeatable).policy(versionNew)
		Expect(policy.Version).To(Equal(int64(3)))
		Expect(policy.Rollouts).To(HaveLen(1))
		Expect(policy.Rollouts[0].StopsRuns).To(BeTrue())
		Expect(policy.Rollouts[0].IsRepeatable).To(Equal(isRepeatable))
		Expect(policy.Rollouts[0].ReturnTo).To(Equal(versionOld))
	},
		ginkgo.Entry("repeatable", true),
		ginkgo.Entry("not repeatable", false),
	)

	ginkgo.It("is nothing before it has begun and for the old version once it is over", func() {
		begins := played(configuration.RolloutWidening, false)
		begins.rollout.BegunMs = 0
		Expect(begins.policy(versionNew).Rollouts).To(BeEmpty())
		Expect(played(configuration.RolloutRolledBack, false).policy(versionOld).Rollouts).To(BeEmpty())
		Expect(played(configuration.RolloutWidening, false).policy(versionOld).Rollouts).To(HaveLen(1))
	})
})
