package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/juju/errors"
)

// firstDays are hunted on every site before more are on any.
const firstDays = 8

// siteReport is what was played on one site, beside what was planned.
type siteReport struct {
	planned
	huntedDays int
	// broken names the days in which a rule broke or that could not be judged, with the entry they stand in.
	broken []string
	// score is that of the last full score; nil if there is none.
	score      *float64
	hasPassed  bool
	sweepCount int
}

// summarize gives a report for each site of the plan, in the plan's order.
func summarize(plan []planned, entries []entry) []siteReport {
	reports := make([]siteReport, 0, len(plan))
	for _, site := range plan {
		report := siteReport{planned: site}
		for _, played := range entries {
			if played.Site == site.site {
				report.add(played)
			}
		}
		reports = append(reports, report)
	}
	return reports
}

// add counts the days of an entry. Days of a hunt that was stopped count too, as each was judged by itself; a score counts only whole.
func (r *siteReport) add(played entry) {
	for _, day := range played.Days {
		if day.isBroken() {
			r.broken = append(r.broken, played.ID+" "+day.Name)
		}
	}
	switch played.Verb {
	case verbHunt:
		for _, day := range played.Days {
			if day.Worth != nil {
				r.huntedDays++
			}
		}
	case verbScore:
		if played.Score != nil && !played.isQuick() {
			r.score, r.hasPassed = played.Score, played.gatePassed()
		}
	case verbSweep:
		if played.HasDone {
			r.sweepCount++
		}
	}
}

// todo is one run of the bench that is still to be made; days is 0 but for a hunt.
type todo struct {
	verb, site string
	days       int
}

// missing lists what is still to be played, the first days of each site before all else, then scores and sweeps, then the other days.
func missing(reports []siteReport) []todo {
	var first, whole, others []todo
	for _, report := range reports {
		start := min(firstDays, report.days)
		if report.huntedDays < start {
			first = append(first, todo{verbHunt, report.site, start - report.huntedDays})
		}
		if report.isSwept && report.sweepCount == 0 {
			whole = append(whole, todo{verb: verbSweep, site: report.site})
		}
		if report.score == nil {
			whole = append(whole, todo{verb: verbScore, site: report.site})
		}
		if rest := report.days - max(start, report.huntedDays); rest > 0 {
			others = append(others, todo{verbHunt, report.site, rest})
		}
	}
	return append(append(first, whole...), others...)
}

// writeTodo writes what is missing, a line each.
func writeTodo(to io.Writer, reports []siteReport) error {
	for _, left := range missing(reports) {
		fmt.Fprintln(to, left.verb, left.site, left.days)
	}
	return verdict(reports)
}

// writeTable writes a line a site and what is missing.
func writeTable(to io.Writer, digest string, reports []siteReport) error {
	fmt.Fprintf(to, "daemons %s\n\n", digest)
	table := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "site\thunted\twanted\tbroken\tscore\tgate\tsweep")
	for _, report := range reports {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%s\t%s\t%s\n", report.site, report.huntedDays, report.days, len(report.broken),
			report.scoreText(), report.gateText(), report.sweepText())
	}
	if err := table.Flush(); err != nil {
		return errors.Annotate(err, "writing the table")
	}
	for _, report := range reports {
		for _, day := range report.broken {
			fmt.Fprintf(to, "broken: %s %s\n", report.site, day)
		}
	}
	for _, left := range missing(reports) {
		fmt.Fprintln(to, left)
	}
	return verdict(reports)
}

// verdict is an error unless everything of the plan was played and nothing broke.
func verdict(reports []siteReport) error {
	isClean := len(missing(reports)) == 0
	for _, report := range reports {
		isClean = isClean && len(report.broken) == 0 && report.hasPassed
	}
	if !isClean {
		return errMissing
	}
	return nil
}

func (t todo) String() string {
	text := []string{"missing:", t.verb, t.site}
	if t.days > 0 {
		text = append(text, fmt.Sprintf("%d days", t.days))
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
	case r.isSwept:
		return "missing"
	default:
		return "-"
	}
}
