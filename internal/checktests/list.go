package main

import (
	"os"
	"regexp"
	"strings"

	"github.com/juju/errors"
	"go.uber.org/multierr"
)

const mostKnown = 3

// known is a test that is red for a real fault: its package and the full text of its spec.
type known struct {
	pkg, spec    string
	cause, issue string
}

func (k known) String() string { return k.pkg + " " + k.spec + " | " + k.cause + " | " + k.issue }

var issueForm = regexp.MustCompile(`^issue [1-9][0-9]*$`)

// readList gives none if there is no file.
func readList(path string) ([]known, error) {
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
func parseList(text string) ([]known, error) {
	var all []known
	var found error
	if text = strings.TrimSuffix(text, "\n"); text == "" {
		return nil, nil
	}
	for number, line := range strings.Split(text, "\n") {
		one, err := parseLine(line)
		if err != nil {
			found = multierr.Append(found, errors.Annotatef(err, "line %d of the known red tests", number+1))
			continue
		}
		for _, other := range all {
			if other.pkg == one.pkg && other.spec == one.spec {
				found = multierr.Append(found, errors.Errorf("line %d of the known red tests: listed twice", number+1))
			}
		}
		all = append(all, one)
	}
	if len(all) > mostKnown {
		found = multierr.Append(found, errors.Errorf("%d known red tests, and %d are the most", len(all), mostKnown))
	}
	return all, found
}

func parseLine(line string) (known, error) {
	fields := strings.Split(line, "|")
	if len(fields) != 3 {
		return known{}, errors.Errorf("not \"PACKAGE SPEC | CAUSE | issue NUMBER\": %q", line)
	}
	pkg, spec, _ := strings.Cut(strings.TrimSpace(fields[0]), " ")
	one := known{pkg: pkg, spec: strings.TrimSpace(spec), cause: strings.TrimSpace(fields[1]), issue: strings.TrimSpace(fields[2])}
	switch {
	case one.pkg == "" || one.spec == "":
		return known{}, errors.Errorf("no package, or no spec: %q", line)
	case one.cause == "":
		return known{}, errors.Errorf("no cause: %q", line)
	case !issueForm.MatchString(one.issue):
		return known{}, errors.Errorf("no issue: %q", line)
	}
	return one, nil
}
