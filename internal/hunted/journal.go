package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/juju/errors"
)

// Commands of the bench that the plan requires. A hunt simulates a number of days on a site.
const (
	verbHunt  = "hunt"
	verbScore = "score"
	verbSweep = "sweep"
)

// digestMark precedes the digest of the daemons in the reason of an entry.
const digestMark = "daemons "

// entry is one run of the bench in the journal. Fields that this program doesn't need are left out.
type entry struct {
	ID     string `json:"id"`
	Verb   string `json:"cmd"`
	Site   string `json:"site"`
	Reason string `json:"why"`
	// Arguments are the arguments of the command; the first is the site.
	Arguments []string `json:"argv"`
	// IsDirty is set if the work tree had uncommitted changes.
	IsDirty bool `json:"dirty"`
	// IsComplete is set if the run ended successfully.
	IsComplete bool     `json:"ok"`
	Score      *float64 `json:"score"`
	// Summary is the text in which the bench reports the result of the gate.
	Summary string      `json:"digest"`
	Days    []dayResult `json:"days"`
}

// dayResult is the result of one simulated day. Worth is nil if the day got no score, Rules counts the violations of each rule, and Fault is
// empty unless the day could not be judged.
type dayResult struct {
	Name  string         `json:"name"`
	Worth *float64       `json:"G"`
	Rules map[string]int `json:"rules"`
	Fault string         `json:"fault"`
}

// isBroken reports whether a rule was violated on the day or the day could not be judged.
func (d dayResult) isBroken() bool { return len(d.Rules) > 0 || d.Fault != "" }

// hasPassedGate reports whether the site passed its gate in a score run.
func (e entry) hasPassedGate() bool { return strings.Contains(e.Summary, "GATE passed") }

// isQuick reports whether a score run included only the light days.
func (e entry) isQuick() bool { return slices.Contains(e.Arguments, "--quick") }

// isRunOf reports whether the run used daemons with this digest, built from committed files only.
func (e entry) isRunOf(digest string) bool {
	return !e.IsDirty && strings.Contains(e.Reason, digestMark+digest)
}

// readJournal returns the entries whose runs used the daemons with a digest, oldest first by their file names.
func readJournal(folder, digest string) ([]entry, error) {
	names, err := filepath.Glob(filepath.Join(folder, "*.json"))
	if err != nil {
		return nil, errors.Annotatef(err, "listing journal %s", folder)
	}
	slices.Sort(names)
	var entries []entry
	for _, name := range names {
		text, err := os.ReadFile(name)
		if err != nil {
			return nil, errors.Annotate(err, "reading a journal entry")
		}
		if !strings.Contains(string(text), digestMark+digest) {
			continue
		}
		var decoded entry
		if err := json.Unmarshal(text, &decoded); err != nil {
			return nil, errors.Annotatef(err, "decoding journal entry %s", name)
		}
		if decoded.isRunOf(digest) {
			entries = append(entries, decoded)
		}
	}
	return entries, nil
}
