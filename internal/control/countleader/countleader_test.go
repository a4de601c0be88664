package countleader_test

import (
	"github.com/juju/errors"
	"github.com/mailru/easyjson"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/countleader"
	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/logging"
	"gannetline/internal/scheduling/placement"
)

// scriptedLeadership is a fake leadership whose commits end when the test calls finishCommits.
type scriptedLeadership struct {
	hasLease bool
	ops      []wire.Op
	pending  []func(error)
}

func (s *scriptedLeadership) Epoch() uint64  { return 3 }
func (s *scriptedLeadership) HasLease() bool { return s.hasLease }

func (s *scriptedLeadership) Commit(ops []wire.Op, done func(error)) {
	s.ops, s.pending = append(s.ops, ops...), append(s.pending, done)
}

func (s *scriptedLeadership) finishCommits(err error) {
	pending := s.pending
	s.pending = nil
	for _, done := range pending {
		done(err)
	}
}

var _ = Describe("the leader of a partition of the tenant count", func() {
	var leadership *scriptedLeadership
	var leader *countleader.Leader
	var answers []wire.ClientAnswer
	// ask calls Grant for a pool that wants an amount of CPU, and granted returns the CPU that an answer grants.
	ask := func(asker string, number uint64, wants int64) {
		body, err := easyjson.Marshal(&wire.GrantCall{Asker: asker, Epoch: 1, Number: number,
			Tenants: []wire.TenantDemand{{Tenant: "t", Wants: wire.Capacity{CPU: wants}}}})
		Expect(err).NotTo(HaveOccurred())
		leader.Grant(&wire.ClientCall{Body: body}, func(answer wire.ClientAnswer) { answers = append(answers, answer) })
	}
	granted := func(answer wire.ClientAnswer) int64 {
		var given wire.GrantAnswer
		Expect(easyjson.Unmarshal(answer.Body, &given)).To(Succeed())
		Expect(given.Version).To(Equal(int64(9)))
		return given.Tenants[0].Granted.CPU
	}
	BeforeEach(func() {
		leadership, answers = &scriptedLeadership{hasLease: true}, nil
		leader = countleader.New("count/0", clock.NewFake(0), logging.Silent(), func() countleader.Policy {
			return countleader.Policy{Version: 9, Limits: func(string) (placement.Resources, bool) {
				return placement.Resources{CPU: 100, Memory: placement.Unlimited, GPU: placement.Unlimited}, true
			}}
		})
		Expect(leader.Open(leadership, nil)).To(Succeed())
	})

	It("answers when its decision is committed, and decides on further calls before that", func() {
		ask("x", 1, 500)
		ask("y", 1, 500)
		Expect(answers).To(BeEmpty(), "the second answer depends on the first decision")
		leadership.finishCommits(nil)
		Expect(answers).To(HaveLen(2))
		Expect(granted(answers[0])).To(Equal(int64(100)))
		Expect(granted(answers[1])).To(BeZero())
	})

	It("reports no grant to operators that a loss of all power can still undo", func() {
		ask("x", 1, 500)
		leader.Tenants(nil, func(answer wire.ClientAnswer) { answers = append(answers, answer) })
		Expect(answers).To(BeEmpty())
		leadership.finishCommits(errors.New("power lost"))
		Expect(answers).To(HaveExactElements(HaveField("NotLeader", true), HaveField("NotLeader", true)))
	})

	It("answers NotLeader after the leadership is lost or the lease has expired", func() {
		ask("x", 1, 500)
		leadership.finishCommits(errors.New("lost"))
		Expect(answers[0].NotLeader).To(BeTrue())
		ask("x", 2, 500)
		leadership.hasLease = false
		leadership.finishCommits(nil)
		Expect(answers[1].NotLeader).To(BeTrue())
		ask("x", 3, 500)
		leader.Close()
		leadership.finishCommits(nil)
		Expect(answers[2].NotLeader).To(BeTrue())
		Expect(leader.IsOpen()).To(BeFalse())
	})

	It("rejects a call after a later one, and an invalid body", func() {
		ask("x", 2, 1)
		leadership.finishCommits(nil)
		ask("x", 1, 1)
		Expect(answers[1].Status).To(Equal(409))
		leader.Grant(&wire.ClientCall{Body: []byte("[")}, func(answer wire.ClientAnswer) { answers = append(answers, answer) })
		Expect(answers[2].Status).To(Equal(400))
	})

	It("continues from the committed grants, reports them to operators, and names an unreadable record", func() {
		ask("x", 1, 500)
		leadership.finishCommits(nil)
		Expect(leader.Open(leadership, leadership.ops)).To(Succeed())
		leader.Tenants(nil, func(answer wire.ClientAnswer) { answers = append(answers, answer) })
		Expect(string(answers[1].Body)).To(MatchJSON(`{"key":"count/0","version":9,"tenants":[{"tenant":"t",
			"limit":{"cpu-units":100,"memory-req-mb":0,"gpu-count":0},
			"grants":[{"asker":"x","granted":{"cpu-units":100,"memory-req-mb":0,"gpu-count":0},"wants":{"cpu-units":100,"memory-req-mb":0,"gpu-count":0}}]}]}`))
		Expect(leader.Open(leadership, []wire.Op{{Name: "g/t/x", Value: []byte("[")}})).To(MatchError(ContainSubstring("g/t/x")))
	})
})
