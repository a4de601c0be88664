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

// event is what go test -json prints.
type event struct {
	Action      string
	Package     string
	Test        string
	Output      string
	FailedBuild string
	ImportPath  string
}

// packageOutcome is what became of the tests of one package.
type packageOutcome struct {
	pkg         string
	ended       string
	failedBuild string
	failedTests []string
	output      strings.Builder
	report      *types.Report
}

func (o *packageOutcome) hasFailed() bool { return o.ended == "fail" }

const raceWarning = "WARNING: DATA RACE"

// deathForm is what go test says of a process that did not end by itself with failed tests.
var deathForm = regexp.MustCompile(`(?m)^(exit status |signal: |panic: |fatal error: )`)

func (o *packageOutcome) hasDied() bool { return deathForm.MatchString(o.output.String()) }

// takeEvents reads them to the end; a package's closing line is printed at once, and all it said if it failed.
func takeEvents(from io.Reader, to io.Writer) ([]*packageOutcome, error) {
	var order []*packageOutcome
	byPackage := map[string]*packageOutcome{}
	builds := map[string]string{}
	events := json.NewDecoder(from)
	for {
		var testEvent event
		if err := events.Decode(&testEvent); err == io.EOF {
			return order, nil
		} else if err != nil {
			return order, errors.Annotate(err, "reading what go test says")
		}
		if testEvent.Action == "build-output" {
			builds[testEvent.ImportPath] += testEvent.Output
		}
		if testEvent.Package == "" {
			continue
		}
		all := byPackage[testEvent.Package]
		if all == nil {
			all = &packageOutcome{pkg: testEvent.Package}
			byPackage[testEvent.Package] = all
			order = append(order, all)
		}
		all.take(testEvent)
		if all.ended != "" {
			all.print(to, builds[all.failedBuild])
		}
	}
}

// take takes an event of the package into account.
func (o *packageOutcome) take(testEvent event) {
	o.output.WriteString(testEvent.Output)
	switch {
	case testEvent.Test != "" && testEvent.Action == "fail":
		o.failedTests = append(o.failedTests, testEvent.Test)
	case testEvent.Test == "" && slices.Contains([]string{"pass", "fail", "skip"}, testEvent.Action):
		o.ended, o.failedBuild = testEvent.Action, testEvent.FailedBuild
	}
}

func (o *packageOutcome) print(to io.Writer, build string) {
	said := strings.TrimSpace(o.output.String())
	if !o.hasFailed() {
		said = said[strings.LastIndexByte(said, '\n')+1:]
	}
	io.WriteString(to, build+said+"\n")
}

// readReport finds none if the package's tests did not come to their end.
func readReport(folder, name string) (*types.Report, error) {
	text, err := os.ReadFile(filepath.Join(folder, name))
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Annotate(err, "reading a report")
	}
	var reports []types.Report
	if err := json.Unmarshal(text, &reports); err != nil {
		return nil, errors.Annotatef(err, "reading the report of %s", folder)
	}
	if len(reports) != 1 {
		return nil, errors.Errorf("%d reports of %s instead of one", len(reports), folder)
	}
	return &reports[0], nil
}
