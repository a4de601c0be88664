package controlmodel

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/simulation/modelcheck"
)

// These specs measure how long a partition has no other leader with a lease after its leader is lost. docs/design/coordination.md has the
// figures.
var _ = Describe("the time from the loss of a partition's leader to the next leader", func() {
	const (
		losses        = 100
		lostAtMs      = 4000
		lossLengthMs  = 4000
		maxWait       = 6 * time.Second
		checkInterval = 5 * time.Millisecond
		maxMedian     = 1500 * time.Millisecond
	)
	// timesWithoutLeader applies a step to the leader of each of many clusters. It returns the times until another machine leads, at most
	// about maxWait, in ascending order.
	timesWithoutLeader := func(kind string) []time.Duration {
		var times []time.Duration
		for seed := range uint64(losses) {
			sim := newSimCluster(modelcheck.Schedule{Model: CoordinationName, Seed: seed, Losses: 1, Nodes: 5, Steps: []modelcheck.Step{
				{AtMs: 700, Kind: stepCallers, Node: minCallers, ForMs: 8000, Value: minPauseMs}}})
			sim.after(700*time.Millisecond, func() { sim.applyStep(sim.schedule.Steps[0]) })
			sim.runUntil(lostAtMs*time.Millisecond + time.Duration(seed)*time.Millisecond)
			former := sim.leader()
			Expect(former).NotTo(BeNil())
			sim.applyStep(modelcheck.Step{Kind: kind, Node: leaderIndex, ForMs: lossLengthMs})
			lostAt := sim.now
			for sim.now-lostAt < maxWait && (sim.leader() == nil || sim.leader() == former) {
				Expect(sim.runUntil(sim.now + checkInterval)).To(BeTrue())
			}
			times = append(times, sim.now-lostAt)
		}
		slices.Sort(times)
		return times
	}

	It("is short for each kind of loss", func() {
		for _, kind := range []string{stepKill, stepPower, stepWipe, stepFreeze, stepCut, stepRestart} {
			times := timesWithoutLeader(kind)
			fmt.Fprintf(GinkgoWriter, "%-12s half %5d ms, 90 of 100 %5d ms, worst %5d ms\n", kind, times[losses/2].Milliseconds(), times[losses*9/10].Milliseconds(),
				times[losses-1].Milliseconds())
			Expect(times[losses/2]).To(BeNumerically("<", maxMedian), kind)
		}
	})
})
