package main

import (
	"fmt"
	"strings"

	"github.com/onsi/ginkgo/v2/types"
)

// verdict says what was passed over, and why the check fails, if it does.
type verdict struct {
	passedOver []known
	failures   []string
}

func (v *verdict) fail(format string, values ...any) {
	v.failures = append(v.failures, fmt.Sprintf(format, values...))
}

// judge lets listed specs fail, and nothing else; a listed spec that does anything but fail fails the check.
func judge(list []known, outcomes []*outcome) verdict {
	var all verdict
	for _, one := range outcomes {
		if one.hasFailed() {
			all.judgeFailed(list, one)
		}
	}
	for _, one := range list {
		all.judgeListed(one, outcomes)
	}
	return all
}

func (v *verdict) judgeFailed(list []known, one *outcome) {
	switch {
	case one.failedBuild != "":
		v.fail("%s does not build", one.pkg)
	case strings.Contains(one.output.String(), raceWarning):
		v.fail("%s has a data race", one.pkg)
	case one.report == nil:
		v.fail("%s failed and left no report", one.pkg)
	case one.report.SuiteSucceeded || len(one.failedTests) != 1 || one.hasDied() || len(one.report.SpecialSuiteFailureReasons) > 0:
		v.fail("%s failed, and not by its specs alone", one.pkg)
	default:
		v.judgeSpecs(list, one)
	}
}

func (v *verdict) judgeSpecs(list []known, one *outcome) {
	for _, spec := range one.report.SpecReports {
		switch {
		case spec.State.Is(types.SpecStatePassed):
		case !isIt(spec) || !spec.Failed():
			v.fail("%s %s: %s", one.pkg, nameOf(spec), spec.State)
		case !isListed(list, one.pkg, spec.FullText()):
			v.fail("%s %s: %s", one.pkg, nameOf(spec), spec.State)
		}
	}
}

func isIt(spec types.SpecReport) bool { return spec.LeafNodeType.Is(types.NodeTypeIt) }

func nameOf(spec types.SpecReport) string {
	if isIt(spec) {
		return spec.FullText()
	}
	return "[" + spec.LeafNodeType.String() + "]"
}

func isListed(list []known, pkg, text string) bool {
	for _, one := range list {
		if one.pkg == pkg && one.spec == text {
			return true
		}
	}
	return false
}

func (v *verdict) judgeListed(one known, outcomes []*outcome) {
	var found []types.SpecReport
	for _, ran := range outcomes {
		if ran.pkg != one.pkg || ran.report == nil {
			continue
		}
		for _, spec := range ran.report.SpecReports {
			if isIt(spec) && spec.FullText() == one.spec {
				found = append(found, spec)
			}
		}
	}
	switch {
	case len(found) == 0:
		v.fail("listed as known red, but there is no such test: %s", one)
	case len(found) > 1:
		v.fail("listed as known red, but %d tests are called so: %s", len(found), one)
	case !found[0].Failed():
		v.fail("listed as known red, but it %s; take it off the list: %s", found[0].State, one)
	default:
		v.passedOver = append(v.passedOver, one)
	}
}
