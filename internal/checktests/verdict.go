package main

import (
	"fmt"
	"strings"

	"github.com/onsi/ginkgo/v2/types"
)

// verdict is the result of a check. The check passes if failures is empty. passedOver holds the listed specs that failed.
type verdict struct {
	passedOver []knownFailure
	failures   []string
}

func (v *verdict) fail(format string, values ...any) {
	v.failures = append(v.failures, fmt.Sprintf(format, values...))
}

// checkOutcomes allows only listed specs to fail. A listed spec that doesn't fail is a failure of the check.
func checkOutcomes(list []knownFailure, outcomes []*packageOutcome) verdict {
	var result verdict
	for _, outcome := range outcomes {
		if outcome.hasFailed() {
			result.checkFailedPackage(list, outcome)
		}
	}
	for _, listed := range list {
		result.checkListed(listed, outcomes)
	}
	return result
}

// checkFailedPackage allows a package to fail only if nothing but listed specs failed in it.
func (v *verdict) checkFailedPackage(list []knownFailure, failed *packageOutcome) {
	switch {
	case failed.failedBuild != "":
		v.fail("%s does not build", failed.pkg)
	case strings.Contains(failed.output.String(), raceWarning):
		v.fail("%s has a data race", failed.pkg)
	case failed.report == nil:
		v.fail("%s failed and left no report", failed.pkg)
	case failed.report.SuiteSucceeded || len(failed.failedTests) != 1 || failed.hasExitedAbnormally() || len(failed.report.SpecialSuiteFailureReasons) > 0:
		v.fail("%s failed, and not by its specs alone", failed.pkg)
	default:
		v.checkSpecs(list, failed)
	}
}

// checkSpecs adds a failure for each spec or suite node that didn't pass, except for listed specs that failed.
func (v *verdict) checkSpecs(list []knownFailure, failed *packageOutcome) {
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

// isIt reports whether a report is that of a spec, and not of a suite node such as BeforeSuite.
func isIt(spec types.SpecReport) bool { return spec.LeafNodeType.Is(types.NodeTypeIt) }

// nameOf returns the full text of a spec, or the type of a suite node such as [BeforeSuite].
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

// checkListed adds a failure if a listed spec doesn't exist, isn't unique or didn't fail.
func (v *verdict) checkListed(listed knownFailure, outcomes []*packageOutcome) {
	var specs []types.SpecReport
	for _, outcome := range outcomes {
		if outcome.pkg != listed.pkg || outcome.report == nil {
			continue
		}
		for _, spec := range outcome.report.SpecReports {
			if isIt(spec) && spec.FullText() == listed.spec {
				specs = append(specs, spec)
			}
		}
	}
	switch {
	case len(specs) == 0:
		v.fail("listed as known red, but there is no such test: %s", listed)
	case len(specs) > 1:
		v.fail("listed as known red, but %d tests have this name: %s", len(specs), listed)
	case !specs[0].Failed():
		v.fail("listed as known red, but it %s; take it off the list: %s", specs[0].State, listed)
	default:
		v.passedOver = append(v.passedOver, listed)
	}
}
