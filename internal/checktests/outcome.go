package main

import (
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"

	"github.com/juju/errors"
	"github.com/onsi/ginkgo/v2/types"
)

// event is one event in the output of go test -json.
type event struct {
	Action      string
	Package     string
	Test        string
	Output      string
	FailedBuild string
	ImportPath  string
}

// packageOutcome is the outcome of the tests of one package.
type packageOutcome struct {
	pkg string
	// endAction is pass, fail or skip, or empty until the tests have ended.
	endAction string
	// failedBuild is the import path of the build that failed, if any.
	failedBuild string
	// failedTests holds the test functions that failed. All specs of a package run in one of its test functions.
	failedTests []string
	output      strings.Builder
	// report is nil if the test process wrote none.
	report *types.Report
}

func (o *packageOutcome) hasFailed() bool { return o.endAction == "fail" }

// raceWarning is part of each report of the race detector.
const raceWarning = "WARNING: DATA RACE"

// abnormalExit matches the output of go test for a test process that ended otherwise than with failed tests.
var abnormalExit = regexp.MustCompile(`(?m)^(exit status |signal: |panic: |fatal error: )`)

// hasExitedAbnormally reports whether the test process exited abnormally, for example by a panic or a signal.
func (o *packageOutcome) hasExitedAbnormally() bool {
	return abnormalExit.MatchString(o.output.String())
}

// readEvents reads the events to the end and returns the outcomes in the order in which the packages first appear. When a package ends, it
// prints the last line of its output, or the whole output if it failed.
func readEvents(from io.Reader, to io.Writer) ([]*packageOutcome, error) {
	var outcomes []*packageOutcome
	byPackage := map[string]*packageOutcome{}
	buildOutputs := map[string]string{}
	events := json.NewDecoder(from)
	for {
		var testEvent event
		if err := events.Decode(&testEvent); err == io.EOF {
			return outcomes, nil
		} else if err != nil {
			return outcomes, errors.Annotate(err, "reading the output of go test")
		}
		if testEvent.Action == "build-output" {
			buildOutputs[testEvent.ImportPath] += testEvent.Output
		}
		if testEvent.Package == "" {
			continue
		}
		outcome := byPackage[testEvent.Package]
		if outcome == nil {
			outcome = &packageOutcome{pkg: testEvent.Package}
			byPackage[testEvent.Package] = outcome
			outcomes = append(outcomes, outcome)
		}
		outcome.record(testEvent)
		if outcome.endAction != "" {
			outcome.print(to, buildOutputs[outcome.failedBuild])
		}
	}
}

// record updates the outcome with an event of the package.
func (o *packageOutcome) record(testEvent event) {
	o.output.WriteString(testEvent.Output)
	switch {
	case testEvent.Test != "" && testEvent.Action == "fail":
		o.failedTests = append(o.failedTests, testEvent.Test)
	case testEvent.Test == "" && slices.Contains([]string{"pass", "fail", "skip"}, testEvent.Action):
		o.endAction, o.failedBuild = testEvent.Action, testEvent.FailedBuild
	}
}

// print writes the output of a failed package with that of its build, or only the last line if the package didn't fail.
func (o *packageOutcome) print(to io.Writer, buildOutput string) {
	text := strings.TrimSpace(o.output.String())
	if !o.hasFailed() {
		text = text[strings.LastIndexByte(text, '\n')+1:]
	}
	io.WriteString(to, buildOutput+text+"\n")
}

// readReport reads the report of a package's suite. It returns nil if there is none, which happens if the test process ended early.
func readReport(folder, name string) (*types.Report, error) {
	content, err := os.ReadFile(filepath.Join(folder, name))
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Annotate(err, "reading a report")
	}
	var reports []types.Report
	if err := json.Unmarshal(content, &reports); err != nil {
		return nil, errors.Annotatef(err, "reading the report of %s", folder)
	}
	if len(reports) != 1 {
		return nil, errors.Errorf("%d reports of %s instead of one", len(reports), folder)
	}
	return &reports[0], nil
}
