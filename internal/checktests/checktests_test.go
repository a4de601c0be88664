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

// spec returns the report of a spec in the container "a sum".
func spec(text string, state types.SpecState) types.SpecReport {
	return types.SpecReport{ContainerHierarchyTexts: []string{"a sum"}, LeafNodeType: types.NodeTypeIt, LeafNodeText: text, State: state}
}

// report returns the report of a suite with the specs.
func report(specs ...types.SpecReport) *types.Report {
	suite := &types.Report{SuiteSucceeded: true, SpecReports: specs}
	for _, specReport := range specs {
		suite.SuiteSucceeded = suite.SuiteSucceeded && !specReport.Failed()
	}
	return suite
}

// outcomesOf reads the events and gives each package the report.
func outcomesOf(events string, suite *types.Report) []*packageOutcome {
	var output bytes.Buffer
	outcomes, err := readEvents(strings.NewReader(events), &output)
	Expect(err).NotTo(HaveOccurred())
	for _, outcome := range outcomes {
		outcome.report = suite
	}
	return outcomes
}

// listOf parses a valid list.
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
	It("has up to three lines of test, cause and issue", func() {
		Expect(listOf(redLine + "\n")).To(Equal([]knownFailure{{pkg: pkg, spec: "a sum is wrong", cause: "the sum is wrong", issue: "issue 8"}}))
		Expect(listOf("")).To(BeEmpty())
		Expect(readList(filepath.Join(GinkgoT().TempDir(), listName))).To(BeEmpty())
	})

	It("may have commands with their seeds, which are printed and pass over nothing", func() {
		const command = "command: target/soak --mix 24 --seed 7 --seconds 20 | two jobs were lost | issue 64"
		list := listOf(command + "\n" + redLine)
		Expect(list[0]).To(Equal(knownFailure{command: "target/soak --mix 24 --seed 7 --seconds 20", cause: "two jobs were lost", issue: "issue 64"}))
		var output bytes.Buffer
		const ownPackage = "gannetline/internal/checktests"
		list[1].pkg = ownPackage
		tested, err := selectTested(list, map[string]string{ownPackage: "."}, &output)
		Expect(err).NotTo(HaveOccurred())
		Expect(tested).To(Equal(list[1:]))
		Expect(output.String()).To(Equal("known red, not run here: " + command + "\n"))
	})

	// Guards against a listed spec that failed the runs which test other packages only.
	It("has no effect on a run that does not test the package, unless there is no such package", func() {
		elsewhere := knownFailure{pkg: "gannetline/internal/checktests", spec: "a sum is wrong", cause: "wrong", issue: "issue 8"}
		var output bytes.Buffer
		tested, err := selectTested([]knownFailure{elsewhere}, map[string]string{"gannetline/internal/hunted": "."}, &output)
		Expect(err).NotTo(HaveOccurred())
		Expect(tested).To(BeEmpty())
		Expect(output.String()).To(ContainSubstring("does not test: " + elsewhere.String()))
		_, err = selectTested(listOf(redLine), map[string]string{}, &output)
		Expect(err).To(MatchError(ContainSubstring("no such package")))
	})

	DescribeTable("is refused", func(text, problem string) {
		_, err := parseList(text)
		Expect(err).To(MatchError(ContainSubstring(problem)))
	},
		Entry("with a line of two parts", pkg+" a sum | wrong", "line 1"),
		Entry("with a line of four parts", redLine+" | more", "line 1"),
		Entry("with an empty line", redLine+"\n\n"+redLine, "line 2"),
		Entry("with a command without a seed", "command: target/soak | wrong | issue 8", "seed"),
		Entry("with an empty command", "command: | wrong | issue 8", "seed"),
		Entry("without a spec", pkg+" | wrong | issue 8", "no spec"),
		Entry("without a cause", pkg+" a sum | | issue 8", "no cause"),
		Entry("without an issue", pkg+" a sum | wrong | soon", "no issue"),
		Entry("with a test twice", redLine+"\n"+redLine, "twice"),
		Entry("with four tests", "p a | c | issue 1\np b | c | issue 1\np c | c | issue 1\np d | c | issue 1", "4 known red tests"),
	)
})

var _ = Describe("the verdict", func() {
	It("ignores only the failures of listed tests, and names them", func() {
		list := listOf(redLine)
		result := checkOutcomes(list, outcomesOf(redEvent, report(right, wrong)))
		Expect(result.failures).To(BeEmpty())
		Expect(result.passedOver).To(Equal(list))
		Expect(checkOutcomes(nil, outcomesOf(greenEvent, report(right))).failures).To(BeEmpty())
	})

	DescribeTable("fails", func(lines, events string, suite *types.Report, problem string) {
		Expect(checkOutcomes(listOf(lines), outcomesOf(events, suite)).failures).To(ContainElement(ContainSubstring(problem)))
	},
		Entry("for a test that is not listed", "", redEvent, report(right, wrong), "a sum is wrong: failed"),
		Entry("for an unlisted test beside a listed one", redLine, redEvent, report(wrong, spec("is odd", types.SpecStatePanicked)), "a sum is odd: panicked"),
		Entry("for a test with a listed name in another package", strings.Replace(redLine, "sums", "others", 1), redEvent, report(wrong), "a sum is wrong: failed"),
		Entry("for a listed test that passes", redLine, greenEvent, report(spec("is wrong", types.SpecStatePassed)), "take it off"),
		Entry("for a listed test that is skipped", redLine, greenEvent, report(spec("is wrong", types.SpecStateSkipped)), "take it off"),
		Entry("for a skipped test beside a listed one that failed", redLine, redEvent, report(wrong, spec("is late", types.SpecStateSkipped)), "a sum is late: skipped"),
		Entry("for a listed test that doesn't exist", redLine, greenEvent, report(right), "no such test"),
		Entry("for a listed name that two tests have", redLine, redEvent, report(wrong, wrong), "2 tests"),
		Entry("for a failed BeforeSuite, although it is listed", pkg+" [BeforeSuite] | c | issue 8", redEvent,
			&types.Report{SpecReports: types.SpecReports{{LeafNodeType: types.NodeTypeBeforeSuite, State: types.SpecStateFailed}}}, "[BeforeSuite]: failed"),
		Entry("for a package without a report", redLine, redEvent, nil, "no report"),
		Entry("for a second failed test function", redLine, `{"Action":"fail","Package":"`+pkg+`","Test":"TestOther"}`+"\n"+redEvent, report(wrong), "not by its specs alone"),
		Entry("for a suite whose specs all passed", "", redEvent, report(right), "not by its specs alone"),
		Entry("for a process that exited abnormally", redLine, `{"Action":"output","Package":"`+pkg+`","Output":"exit status 2\n"}`+"\n"+redEvent, report(wrong), "not by its specs alone"),
		Entry("for a data race", redLine, `{"Action":"output","Package":"`+pkg+`","Output":"WARNING: DATA RACE\n"}`+"\n"+redEvent, report(wrong), "data race"),
		Entry("for a package that does not build", redLine, `{"Action":"fail","Package":"`+pkg+`","FailedBuild":"x"}`, nil, "does not build"),
	)

	It("fails if the exit of go test and the results of the packages disagree", func() {
		var output bytes.Buffer
		Expect(conclude(verdict{}, outcomesOf(greenEvent, report(right)), errors.New("killed"), &output)).To(MatchError(ContainSubstring("killed")))
		Expect(conclude(verdict{}, outcomesOf(redEvent, report(wrong)), nil, &output)).NotTo(Succeed())
		Expect(conclude(verdict{}, outcomesOf(greenEvent, report(right)), nil, &output)).To(Succeed())
		Expect(conclude(verdict{}, outcomesOf(`{"Action":"run","Package":"p","Test":"T"}`, nil), nil, &output)).To(MatchError(ContainSubstring("did not end")))
	})
})

var _ = Describe("a run of go test", func() {
	check := func(list string, packages ...string) (string, error) {
		path := filepath.Join(GinkgoT().TempDir(), listName)
		Expect(os.WriteFile(path, []byte(list), 0o600)).To(Succeed())
		var output, errorOutput bytes.Buffer
		err := run(path, append([]string{"-count=1"}, packages...), &output, &errorOutput)
		return output.String(), err
	}
	const red = "gannetline/internal/checktests/testdata/red a sum is wrong | a sum is wrong | issue 8\n"

	It("passes if only listed tests fail, and prints the last lines of the packages", func() {
		output, err := check(red, "./testdata/red")
		Expect(err).NotTo(HaveOccurred())
		Expect(output).To(MatchRegexp(`(?m)^FAIL\tgannetline/internal/checktests/testdata/red\t`))
		Expect(output).To(ContainSubstring("known red, passed over: " + strings.TrimSpace(red)))
		Expect(filepath.Join("testdata", "red", reportName)).NotTo(BeAnExistingFile())
	})

	It("fails for all other problems", func() {
		output, err := check(red, "./testdata/red", "./testdata/broken", "./testdata/dies")
		Expect(err).To(MatchError(And(ContainSubstring("testdata/broken does not build"), ContainSubstring("testdata/dies failed, and not by its specs alone"),
			Not(ContainSubstring("testdata/red")))))
		Expect(output).To(ContainSubstring("undefined: missing"))
		_, err = check("", "./testdata/red")
		Expect(err).To(MatchError(ContainSubstring("testdata/red a sum is wrong: failed")))
	})
})
