package leaderclient

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/membership"
	"gannetline/internal/cluster/peerapi/wire"
)

// faultyStewards simulates five stewards, some of which do not answer or answer slowly. The view of the caller always names s0 as the
// leader. The successor takes the key over at takenOverS, and the responsive stewards name it as the leader from then on.
type faultyStewards struct {
	unresponsive []string
	// slow is the leader if it is not empty. It takes slowResponseTime to answer.
	slow             string
	slowResponseTime time.Duration
	// takenOverS is in seconds after the start of the call.
	takenOverS float64
	// responseTime is that of the other stewards.
	responseTime time.Duration
	successor    string
}

const (
	poolKey = "pool/s"
	// callDeadline is the time that a call may take.
	callDeadline = 3*time.Second - 25*time.Millisecond
)

func (f *faultyStewards) view() *membership.View {
	view := &membership.View{Leaders: map[string]wire.KeyLeader{poolKey: {Name: "s0"}}}
	for number := range 5 {
		name := fmt.Sprint("s", number)
		view.Stewards = append(view.Stewards, wire.Member{Name: name, Role: membership.RoleSteward, Address: name, Disk: "d" + name})
	}
	return view
}

// simulateCall simulates one call, and returns its duration, the number of attempts and whether it was answered.
func (f *faultyStewards) simulateCall(random *rand.Rand) (took time.Duration, count int, isAnswered bool) {
	view, now := f.view(), time.Duration(0)
	attempts := NewAttempts(poolKey, callDeadline, random.IntN)
	for {
		attempt, isTimeLeft := attempts.Next(view, now)
		if !isTimeLeft {
			return now, count, false
		}
		count++
		isSlow := attempt.Address == f.slow
		if isSlow && f.slowResponseTime <= attempt.Timeout {
			return now + f.slowResponseTime, count, true
		}
		if isSlow || slices.Contains(f.unresponsive, attempt.Address) {
			now += attempt.Timeout
			attempts.HandleFailure(false)
		} else {
			now += f.responseTime
			isTakenOver := now.Seconds() >= f.takenOverS
			answer := &wire.ClientAnswer{NotLeader: true, Leader: "s0"}
			if isTakenOver {
				answer.Leader = f.successor
			}
			if isTakenOver && attempt.Address == f.successor {
				answer = &wire.ClientAnswer{Status: 200}
			}
			if attempts.HandleAnswer(answer) {
				return now, count, true
			}
		}
		now += attempts.Pause(now)
	}
}

var _ = Describe("a call while stewards are unresponsive", func() {
	DescribeTable("is answered soon after the key has a new leader, although the view still names the previous one",
		func(unresponsive []string, takenOverS float64) {
			stewards := &faultyStewards{unresponsive: unresponsive, takenOverS: takenOverS, responseTime: 10 * time.Millisecond, successor: "s4"}
			slowest, maxAttempts := time.Duration(0), 0
			for seed := range uint64(500) {
				took, count, isAnswered := stewards.simulateCall(rand.New(rand.NewPCG(seed, 1)))
				Expect(isAnswered).To(BeTrue(), "seed %d", seed)
				slowest, maxAttempts = max(slowest, took), max(maxAttempts, count)
			}
			GinkgoWriter.Println("slowest", slowest, "most attempts", maxAttempts)
			Expect(slowest.Seconds()).To(BeNumerically("<", takenOverS+1.3))
			Expect(maxAttempts).To(BeNumerically("<=", 16))
		},
		Entry("one unresponsive, key already taken over", []string{"s0"}, 0.0),
		Entry("one unresponsive, key taken over after 1 s", []string{"s0"}, 1.0),
		Entry("one unresponsive, key taken over after 1.8 s", []string{"s0"}, 1.8),
		Entry("two unresponsive, key already taken over", []string{"s0", "s1"}, 0.0),
		Entry("two unresponsive, key taken over after 1 s", []string{"s0", "s1"}, 1.0),
		Entry("two unresponsive, key taken over after 1.8 s", []string{"s0", "s1"}, 1.8),
	)

	It("is answered by a leader that takes longer than the timeout of an attempt", func() {
		stewards := &faultyStewards{slow: "s0", slowResponseTime: 700 * time.Millisecond, takenOverS: 100, responseTime: 10 * time.Millisecond}
		for seed := range uint64(100) {
			took, _, isAnswered := stewards.simulateCall(rand.New(rand.NewPCG(seed, 1)))
			Expect(isAnswered).To(BeTrue(), "seed %d", seed)
			Expect(took.Seconds()).To(BeNumerically("<", 1.5))
		}
	})

	It("goes to the same leader again after an interruption, because that does not count as a failure of the leader", func() {
		stewards := &faultyStewards{}
		attempts := NewAttempts(poolKey, callDeadline, func(int) int { return 0 })
		attempts.Next(stewards.view(), 0)
		attempts.HandleInterruption(false)
		attempt, _ := attempts.Next(stewards.view(), time.Millisecond)
		Expect(attempt).To(Equal(Attempt{Address: "s0", Timeout: attemptTimeout}))
		Expect(attempts.Outcome().MayHaveRun).To(BeTrue())
	})

	It("goes to a live steward first if the leader is gone in the view", func() {
		view := (&faultyStewards{}).view()
		view.Stewards[0].State = wire.StateGone
		attempt, _ := NewAttempts(poolKey, callDeadline, func(int) int { return 0 }).Next(view, 0)
		Expect(attempt.Address).To(Equal("s1"))
	})
})
