package controlmodel

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/simulation/modelcheck"
)

// This measures how long a partition has no leader with a lease after its leader is lost. docs/design/coordination.md has the figures.
var _ = Describe("the time from the loss of a partition's leader to the next leader", func() {
	const (
		losses        = 100
		lostAtMs      = 4000
		lossLengthMs  = 4000
		maxWait       = 6 * time.Second
		checkInterval = 5 * time.Millisecond
		maxMedian     = 1500 * time.Millisecond
	)
	// timesWithoutLeader applies a kind of step to the leaders of many clusters and returns the sorted times until another machine leads.
	timesWithoutLeader := func(kind string) []time.Duration {
		var times []time.Duration
		for seed := range uint64(losses) {
			w := newSimCluster(modelcheck.Schedule{Model: CoordinationName, Seed: seed, Losses: 1, Nodes: 5, Steps: []modelcheck.Step{
				{AtMs: 700, Kind: stepCallers, Node: minCallers, ForMs: 8000, Value: minPauseMs}}})
			w.after(700*time.Millisecond, func() { w.applyStep(w.schedule.Steps[0]) })
			w.runUntil(lostAtMs*time.Millisecond + time.Duration(seed)*time.Millisecond)
			former := w.leader()
			Expect(former).NotTo(BeNil())
			w.applyStep(modelcheck.Step{Kind: kind, Node: leaderIndex, ForMs: lossLengthMs})
			lostAt := w.now
			for w.now-lostAt < maxWait && (w.leader() == nil || w.leader() == former) {
				Expect(w.runUntil(w.now + checkInterval)).To(BeTrue())
			}
			times = append(times, w.now-lostAt)
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
