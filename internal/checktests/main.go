// Checktests runs go test and passes over the tests of KNOWN-RED.txt, as long as just these fail.
package main

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/juju/errors"
)

const (
	listName   = "KNOWN-RED.txt"
	reportName = "specs-report.json"
)

func main() {
	if err := run(listName, os.Args[1:], os.Stdout, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, "checktests:", err)
		os.Exit(1)
	}
}

// run gives an error unless all tests pass, the listed ones apart; arguments are those of go test.
func run(list string, arguments []string, to, errorsTo io.Writer) error {
	listed, err := readList(list)
	if err != nil {
		return err
	}
	folders, err := foldersOf(arguments)
	if err != nil {
		return err
	}
	if err := clearReports(folders); err != nil {
		return err
	}
	outcomes, ended, err := runTests(arguments, to, errorsTo)
	if err != nil {
		return err
	}
	for _, outcome := range outcomes {
		if outcome.report, err = readReport(folders[outcome.pkg], reportName); err != nil {
			return err
		}
	}
	if err := clearReports(folders); err != nil {
		return err
	}
	return conclude(judge(listed, outcomes), outcomes, ended, to)
}

// conclude fails also when go test failed and no package did.
func conclude(all verdict, outcomes []*packageOutcome, ended error, to io.Writer) error {
	hasFailed := false
	for _, outcome := range outcomes {
		hasFailed = hasFailed || outcome.hasFailed()
		if outcome.ended == "" {
			all.fail("%s did not end", outcome.pkg)
		}
	}
	if hasFailed != (ended != nil) {
		all.fail("go test ended with %v, which its packages don't explain", ended)
	}
	if len(all.passedOver) == 0 {
		fmt.Fprintln(to, "no failure was passed over")
	}
	for _, listed := range all.passedOver {
		fmt.Fprintln(to, "known red, passed over:", listed)
	}
	if len(all.failures) > 0 {
		return errors.New(strings.Join(all.failures, "\nchecktests: "))
	}
	return nil
}

// foldersOf lists the packages among the arguments; without any, the one of this folder.
func foldersOf(arguments []string) (map[string]string, error) {
	list := []string{"list", "-e", "-f", "{{.ImportPath}} {{.Dir}}"}
	for _, argument := range arguments {
		if strings.HasPrefix(argument, ".") || strings.HasPrefix(argument, "gannetline/") {
			list = append(list, argument)
		}
	}
	text, err := exec.Command("go", list...).Output()
	if err != nil {
		return nil, errors.Annotate(err, "listing packages")
	}
	folders := map[string]string{}
	for _, line := range strings.Split(strings.TrimSpace(string(text)), "\n") {
		pkg, folder, _ := strings.Cut(line, " ")
		folders[pkg] = folder
	}
	return folders, nil
}

func clearReports(folders map[string]string) error {
	for _, folder := range folders {
		if err := os.Remove(filepath.Join(folder, reportName)); err != nil && !os.IsNotExist(err) {
			return errors.Annotate(err, "removing a report")
		}
	}
	return nil
}

// runTests gives how go test ended beside what became of the packages.
func runTests(arguments []string, to, errorsTo io.Writer) (outcomes []*packageOutcome, ended, err error) {
	command := exec.Command("go", append(append([]string{"test", "-json"}, arguments...), "-ginkgo.json-report="+reportName)...)
	command.Stderr = errorsTo
	events, err := command.StdoutPipe()
	if err != nil {
		return nil, nil, errors.Annotate(err, "go test")
	}
	if err := command.Start(); err != nil {
		return nil, nil, errors.Annotate(err, "go test")
	}
	outcomes, err = takeEvents(events, to)
	return outcomes, command.Wait(), err
}
