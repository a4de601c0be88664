package rollout

import (
	"fmt"
	"math"
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"gonum.org/v1/gonum/mathext"
)

// This spec prints the table of docs/design/rollouts.md: how often each method rolls a version back, and after how many jobs on average.
var _ = Describe("comparison of methods to judge failures", func() {
	const (
		agreed        = 0.05
		falseAlarm    = 0.01
		simulations   = 300
		maxJobs       = 4000
		checkInterval = 10
	)
	// windowJobs is the number of jobs that the method of the last jobs looks at. Each method decides whether the version is bad; its
	// arguments are all outcomes so far, and the outcomes of the last windowJobs jobs.
	const windowJobs = 100
	fixedWindow := func(_ trials, last trials) bool { return last.total >= windowJobs && last.rate() > agreed }
	// The sequential probability ratio test compares the bound with twice the bound.
	ratio := func(all trials, _ trials) bool {
		bad, good := float64(all.bad), float64(all.total-all.bad)
		return bad*math.Log(2)+good*math.Log((1-2*agreed)/(1-agreed)) >= math.Log(1/falseAlarm)
	}
	// The posterior probability, under a uniform prior, that the version fails at most as often as agreed.
	bayes := func(all trials, _ trials) bool {
		return mathext.RegIncBeta(float64(all.bad)+1, float64(all.total-all.bad)+1, agreed) < falseAlarm
	}
	// The method of this package: the evidence for a mixture of all failure rates above the bound.
	mixture := func(all trials, _ trials) bool { return logEvidence(all, agreed) >= math.Log(1/falseAlarm) }

	// simulate returns the share of simulations in which a method rolls a version back, and after how many jobs on average.
	simulate := func(fails float64, judge func(all, last trials) bool) (rollbacks float64, jobs int) {
		jobsUntilDetected := 0
		for seed := range uint64(simulations) {
			random := rand.New(rand.NewPCG(seed, 9))
			var all trials
			var outcomes []bool
			for all.total < maxJobs {
				isBad := random.Float64() < fails
				outcomes = append(outcomes, isBad)
				all.total++
				if isBad {
					all.bad++
				}
				if all.total%checkInterval != 0 {
					continue
				}
				var last trials
				for _, isBad := range outcomes[max(0, len(outcomes)-windowJobs):] {
					last.total++
					if isBad {
						last.bad++
					}
				}
				if judge(all, last) {
					rollbacks++
					jobsUntilDetected += int(all.total)
					break
				}
			}
		}
		return rollbacks / simulations, jobsUntilDetected / max(1, int(rollbacks))
	}

	It("shows that the mixture keeps its false alarm rate and detects a failure rate just above the bound", func() {
		fmt.Fprintf(GinkgoWriter, "%-16s %8s %8s %8s %8s %8s\n", "failing", "0.03", "0.05", "0.07", "0.15", "0.50")
		for _, method := range []struct {
			name  string
			judge func(all, last trials) bool
		}{{"last 100 jobs", fixedWindow}, {"ratio test", ratio}, {"posterior", bayes}, {"mixture", mixture}} {
			row := fmt.Sprintf("%-16s", method.name)
			for _, fails := range []float64{0.03, agreed, 0.07, 0.15, 0.5} {
				share, jobs := simulate(fails, method.judge)
				row += fmt.Sprintf(" %3.0f%%/%-4d", 100*share, jobs)
			}
			fmt.Fprintln(GinkgoWriter, row)
		}
		atBound, _ := simulate(agreed, mixture)
		Expect(atBound).To(BeNumerically("<=", falseAlarm))
		above, _ := simulate(0.07, mixture)
		Expect(above).To(BeNumerically(">", 0.9))
	})
})
