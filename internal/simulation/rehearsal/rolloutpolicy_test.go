package rehearsal

import (
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/configuration"
)

var _ = ginkgo.Describe("the rollout policy of a rehearsal", func() {
	newRollout := func(state configuration.RolloutState, isRepeatable bool) *replayedRollout {
		spec := &Rollout{Queue: "q", OnRollback: configuration.RollbackStop, IsRepeatable: isRepeatable}
		created := &replayedRollout{spec: *spec, rollout: spec.toConfiguration(), version: 3}
		created.rollout.State, created.rollout.BegunMs = state, 1000
		return created
	}

	ginkgo.DescribeTable("stops the runs of a rolled back version, and states whether its jobs are repeatable", func(isRepeatable bool) {
		policy := newRollout(configuration.RolloutRolledBack, isRepeatable).policy(versionNew)
		Expect(policy.Version).To(Equal(int64(3)))
		Expect(policy.Rollouts).To(HaveLen(1))
		Expect(policy.Rollouts[0].StopsRuns).To(BeTrue())
		Expect(policy.Rollouts[0].IsRepeatable).To(Equal(isRepeatable))
		Expect(policy.Rollouts[0].ReturnTo).To(Equal(versionOld))
	},
		ginkgo.Entry("repeatable", true),
		ginkgo.Entry("not repeatable", false),
	)

	ginkgo.It("is empty before the rollout begins, and for the old version once it is over", func() {
		notBegun := newRollout(configuration.RolloutWidening, false)
		notBegun.rollout.BegunMs = 0
		Expect(notBegun.policy(versionNew).Rollouts).To(BeEmpty())
		Expect(newRollout(configuration.RolloutRolledBack, false).policy(versionOld).Rollouts).To(BeEmpty())
		Expect(newRollout(configuration.RolloutWidening, false).policy(versionOld).Rollouts).To(HaveLen(1))
	})
})
