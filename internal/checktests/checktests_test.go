package main

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	"github.com/onsi/ginkgo/v2/types"
	. "github.com/onsi/gomega"
)

const (
	pkg      = "gannetline/internal/sums"
	redLine  = pkg + " a sum is wrong | the sum is wrong | issue 8"
	redEvent = `{"Action":"fail","Package":"` + pkg + `","Test":"TestSums"}
{"Action":"output","Package":"` + pkg + `","Output":"FAIL\n"}
{"Action":"output","Package":"` + pkg + `","Output":"FAIL\tgannetline/internal/sums\t0.1s\n"}
{"Action":"fail","Package":"` + pkg + `"}
`
	greenEvent = `{"Action":"output","Package":"` + pkg + `","Output":"PASS\n"}
{"Action":"output","Package":"` + pkg + `","Output":"ok  \tgannetline/internal/sums\t0.1s\n"}
{"Action":"pass","Package":"` + pkg + `"}
`
)

func spec(text string, state types.SpecState) types.SpecReport {
	return types.SpecReport{ContainerHierarchyTexts: []string{"a sum"}, LeafNodeType: types.NodeTypeIt, LeafNodeText: text, State: state}
}

func report(specs ...types.SpecReport) *types.Report {
	all := &types.Report{SuiteSucceeded: true, SpecReports: specs}
	for _, one := range specs {
		all.SuiteSucceeded = all.SuiteSucceeded && !one.Failed()
	}
	return all
}

func read(events string, left *types.Report) []*packageOutcome {
	var shown bytes.Buffer
	outcomes, err := takeEvents(strings.NewReader(events), &shown)
	Expect(err).NotTo(HaveOccurred())
	for _, one := range outcomes {
		one.report = left
	}
	return outcomes
}

func listOf(lines string) []knownFailure {
	list, err := parseList(lines)
	Expect(err).NotTo(HaveOccurred())
	return list
}

var (
	right = spec("is right", types.SpecStatePassed)
	wrong = spec("is wrong", types.SpecStateFailed)
)

var _ = Describe("the list of known red tests", func() {
	It("holds up to three lines of test, cause and issue", func() {
		Expect(listOf(redLine + "\n")).To(Equal([]knownFailure{{pkg: pkg, spec: "a sum is wrong", cause: "the sum is wrong", issue: "issue 8"}}))
		Expect(listOf("")).To(BeEmpty())
		Expect(readList(filepath.Join(GinkgoT().TempDir(), listName))).To(BeEmpty())
	})

	DescribeTable("is refused", func(text, why string) {
		_, err := parseList(text)
		Expect(err).To(MatchError(ContainSubstring(why)))
	},
		Entry("with a line of two parts", pkg+" a sum | wrong", "line 1"),
		Entry("with a line of four parts", redLine+" | more", "line 1"),
		Entry("with an empty line", redLine+"\n\n"+redLine, "line 2"),
		Entry("without a spec", pkg+" | wrong | issue 8", "no spec"),
		Entry("without a cause", pkg+" a sum | | issue 8", "no cause"),
		Entry("without an issue", pkg+" a sum | wrong | soon", "no issue"),
		Entry("with a test twice", redLine+"\n"+redLine, "twice"),
		Entry("with four tests", "p a | c | issue 1\np b | c | issue 1\np c | c | issue 1\np d | c | issue 1", "4 known red tests"),
	)
})

var _ = Describe("the verdict", func() {
	It("passes over just the listed tests, and names them", func() {
		list := listOf(redLine)
		all := judge(list, read(redEvent, report(right, wrong)))
		Expect(all.failures).To(BeEmpty())
		Expect(all.passedOver).To(Equal(list))
		Expect(judge(nil, read(greenEvent, report(right))).failures).To(BeEmpty())
	})

	DescribeTable("fails", func(lines, events string, left *types.Report, why string) {
		Expect(judge(listOf(lines), read(events, left)).failures).To(ContainElement(ContainSubstring(why)))
	},
		Entry("for a test that is not listed", "", redEvent, report(right, wrong), "a sum is wrong: failed"),
		Entry("for a test not listed beside one that is", redLine, redEvent, report(wrong, spec("is odd", types.SpecStatePanicked)), "a sum is odd: panicked"),
		Entry("for a test of that name in another package", strings.Replace(redLine, "sums", "others", 1), redEvent, report(wrong), "a sum is wrong: failed"),
		Entry("for a listed test that passes", redLine, greenEvent, report(spec("is wrong", types.SpecStatePassed)), "take it off"),
		Entry("for a listed test that is skipped", redLine, greenEvent, report(spec("is wrong", types.SpecStateSkipped)), "take it off"),
		Entry("for a test skipped beside one that failed", redLine, redEvent, report(wrong, spec("is late", types.SpecStateSkipped)), "a sum is late: skipped"),
		Entry("for a listed test that isn't there", redLine, greenEvent, report(right), "no such test"),
		Entry("for a listed name of two tests", redLine, redEvent, report(wrong, wrong), "2 tests"),
		Entry("for a failed set-up, though listed", pkg+" [BeforeSuite] | c | issue 8", redEvent,
			&types.Report{SpecReports: types.SpecReports{{LeafNodeType: types.NodeTypeBeforeSuite, State: types.SpecStateFailed}}}, "[BeforeSuite]: failed"),
		Entry("for a package without a report", redLine, redEvent, nil, "no report"),
		Entry("for a second failed test function", redLine, `{"Action":"fail","Package":"`+pkg+`","Test":"TestOther"}`+"\n"+redEvent, report(wrong), "not by its specs alone"),
		Entry("for a suite whose specs all passed", "", redEvent, report(right), "not by its specs alone"),
		Entry("for a process that died", redLine, `{"Action":"output","Package":"`+pkg+`","Output":"exit status 2\n"}`+"\n"+redEvent, report(wrong), "not by its specs alone"),
		Entry("for a data race", redLine, `{"Action":"output","Package":"`+pkg+`","Output":"WARNING: DATA RACE\n"}`+"\n"+redEvent, report(wrong), "data race"),
		Entry("for a package that does not build", redLine, `{"Action":"fail","Package":"`+pkg+`","FailedBuild":"x"}`, nil, "does not build"),
	)

	It("fails when go test does, for no reason that its packages give", func() {
		var shown bytes.Buffer
		Expect(conclude(verdict{}, read(greenEvent, report(right)), errors.New("killed"), &shown)).To(MatchError(ContainSubstring("killed")))
		Expect(conclude(verdict{}, read(redEvent, report(wrong)), nil, &shown)).NotTo(Succeed())
		Expect(conclude(verdict{}, read(greenEvent, report(right)), nil, &shown)).To(Succeed())
		Expect(conclude(verdict{}, read(`{"Action":"run","Package":"p","Test":"T"}`, nil), nil, &shown)).To(MatchError(ContainSubstring("did not end")))
	})
})

var _ = Describe("go test itself", func() {
	check := func(list string, packages ...string) (string, error) {
		path := filepath.Join(GinkgoT().TempDir(), listName)
		Expect(os.WriteFile(path, []byte(list), 0o600)).To(Succeed())
		var shown, complaints bytes.Buffer
		err := run(path, append([]string{"-count=1"}, packages...), &shown, &complaints)
		return shown.String(), err
	}
	const red = "gannetline/internal/checktests/testdata/red a sum is wrong | a sum is wrong | issue 8\n"

	It("is passed over for a listed test, and its closing lines are printed", func() {
		shown, err := check(red, "./testdata/red")
		Expect(err).NotTo(HaveOccurred())
		Expect(shown).To(MatchRegexp(`(?m)^FAIL\tgannetline/internal/checktests/testdata/red\t`))
		Expect(shown).To(ContainSubstring("known red, passed over: " + strings.TrimSpace(red)))
		Expect(filepath.Join("testdata", "red", reportName)).NotTo(BeAnExistingFile())
	})

	It("fails the check for all else", func() {
		shown, err := check(red, "./testdata/red", "./testdata/broken", "./testdata/dies")
		Expect(err).To(MatchError(And(ContainSubstring("testdata/broken does not build"), ContainSubstring("testdata/dies failed, and not by its specs alone"),
			Not(ContainSubstring("testdata/red")))))
		Expect(shown).To(ContainSubstring("undefined: missing"))
		_, err = check("", "./testdata/red")
		Expect(err).To(MatchError(ContainSubstring("testdata/red a sum is wrong: failed")))
	})
})
