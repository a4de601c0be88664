package main

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the report of a plan", func() {
	report := func(digest string) []siteReport {
		plan, err := readPlan("testdata/plan.txt")
		Expect(err).NotTo(HaveOccurred())
		entries, err := readJournal("testdata/journal", digest)
		Expect(err).NotTo(HaveOccurred())
		return summarize(plan, entries)
	}

	It("adds up the days of one digest, without runs of other digests, uncommitted changes and other commands", func() {
		reports := report("aaaaaaaaaaaa")
		Expect(reports[0].huntedDays).To(Equal(3))
		Expect(reports[0].brokenDays).To(BeEmpty())
		Expect(*reports[0].score).To(Equal(0.7))
		Expect(reports[0].hasPassed).To(BeTrue())
		Expect(reports[0].sweepCount).To(Equal(1))
		Expect(reports[1].huntedDays).To(Equal(1))
	})

	It("lists the first days, then scores and sweeps, then the other days, with an error while a run is missing", func() {
		var text strings.Builder
		Expect(writeTodo(&text, report("aaaaaaaaaaaa"))).To(MatchError(errMissing))
		Expect(text.String()).To(Equal("hunt south 7\nsweep south 0\nscore south 0\nhunt south 4\n"))
	})

	It("names days on which a rule was violated or that could not be judged", func() {
		var text strings.Builder
		Expect(writeTable(&text, "bbbbbbbbbbbb", report("bbbbbbbbbbbb"))).To(MatchError(errMissing))
		Expect(text.String()).To(ContainSubstring("broken: north e5 day-1\n"))
		Expect(text.String()).To(ContainSubstring("broken: north e5 day-2\n"))
		Expect(text.String()).To(ContainSubstring("missing: hunt north 1 days\n"))
	})

	It("has no error once all runs are made, no day is broken and the gate is passed", func() {
		score := 0.9
		complete := []siteReport{{sitePlan: sitePlan{site: "north", days: 3}, huntedDays: 3, score: &score, hasPassed: true}}
		Expect(verdict(complete)).To(Succeed())
		complete[0].hasPassed = false
		Expect(verdict(complete)).To(MatchError(errMissing))
	})

	It("ignores a quick score", func() {
		quick := siteReport{sitePlan: sitePlan{site: "north", days: 3}}
		score := 0.9
		quick.add(entry{Verb: verbScore, Score: &score, Arguments: []string{"north.toml", "--quick"}})
		Expect(quick.score).To(BeNil())
	})
})

var _ = DescribeTable("an invalid plan is refused with the number of the line", func(text, problem string) {
	root := GinkgoT().TempDir()
	write(root, "plan.txt", text)
	_, err := readPlan(root + "/plan.txt")
	Expect(err).To(MatchError(ContainSubstring(problem)))
},
	Entry("no days", "north\n", "line 1"),
	Entry("a number of days that isn't a number", "north 8\nsouth many\n", "line 2"),
	Entry("an unknown word", "north 8 swept\n", "line 1"),
	Entry("no site", "# nothing\n", "names no site"),
)
