package controlmodel

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/simulation/modelcheck"
)

// The figures of this table stand in docs/design/coordination.md: how long a part has no leader with a lease after its leader is lost.
var _ = Describe("the time from the loss of a part's leader to the next one", func() {
	const (
		losses     = 100
		lostAtMs   = 4000
		lastingMs  = 4000
		giveUp     = 6 * time.Second
		lookEvery  = 5 * time.Millisecond
		withinKill = 1500 * time.Millisecond
	)
	// withoutLeader loses the leader of each of many clusters in a way, and gives the times until another one leads, sorted.
	withoutLeader := func(kind string) []time.Duration {
		var times []time.Duration
		for seed := range uint64(losses) {
			w := newSimCluster(modelcheck.Schedule{Model: CoordinationName, Seed: seed, Losses: 1, Nodes: 5, Steps: []modelcheck.Step{
				{AtMs: 700, Kind: stepCallers, Node: minCallers, ForMs: 8000, Value: minPauseMs}}})
			w.after(700*time.Millisecond, func() { w.applyStep(w.schedule.Steps[0]) })
			w.runUntil(lostAtMs*time.Millisecond + time.Duration(seed)*time.Millisecond)
			former := w.leader()
			Expect(former).NotTo(BeNil())
			w.applyStep(modelcheck.Step{Kind: kind, Node: leaderIndex, ForMs: lastingMs})
			lostAt := w.now
			for w.now-lostAt < giveUp && (w.leader() == nil || w.leader() == former) {
				Expect(w.runUntil(w.now + lookEvery)).To(BeTrue())
			}
			times = append(times, w.now-lostAt)
		}
		slices.Sort(times)
		return times
	}

	It("is short, in each way of losing it", func() {
		for _, kind := range []string{stepKill, stepPower, stepWipe, stepFreeze, stepCut, stepRestart} {
			times := withoutLeader(kind)
			fmt.Fprintf(GinkgoWriter, "%-12s half %5d ms, 90 of 100 %5d ms, worst %5d ms\n", kind, times[losses/2].Milliseconds(), times[losses*9/10].Milliseconds(),
				times[losses-1].Milliseconds())
			Expect(times[losses/2]).To(BeNumerically("<", withinKill), kind)
		}
	})
})
