package rollout

import (
	"fmt"
	"math"
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"gonum.org/v1/gonum/mathext"
)

// The figures of this table stand in docs/design/rollouts.md: how often each way of judging turns a version back, and after how many jobs.
var _ = Describe("ways of judging failures, weighed", func() {
	const (
		agreed  = 0.05
		alarm   = 0.01
		plays   = 300
		maxJobs = 4000
		looks   = 10
	)
	// Each way says from all outcomes so far, and from those of the last window, whether the version is bad.
	const windowJobs = 100
	fixedWindow := func(_ trials, last trials) bool { return last.total >= windowJobs && last.rate() > agreed }
	// The sequential ratio test holds the bound against twice the bound.
	ratio := func(all trials, _ trials) bool {
		bad, good := float64(all.bad), float64(all.total-all.bad)
		return bad*math.Log(2)+good*math.Log((1-2*agreed)/(1-agreed)) >= math.Log(1/alarm)
	}
	// The posterior under an even prior, looked at again and again.
	bayes := func(all trials, _ trials) bool {
		return mathext.RegIncBeta(float64(all.bad)+1, float64(all.total-all.bad)+1, agreed) < alarm
	}
	mixture := func(all trials, _ trials) bool { return logEvidence(all, agreed) >= math.Log(1/alarm) }

	play := func(fails float64, judge func(all, last trials) bool) (turnedBack float64, jobs int) {
		sum := 0
		for seed := range uint64(plays) {
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
				if all.total%looks != 0 {
					continue
				}
				var last trials
				for _, one := range outcomes[max(0, len(outcomes)-windowJobs):] {
					last.total++
					if one {
						last.bad++
					}
				}
				if judge(all, last) {
					turnedBack++
					sum += int(all.total)
					break
				}
			}
		}
		return turnedBack / plays, sum / max(1, int(turnedBack))
	}

	It("has only the mixture keep its bound and find what is just above it", func() {
		fmt.Fprintf(GinkgoWriter, "%-16s %8s %8s %8s %8s %8s\n", "failing", "0.03", "0.05", "0.07", "0.15", "0.50")
		for _, way := range []struct {
			name  string
			judge func(all, last trials) bool
		}{{"last 100 jobs", fixedWindow}, {"ratio test", ratio}, {"posterior", bayes}, {"mixture", mixture}} {
			line := fmt.Sprintf("%-16s", way.name)
			for _, fails := range []float64{0.03, agreed, 0.07, 0.15, 0.5} {
				share, jobs := play(fails, way.judge)
				line += fmt.Sprintf(" %3.0f%%/%-4d", 100*share, jobs)
			}
			fmt.Fprintln(GinkgoWriter, line)
		}
		atBound, _ := play(agreed, mixture)
		Expect(atBound).To(BeNumerically("<=", alarm))
		above, _ := play(0.07, mixture)
		Expect(above).To(BeNumerically(">", 0.9))
	})
})
