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

// darkFleet is five stewards of which some say nothing, or little. Where the key's leader is dark, another takes it over
// some time later, and the stewards that are there know it at once, while the view of the process that asks does not.
type darkFleet struct {
	dark []string
	// slow leads, and takes slowHop to answer.
	slow       string
	slowHop    time.Duration
	takenOverS float64
	hop        time.Duration
	successor  string
}

const (
	darkKey    = "pool/s"
	clientTime = 3*time.Second - 25*time.Millisecond
)

func (f *darkFleet) view() *membership.View {
	view := &membership.View{Leaders: map[string]wire.KeyLeader{darkKey: {Name: "s0"}}}
	for place := range 5 {
		name := fmt.Sprint("s", place)
		view.Stewards = append(view.Stewards, wire.Member{Name: name, Role: membership.RoleSteward, Address: name, Disk: "d" + name})
	}
	return view
}

// ask plays one call and gives how long it took, how many tries it made and whether it was answered.
func (f *darkFleet) ask(draw *rand.Rand) (took time.Duration, count int, isAnswered bool) {
	view, now := f.view(), time.Duration(0)
	attempts := NewAttempts(darkKey, clientTime, draw.IntN)
	for {
		attempt, isTimeLeft := attempts.Next(view, now)
		if !isTimeLeft {
			return now, count, false
		}
		count++
		isSlow := attempt.Address == f.slow
		if isSlow && f.slowHop <= attempt.Limit {
			return now + f.slowHop, count, true
		}
		if isSlow || slices.Contains(f.dark, attempt.Address) {
			now += attempt.Limit
			attempts.HandleFailure(false)
		} else {
			now += f.hop
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

var _ = Describe("a question while stewards are dark", func() {
	DescribeTable("is answered soon after the key has a leader again, though the view still names the one before",
		func(dark []string, takenOverS float64) {
			fleet := &darkFleet{dark: dark, takenOverS: takenOverS, hop: 10 * time.Millisecond, successor: "s4"}
			slowest, maxAttempts := time.Duration(0), 0
			for seed := range uint64(500) {
				took, count, isAnswered := fleet.ask(rand.New(rand.NewPCG(seed, 1)))
				Expect(isAnswered).To(BeTrue(), "seed %d", seed)
				slowest, maxAttempts = max(slowest, took), max(maxAttempts, count)
			}
			GinkgoWriter.Println("slowest", slowest, "most tries", maxAttempts)
			Expect(slowest.Seconds()).To(BeNumerically("<", takenOverS+1.3))
			Expect(maxAttempts).To(BeNumerically("<=", 16))
		},
		Entry("one, taken over already", []string{"s0"}, 0.0),
		Entry("one, taken over after a second", []string{"s0"}, 1.0),
		Entry("one, taken over after 1.8 s", []string{"s0"}, 1.8),
		Entry("two, taken over already", []string{"s0", "s1"}, 0.0),
		Entry("two, taken over after a second", []string{"s0", "s1"}, 1.0),
		Entry("two, taken over after 1.8 s", []string{"s0", "s1"}, 1.8),
	)

	It("is answered by a leader that takes longer than a try", func() {
		fleet := &darkFleet{slow: "s0", slowHop: 700 * time.Millisecond, takenOverS: 100, hop: 10 * time.Millisecond}
		for seed := range uint64(100) {
			took, _, isAnswered := fleet.ask(rand.New(rand.NewPCG(seed, 1)))
			Expect(isAnswered).To(BeTrue(), "seed %d", seed)
			Expect(took.Seconds()).To(BeNumerically("<", 1.5))
		}
	})

	It("is asked of its leader again at once when another key has moved, as that says nothing against it", func() {
		fleet := &darkFleet{}
		attempts := NewAttempts(darkKey, clientTime, func(int) int { return 0 })
		attempts.Next(fleet.view(), 0)
		attempts.HandleInterruption(false)
		attempt, _ := attempts.Next(fleet.view(), time.Millisecond)
		Expect(attempt).To(Equal(Attempt{Address: "s0", Limit: attemptTimeout}))
		Expect(attempts.Outcome().MayHaveRun).To(BeTrue())
	})

	It("goes to a steward that is there first where the view has given up the leader", func() {
		view := (&darkFleet{}).view()
		view.Stewards[0].State = wire.StateGone
		attempt, _ := NewAttempts(darkKey, clientTime, func(int) int { return 0 }).Next(view, 0)
		Expect(attempt.Address).To(Equal("s1"))
	})
})
