package main

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("what was played", func() {
	report := func(digest string) []siteReport {
		plan, err := readPlan("testdata/plan.txt")
		Expect(err).NotTo(HaveOccurred())
		entries, err := readJournal("testdata/journal", digest)
		Expect(err).NotTo(HaveOccurred())
		return summarize(plan, entries)
	}

	It("adds up days of one digest, and leaves out those of another, of changed files and of other verbs", func() {
		reports := report("aaaaaaaaaaaa")
		Expect(reports[0].huntedDays).To(Equal(3))
		Expect(reports[0].broken).To(BeEmpty())
		Expect(*reports[0].score).To(Equal(0.7))
		Expect(reports[0].hasPassed).To(BeTrue())
		Expect(reports[0].sweepCount).To(Equal(1))
		Expect(reports[1].huntedDays).To(Equal(1))
	})

	It("lists first days, then scores and sweeps, then the other days, and is an error while any is left", func() {
		var text strings.Builder
		Expect(writeTodo(&text, report("aaaaaaaaaaaa"))).To(MatchError(errMissing))
		Expect(text.String()).To(Equal("hunt south 7\nsweep south 0\nscore south 0\nhunt south 4\n"))
	})

	It("names days in which a rule broke or that could not be judged", func() {
		var text strings.Builder
		Expect(writeTable(&text, "bbbbbbbbbbbb", report("bbbbbbbbbbbb"))).To(MatchError(errMissing))
		Expect(text.String()).To(ContainSubstring("broken: north e5 day-1\n"))
		Expect(text.String()).To(ContainSubstring("broken: north e5 day-2\n"))
		Expect(text.String()).To(ContainSubstring("missing: hunt north 1 days\n"))
	})

	It("is no error once all was played clean", func() {
		score := 0.9
		whole := []siteReport{{planned: planned{site: "north", days: 3}, huntedDays: 3, score: &score, hasPassed: true}}
		Expect(verdict(whole)).To(Succeed())
		whole[0].hasPassed = false
		Expect(verdict(whole)).To(MatchError(errMissing))
	})

	It("does not take a quick score for a whole one", func() {
		quick := siteReport{planned: planned{site: "north", days: 3}}
		score := 0.9
		quick.add(entry{Verb: verbScore, Score: &score, Arguments: []string{"north.toml", "--quick"}})
		Expect(quick.score).To(BeNil())
	})
})

var _ = DescribeTable("a plan that can't be read is refused with its line", func(text, problem string) {
	root := GinkgoT().TempDir()
	write(root, "plan.txt", text)
	_, err := readPlan(root + "/plan.txt")
	Expect(err).To(MatchError(ContainSubstring(problem)))
},
	Entry("no days", "north\n", "line 1"),
	Entry("no number", "north 8\nsouth many\n", "line 2"),
	Entry("an unknown word", "north 8 swept\n", "line 1"),
	Entry("nothing", "# nothing\n", "names no site"),
)
