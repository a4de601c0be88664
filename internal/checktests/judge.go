package main

import (
	"fmt"
	"strings"

	"github.com/onsi/ginkgo/v2/types"
)

// verdict says what was passed over, and why the check fails, if it does.
type verdict struct {
	passedOver []knownFailure
	failures   []string
}

func (v *verdict) fail(format string, values ...any) {
	v.failures = append(v.failures, fmt.Sprintf(format, values...))
}

// judge lets listed specs fail, and nothing else; a listed spec that does anything but fail fails the check.
func judge(list []knownFailure, outcomes []*packageOutcome) verdict {
	var all verdict
	for _, outcome := range outcomes {
		if outcome.hasFailed() {
			all.judgeFailed(list, outcome)
		}
	}
	for _, listed := range list {
		all.judgeListed(listed, outcomes)
	}
	return all
}

// judgeFailed lets a package's failure pass only if nothing but listed specs failed in it.
func (v *verdict) judgeFailed(list []knownFailure, failed *packageOutcome) {
	switch {
	case failed.failedBuild != "":
		v.fail("%s does not build", failed.pkg)
	case strings.Contains(failed.output.String(), raceWarning):
		v.fail("%s has a data race", failed.pkg)
	case failed.report == nil:
		v.fail("%s failed and left no report", failed.pkg)
	case failed.report.SuiteSucceeded || len(failed.failedTests) != 1 || failed.hasDied() || len(failed.report.SpecialSuiteFailureReasons) > 0:
		v.fail("%s failed, and not by its specs alone", failed.pkg)
	default:
		v.judgeSpecs(list, failed)
	}
}

// judgeSpecs fails for each spec that neither passed nor is listed.
func (v *verdict) judgeSpecs(list []knownFailure, failed *packageOutcome) {
	for _, spec := range failed.report.SpecReports {
		switch {
		case spec.State.Is(types.SpecStatePassed):
		case !isIt(spec) || !spec.Failed():
			v.fail("%s %s: %s", failed.pkg, nameOf(spec), spec.State)
		case !isListed(list, failed.pkg, spec.FullText()):
			v.fail("%s %s: %s", failed.pkg, nameOf(spec), spec.State)
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

func isListed(list []knownFailure, pkg, text string) bool {
	for _, listed := range list {
		if listed.pkg == pkg && listed.spec == text {
			return true
		}
	}
	return false
}

// judgeListed fails for a listed spec that wasn't run, isn't unique or passed.
func (v *verdict) judgeListed(listed knownFailure, outcomes []*packageOutcome) {
	var specs []types.SpecReport
	for _, ran := range outcomes {
		if ran.pkg != listed.pkg || ran.report == nil {
			continue
		}
		for _, spec := range ran.report.SpecReports {
			if isIt(spec) && spec.FullText() == listed.spec {
				specs = append(specs, spec)
			}
		}
	}
	switch {
	case len(specs) == 0:
		v.fail("listed as known red, but there is no such test: %s", listed)
	case len(specs) > 1:
		v.fail("listed as known red, but %d tests are called so: %s", len(specs), listed)
	case !specs[0].Failed():
		v.fail("listed as known red, but it %s; take it off the list: %s", specs[0].State, listed)
	default:
		v.passedOver = append(v.passedOver, listed)
	}
}
