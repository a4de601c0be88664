package main

import (
	"os"
	"regexp"
	"strings"

	"github.com/juju/errors"
	"go.uber.org/multierr"
)

const maxKnownFailures = 3

// knownFailure is a test that is red for a real fault: its package and the full text of its spec.
type knownFailure struct {
	pkg, spec    string
	cause, issue string
}

func (k knownFailure) String() string {
	return k.pkg + " " + k.spec + " | " + k.cause + " | " + k.issue
}

var issueForm = regexp.MustCompile(`^issue [1-9][0-9]*$`)

// readList gives none if there is no file.
func readList(path string) ([]knownFailure, error) {
	text, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Annotate(err, "reading the list of known red tests")
	}
	return parseList(string(text))
}

// parseList reads lines of "PACKAGE SPEC | CAUSE | issue NUMBER".
func parseList(text string) ([]knownFailure, error) {
	var all []knownFailure
	var problems error
	if text = strings.TrimSuffix(text, "\n"); text == "" {
		return nil, nil
	}
	for number, line := range strings.Split(text, "\n") {
		entry, err := parseLine(line)
		if err != nil {
			problems = multierr.Append(problems, errors.Annotatef(err, "line %d of the known red tests", number+1))
			continue
		}
		for _, other := range all {
			if other.pkg == entry.pkg && other.spec == entry.spec {
				problems = multierr.Append(problems, errors.Errorf("line %d of the known red tests: listed twice", number+1))
			}
		}
		all = append(all, entry)
	}
	if len(all) > maxKnownFailures {
		problems = multierr.Append(problems, errors.Errorf("%d known red tests, and %d are the most", len(all), maxKnownFailures))
	}
	return all, problems
}

// parseLine reads one line of the list; each of its three fields must be there.
func parseLine(line string) (knownFailure, error) {
	fields := strings.Split(line, "|")
	if len(fields) != 3 {
		return knownFailure{}, errors.Errorf("not \"PACKAGE SPEC | CAUSE | issue NUMBER\": %q", line)
	}
	pkg, spec, _ := strings.Cut(strings.TrimSpace(fields[0]), " ")
	entry := knownFailure{pkg: pkg, spec: strings.TrimSpace(spec), cause: strings.TrimSpace(fields[1]), issue: strings.TrimSpace(fields[2])}
	switch {
	case entry.pkg == "" || entry.spec == "":
		return knownFailure{}, errors.Errorf("no package, or no spec: %q", line)
	case entry.cause == "":
		return knownFailure{}, errors.Errorf("no cause: %q", line)
	case !issueForm.MatchString(entry.issue):
		return knownFailure{}, errors.Errorf("no issue: %q", line)
	}
	return entry, nil
}
