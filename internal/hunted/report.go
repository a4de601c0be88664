package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/juju/errors"
)

// firstDays is the number of days that are hunted on every site before more are hunted on any site.
const firstDays = 8

// siteReport compares the runs on one site with its plan.
type siteReport struct {
	sitePlan
	huntedDays int
	// brokenDays holds the days on which a rule was violated or that could not be judged, each after the ID of its entry.
	brokenDays []string
	// score is the result of the last full score run; nil if there is none.
	score *float64
	// hasPassed is true if the site passed its gate in that run.
	hasPassed  bool
	sweepCount int
}

// summarize returns a report for each site of the plan, in the order of the plan.
func summarize(plan []sitePlan, entries []entry) []siteReport {
	reports := make([]siteReport, 0, len(plan))
	for _, planned := range plan {
		report := siteReport{sitePlan: planned}
		for _, benchRun := range entries {
			if benchRun.Site == planned.site {
				report.add(benchRun)
			}
		}
		reports = append(reports, report)
	}
	return reports
}

// add adds the results of an entry. Broken days are recorded for every kind of run. The days of an interrupted hunt count too, since each is
// judged by itself. A score run counts only if it has a score and is not quick, a sweep only if it is complete.
func (r *siteReport) add(benchRun entry) {
	for _, day := range benchRun.Days {
		if day.isBroken() {
			r.brokenDays = append(r.brokenDays, benchRun.ID+" "+day.Name)
		}
	}
	switch benchRun.Verb {
	case verbHunt:
		for _, day := range benchRun.Days {
			if day.Worth != nil {
				r.huntedDays++
			}
		}
	case verbScore:
		if benchRun.Score != nil && !benchRun.isQuick() {
			r.score, r.hasPassed = benchRun.Score, benchRun.hasPassedGate()
		}
	case verbSweep:
		if benchRun.IsComplete {
			r.sweepCount++
		}
	}
}

// missingRun is a run of the bench that the plan requires and the journal doesn't have. days is the number of missing days of a hunt, and 0 for
// other runs.
type missingRun struct {
	verb, site string
	days       int
}

// listMissing returns the missing runs: the first days of each site, then scores and sweeps, then the other days.
func listMissing(reports []siteReport) []missingRun {
	var firstHunts, scoresAndSweeps, otherHunts []missingRun
	for _, report := range reports {
		firstDayCount := min(firstDays, report.days)
		if report.huntedDays < firstDayCount {
			firstHunts = append(firstHunts, missingRun{verbHunt, report.site, firstDayCount - report.huntedDays})
		}
		if report.needsSweep && report.sweepCount == 0 {
			scoresAndSweeps = append(scoresAndSweeps, missingRun{verb: verbSweep, site: report.site})
		}
		if report.score == nil {
			scoresAndSweeps = append(scoresAndSweeps, missingRun{verb: verbScore, site: report.site})
		}
		if remaining := report.days - max(firstDayCount, report.huntedDays); remaining > 0 {
			otherHunts = append(otherHunts, missingRun{verbHunt, report.site, remaining})
		}
	}
	return append(append(firstHunts, scoresAndSweeps...), otherHunts...)
}

// writeTodo writes the missing runs, one per line, and returns the verdict.
func writeTodo(to io.Writer, reports []siteReport) error {
	for _, missing := range listMissing(reports) {
		fmt.Fprintln(to, missing.verb, missing.site, missing.days)
	}
	return verdict(reports)
}

// writeTable writes a table with one line per site, then the broken days and the missing runs, and returns the verdict.
func writeTable(to io.Writer, digest string, reports []siteReport) error {
	fmt.Fprintf(to, "daemons %s\n\n", digest)
	table := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "site\thunted\twanted\tbroken\tscore\tgate\tsweep")
	for _, report := range reports {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%s\t%s\t%s\n", report.site, report.huntedDays, report.days, len(report.brokenDays),
			report.scoreText(), report.gateText(), report.sweepText())
	}
	if err := table.Flush(); err != nil {
		return errors.Annotate(err, "writing the table")
	}
	for _, report := range reports {
		for _, day := range report.brokenDays {
			fmt.Fprintf(to, "broken: %s %s\n", report.site, day)
		}
	}
	for _, missing := range listMissing(reports) {
		fmt.Fprintln(to, missing)
	}
	return verdict(reports)
}

// verdict returns errMissing unless all runs of the plan were made, no day is broken and all sites have passed their gates.
func verdict(reports []siteReport) error {
	isClean := len(listMissing(reports)) == 0
	for _, report := range reports {
		isClean = isClean && len(report.brokenDays) == 0 && report.hasPassed
	}
	if !isClean {
		return errMissing
	}
	return nil
}

func (r missingRun) String() string {
	text := []string{"missing:", r.verb, r.site}
	if r.days > 0 {
		text = append(text, fmt.Sprintf("%d days", r.days))
	}
	return strings.Join(text, " ")
}

func (r *siteReport) scoreText() string {
	if r.score == nil {
		return "-"
	}
	return fmt.Sprintf("%.3f", *r.score)
}

func (r *siteReport) gateText() string {
	switch {
	case r.score == nil:
		return "-"
	case r.hasPassed:
		return "passed"
	default:
		return "failed"
	}
}

func (r *siteReport) sweepText() string {
	switch {
	case r.sweepCount > 0:
		return "played"
	case r.needsSweep:
		return "missing"
	default:
		return "-"
	}
}
