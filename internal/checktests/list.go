package main

import (
	"os"
	"regexp"
	"strings"

	"github.com/juju/errors"
	"go.uber.org/multierr"
)

// maxKnownFailures limits the entries of the list.
const maxKnownFailures = 3

// commandPrefix begins an entry that names a command in place of a spec.
const commandPrefix = "command: "

// knownFailure is a test that fails because of a known fault, with the cause and the issue. The test is a spec, with its package and full text,
// or a command that is run by hand, with its seed: a soak, a model check, a day or a script. Then pkg and spec are empty.
type knownFailure struct {
	pkg, spec    string
	command      string
	cause, issue string
}

func (k knownFailure) String() string {
	if k.command != "" {
		return commandPrefix + k.command + " | " + k.cause + " | " + k.issue
	}
	return k.pkg + " " + k.spec + " | " + k.cause + " | " + k.issue
}

// isSameTest reports whether two entries name the same test.
func (k knownFailure) isSameTest(other knownFailure) bool {
	return k.pkg == other.pkg && k.spec == other.spec && k.command == other.command
}

var issuePattern = regexp.MustCompile(`^issue [1-9][0-9]*$`)

// readList returns an empty list if the file doesn't exist.
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

// parseList parses lines of the form "PACKAGE SPEC | CAUSE | issue NUMBER" or "command: COMMAND, with its seed | WHAT WAS SEEN | issue NUMBER".
func parseList(text string) ([]knownFailure, error) {
	var entries []knownFailure
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
		for _, other := range entries {
			if entry.isSameTest(other) {
				problems = multierr.Append(problems, errors.Errorf("line %d of the known red tests: listed twice", number+1))
			}
		}
		entries = append(entries, entry)
	}
	if len(entries) > maxKnownFailures {
		problems = multierr.Append(problems, errors.Errorf("%d known red tests, but at most %d are allowed", len(entries), maxKnownFailures))
	}
	return entries, problems
}

// parseLine parses one line of the list. All three fields are required.
func parseLine(line string) (knownFailure, error) {
	fields := strings.Split(line, "|")
	if len(fields) != 3 {
		return knownFailure{}, errors.Errorf("not \"PACKAGE SPEC | CAUSE | issue NUMBER\": %q", line)
	}
	entry := knownFailure{cause: strings.TrimSpace(fields[1]), issue: strings.TrimSpace(fields[2])}
	test := strings.TrimSpace(fields[0])
	command, isCommand := strings.CutPrefix(test+" ", commandPrefix)
	if isCommand {
		entry.command = strings.TrimSpace(command)
	} else {
		pkg, spec, _ := strings.Cut(test, " ")
		entry.pkg, entry.spec = pkg, strings.TrimSpace(spec)
	}
	switch {
	case isCommand && !strings.Contains(entry.command, "seed"):
		return knownFailure{}, errors.Errorf("no command with its seed, or with \"no seed\": %q", line)
	case !isCommand && (entry.pkg == "" || entry.spec == ""):
		return knownFailure{}, errors.Errorf("no package or no spec: %q", line)
	case entry.cause == "":
		return knownFailure{}, errors.Errorf("no cause: %q", line)
	case !issuePattern.MatchString(entry.issue):
		return knownFailure{}, errors.Errorf("no issue: %q", line)
	}
	return entry, nil
}
