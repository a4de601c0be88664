package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/juju/errors"
)

// The verbs of the bench that the plan asks for.
const (
	verbHunt  = "hunt"
	verbScore = "score"
	verbSweep = "sweep"
)

// digestMark stands before the digest in the reason that an entry gives.
const digestMark = "daemons "

// entry is one run of the bench, as the journal has it; fields that are of no use here are left out.
type entry struct {
	ID   string `json:"id"`
	Verb string `json:"cmd"`
	Site string `json:"site"`
	Why  string `json:"why"`
	// Arguments are those of the command, beginning with the site.
	Arguments []string     `json:"argv"`
	IsDirty   bool         `json:"dirty"`
	HasDone   bool         `json:"ok"`
	Score     *float64     `json:"score"`
	Digest    string       `json:"digest"`
	Days      []dayOfEntry `json:"days"`
}

// dayOfEntry is one day that was played. Rules holds how often each rule broke; Fault is empty unless the day could not be judged.
type dayOfEntry struct {
	Name  string         `json:"name"`
	Worth *float64       `json:"G"`
	Rules map[string]int `json:"rules"`
	Fault string         `json:"fault"`
}

// isBroken tells whether the day counts nothing.
func (d dayOfEntry) isBroken() bool { return len(d.Rules) > 0 || d.Fault != "" }

// gatePassed tells whether a score says so of the site's gate.
func (e entry) gatePassed() bool { return strings.Contains(e.Digest, "GATE passed") }

// isQuick tells whether a score played the light days only.
func (e entry) isQuick() bool { return slices.Contains(e.Arguments, "--quick") }

// isOf tells whether the entry bears the digest, and was made of committed files.
func (e entry) isOf(digest string) bool {
	return !e.IsDirty && strings.Contains(e.Why, digestMark+digest)
}

// readJournal gives the entries of daemons of a digest, oldest first.
func readJournal(folder, digest string) ([]entry, error) {
	names, err := filepath.Glob(filepath.Join(folder, "*.json"))
	if err != nil {
		return nil, errors.Annotatef(err, "journal %s", folder)
	}
	slices.Sort(names)
	var entries []entry
	for _, name := range names {
		text, err := os.ReadFile(name)
		if err != nil {
			return nil, errors.Annotate(err, "journal")
		}
		if !strings.Contains(string(text), digestMark+digest) {
			continue
		}
		var read entry
		if err := json.Unmarshal(text, &read); err != nil {
			return nil, errors.Annotatef(err, "journal entry %s", name)
		}
		if read.isOf(digest) {
			entries = append(entries, read)
		}
	}
	return entries, nil
}
