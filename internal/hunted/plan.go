package main

import (
	"os"
	"strconv"
	"strings"

	"github.com/juju/errors"
)

// planned is what a landing needs of one site.
type planned struct {
	site string
	// days is how many days of it are to be hunted.
	days int
	// isSwept tells that its kind of deployment is swept on this site.
	isSwept bool
}

// readPlan reads lines of a site's name, a number of days, and "sweep" where the site stands for its kind; # begins a comment.
func readPlan(path string) ([]planned, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Annotate(err, "plan")
	}
	var sites []planned
	for number, line := range strings.Split(string(text), "\n") {
		line, _, _ = strings.Cut(line, "#")
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		site, err := parsePlanned(words)
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

func parsePlanned(words []string) (planned, error) {
	if len(words) < 2 || len(words) > 3 || len(words) == 3 && words[2] != verbSweep {
		return planned{}, errors.Errorf("wanted SITE DAYS [%s]", verbSweep)
	}
	days, err := strconv.Atoi(words[1])
	if err != nil || days < 1 {
		return planned{}, errors.Errorf("%q is no number of days above 0", words[1])
	}
	return planned{site: words[0], days: days, isSwept: len(words) == 3}, nil
}
