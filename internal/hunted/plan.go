package main

import (
	"os"
	"strconv"
	"strings"

	"github.com/juju/errors"
)

// sitePlan holds the runs that a landing requires on one site.
type sitePlan struct {
	site string
	// days is the number of days to hunt.
	days int
	// needsSweep is set if the site represents its kind of deployment. Only such sites need a sweep.
	needsSweep bool
}

// readPlan reads lines with a site's name, a number of days, and "sweep" if the site represents its kind of deployment. # starts a comment.
func readPlan(path string) ([]sitePlan, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Annotate(err, "reading the plan")
	}
	var sites []sitePlan
	for number, line := range strings.Split(string(text), "\n") {
		line, _, _ = strings.Cut(line, "#")
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		site, err := parseSitePlan(words)
		if err != nil {
			return nil, errors.Annotatef(err, "plan %s, line %d", path, number+1)
		}
		sites = append(sites, site)
	}
	if len(sites) == 0 {
		return nil, errors.Errorf("plan %s names no site", path)
	}
	return sites, nil
}

// parseSitePlan parses the words of one line.
func parseSitePlan(words []string) (sitePlan, error) {
	if len(words) < 2 || len(words) > 3 || len(words) == 3 && words[2] != verbSweep {
		return sitePlan{}, errors.Errorf("wanted SITE DAYS [%s]", verbSweep)
	}
	days, err := strconv.Atoi(words[1])
	if err != nil || days < 1 {
		return sitePlan{}, errors.Errorf("%q is not a number of days above 0", words[1])
	}
	return sitePlan{site: words[0], days: days, needsSweep: len(words) == 3}, nil
}
