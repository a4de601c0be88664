package rehearsal_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/scheduling/recording"
	"gannetline/internal/simulation/rehearsal"
)

const rolloutFile = "testdata/bad-version.yaml"

var _ = Describe("a rehearsed rollout", func() {
	rehearse := func(change func(*rehearsal.Rollout)) *rehearsal.Report {
		rollout, err := rehearsal.LoadRollout(rolloutFile)
		Expect(err).NotTo(HaveOccurred())
		if change != nil {
			change(rollout)
		}
		day, err := recording.ReadFiles([]string{example}, false)
		Expect(err).NotTo(HaveOccurred())
		report, err := rehearsal.Rehearse(rehearsal.Setup{Day: day, Change: &rehearsal.Change{}, Seed: 1, Horizon: time.Minute, Rollout: rollout})
		Expect(err).NotTo(HaveOccurred())
		return report
	}
	last := func(report *rehearsal.Report) rehearsal.RolloutSample { return report.Rollout[len(report.Rollout)-1] }
	totals := func(report *rehearsal.Report) (missing, twice int) {
		for _, pair := range report.Queues {
			missing, twice = missing+pair.Changed.Missing, twice+pair.Changed.Twice
		}
		return missing, twice
	}

	It("rolls back a failing version, and no job is missing or runs twice", func() {
		report := rehearse(nil)
		Expect(last(report).State).To(Equal("turned-back"))
		Expect(last(report).Reason).To(ContainSubstring("failures of"))
		Expect(last(report).NewEnded).To(BeNumerically("<", last(report).OldEnded))
		missing, twice := totals(report)
		Expect(missing).To(BeZero())
		Expect(twice).To(BeZero())
		var shown, plot bytes.Buffer
		Expect(report.Write(&shown, false)).To(Succeed())
		Expect(shown.String()).To(MatchRegexp(`turned-back +\[\.{20}\]`))
		rehearsal.WritePlot(&plot, report.Rollout)
		Expect(plot.String()).To(ContainSubstring("turned-back after"))
	})

	It("finishes the rollout of a version without failures", func() {
		report := rehearse(func(rollout *rehearsal.Rollout) { rollout.NewVersion.FailureShare = 0 })
		Expect(last(report).State).To(Equal("finished"))
		missing, twice := totals(report)
		Expect(missing + twice).To(BeZero())
	})

	It("rolls back a version that becomes slow later", func() {
		report := rehearse(func(rollout *rehearsal.Rollout) {
			rollout.NewVersion = rehearsal.Behaviour{RunTimeFactor: 6, FromS: 6}
			rollout.Steps[0].MinTimeS, rollout.Steps[0].Share, rollout.Bounds.RunTimeFactor = 30, 0.5, 2
		})
		Expect(last(report).State).To(Equal("turned-back"))
	})

	DescribeTable("refuses a file with the name of the field", func(before, after, field string) {
		text, err := os.ReadFile(rolloutFile)
		Expect(err).NotTo(HaveOccurred())
		changed := strings.Replace(string(text), before, after, 1)
		Expect(changed).NotTo(Equal(string(text)))
		path := filepath.Join(GinkgoT().TempDir(), "rollout.yaml")
		Expect(os.WriteFile(path, []byte(changed), 0o600)).To(Succeed())
		_, err = rehearsal.LoadRollout(path)
		Expect(err).To(MatchError(ContainSubstring(field)))
	},
		Entry("an unknown field", "queue:", "qeue:", "qeue"),
		Entry("no queue", "queue: settlement", "queue: ''", "field queue"),
		Entry("a chance above 1", "fails: 0.5", "fails: 1.5", "fails"),
		Entry("decreasing shares", "share: 0.2", "share: 1", "field share"),
		Entry("a bound outside 0 to 1", "failures: 0.05", "failures: 7", "field failures"),
		Entry("too few executors", "executors: 1", "executors: 0", "executors"),
	)
})
