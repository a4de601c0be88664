// Checktests runs go test and ignores the failures of the specs listed in KNOWN-RED.txt. It fails if any other test fails, or if a listed spec
// doesn't. Listed commands are printed and have no other effect.
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

// listName is the file with the tests that may fail, in the folder in which this program runs. reportName is the file to which Ginkgo writes the
// report of a package, in the folder of the package.
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

// run runs go test with the arguments. It returns an error unless exactly the listed tests fail.
func run(listPath string, arguments []string, to, errorsTo io.Writer) error {
	listed, err := readList(listPath)
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
	listed, err = selectTested(listed, folders, to)
	if err != nil {
		return err
	}
	outcomes, exitErr, err := runTests(arguments, to, errorsTo)
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
	return conclude(checkOutcomes(listed, outcomes), outcomes, exitErr, to)
}

// selectTested returns the listed specs of the tested packages, and prints the other entries: commands, and specs of packages that this run
// doesn't test. It returns an error if a listed spec is of a package that doesn't exist.
func selectTested(listed []knownFailure, folders map[string]string, to io.Writer) ([]knownFailure, error) {
	if len(listed) == 0 {
		return nil, nil
	}
	all, err := foldersOf([]string{"./..."})
	if err != nil {
		return nil, err
	}
	var tested []knownFailure
	for _, entry := range listed {
		switch {
		case entry.command != "":
			fmt.Fprintln(to, "known red, not run here:", entry)
		case folders[entry.pkg] != "":
			tested = append(tested, entry)
		case all[entry.pkg] != "":
			fmt.Fprintln(to, "known red, of a package that this run does not test:", entry)
		default:
			return nil, errors.Errorf("listed as known red, but there is no such package: %s", entry)
		}
	}
	return tested, nil
}

// conclude prints the known failures and returns an error if the check fails. It also fails if a package has no end event, or if the exit of
// go test (exitErr) and the results of the packages disagree.
func conclude(result verdict, outcomes []*packageOutcome, exitErr error, to io.Writer) error {
	hasFailed := false
	for _, outcome := range outcomes {
		hasFailed = hasFailed || outcome.hasFailed()
		if outcome.endAction == "" {
			result.fail("%s did not end", outcome.pkg)
		}
	}
	if hasFailed != (exitErr != nil) {
		result.fail("go test ended with %v, which its packages don't explain", exitErr)
	}
	if len(result.passedOver) == 0 {
		fmt.Fprintln(to, "no failure was passed over")
	}
	for _, listed := range result.passedOver {
		fmt.Fprintln(to, "known red, passed over:", listed)
	}
	if len(result.failures) > 0 {
		return errors.New(strings.Join(result.failures, "\nchecktests: "))
	}
	return nil
}

// foldersOf returns the folders of the packages that the arguments name, by import path. If they name none, it returns the package of the
// current folder.
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

// clearReports removes the reports of earlier runs from the folders of the packages.
func clearReports(folders map[string]string) error {
	for _, folder := range folders {
		if err := os.Remove(filepath.Join(folder, reportName)); err != nil && !os.IsNotExist(err) {
			return errors.Annotate(err, "removing a report")
		}
	}
	return nil
}

// runTests runs go test and returns the outcomes of the packages. exitErr is the error with which go test ended, or nil if it succeeded. err is
// set if go test couldn't be run or its output couldn't be read.
func runTests(arguments []string, to, errorsTo io.Writer) (outcomes []*packageOutcome, exitErr, err error) {
	command := exec.Command("go", append(append([]string{"test", "-json"}, arguments...), "-ginkgo.json-report="+reportName)...)
	command.Stderr = errorsTo
	events, err := command.StdoutPipe()
	if err != nil {
		return nil, nil, errors.Annotate(err, "go test")
	}
	if err := command.Start(); err != nil {
		return nil, nil, errors.Annotate(err, "go test")
	}
	outcomes, err = readEvents(events, to)
	return outcomes, command.Wait(), err
}
