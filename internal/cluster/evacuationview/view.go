package evacuationview

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/indentedjson"
)

// Zone is a zone that has executors or is evacuated.
type Zone struct {
	Name string `json:"zone"`
	// IsEvacuated is set while the zone is evacuated, so that nothing new is sent there. SinceMs is the time of the order, in milliseconds
	// since 1970.
	IsEvacuated bool  `json:"evacuated"`
	SinceMs     int64 `json:"since-ms,omitempty"`
	Executors   int   `json:"executors"`
	// Runs counts the runs that were sent to the zone's executors and have not ended.
	Runs int `json:"runs"`
}

// View is the merged state of evacuations of all processes that answered.
type View struct {
	// Number is the number of the newest list of evacuated zones that any process knows, 0 if no list was ever made.
	Number int64  `json:"evacuation-number"`
	Zones  []Zone `json:"zones"`
	// InformedCount is how many processes know that list. Behind holds the names of the other processes that answered, sorted.
	InformedCount int      `json:"informed"`
	Behind        []string `json:"behind"`
}

// Join merges answers into a view. While the leader of a pool changes, both the old and the new leader may report on it, and each of them may
// lack some executors. For each zone the report with more executors then counts.
func Join(answers []wire.EvacuationsAnswer) View {
	var newest *wire.Evacuations
	for _, answer := range answers {
		if answer.Evacuations.IsNewerThan(newest) {
			newest = answer.Evacuations
		}
	}
	view := View{Zones: []Zone{}, Behind: []string{}}
	if newest != nil {
		view.Number = newest.Number
	}
	for _, answer := range answers {
		if newest.IsNewerThan(answer.Evacuations) {
			view.Behind = append(view.Behind, answer.Name)
		} else {
			view.InformedCount++
		}
	}
	slices.Sort(view.Behind)
	zones := joinLoads(answers)
	if newest != nil {
		for _, evacuated := range newest.Zones {
			zone := zones[evacuated.Zone]
			zone.IsEvacuated, zone.SinceMs = true, evacuated.SinceMs
			zones[evacuated.Zone] = zone
		}
	}
	for _, name := range slices.Sorted(maps.Keys(zones)) {
		zone := zones[name]
		zone.Name = name
		view.Zones = append(view.Zones, zone)
	}
	return view
}

// joinLoads adds up the executors and runs in each zone over all pools. It uses one report of each pool and zone.
func joinLoads(answers []wire.EvacuationsAnswer) map[string]Zone {
	type poolInZone struct{ key, zone string }
	loads := map[poolInZone]wire.ZoneLoad{}
	for _, answer := range answers {
		for _, load := range answer.Loads {
			place := poolInZone{load.Key, load.Zone}
			if other, isKnown := loads[place]; !isKnown || load.Executors > other.Executors {
				loads[place] = load
			}
		}
	}
	zones := map[string]Zone{}
	for place, load := range loads {
		zone := zones[place.zone]
		zone.Executors += load.Executors
		zone.Runs += load.Runs
		zones[place.zone] = zone
	}
	return zones
}

// WriteJSON writes the view as one JSON object.
func (v View) WriteJSON(to io.Writer) error {
	return errors.Annotate(indentedjson.Write(to, v), "writing the evacuations")
}

// WriteTable writes a line for each zone, and a last line with the number of processes that know the newest list and the names of those that
// don't.
func (v View) WriteTable(to io.Writer) error {
	table := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "zone\tstate\tsince\texecutors\truns")
	for _, zone := range v.Zones {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\n", zone.Name, zone.state(), zone.since(), zone.Executors, zone.Runs)
	}
	if err := table.Flush(); err != nil {
		return errors.Annotate(err, "writing the evacuations")
	}
	line := fmt.Sprintf("order %d is known to %d processes", v.Number, v.InformedCount)
	if len(v.Behind) > 0 {
		line += ", not yet to " + strings.Join(v.Behind, ", ")
	}
	_, err := fmt.Fprintln(to, line)
	return errors.Annotate(err, "writing the evacuations")
}

// state is "open" for a zone that isn't evacuated, "emptying" while runs remain in an evacuated one, and "empty" afterwards.
func (z Zone) state() string {
	switch {
	case !z.IsEvacuated:
		return "open"
	case z.Runs == 0:
		return "empty"
	}
	return "emptying"
}

// since is the start of the evacuation in UTC, "-" for a zone that isn't evacuated.
func (z Zone) since() string {
	if !z.IsEvacuated {
		return "-"
	}
	return time.UnixMilli(z.SinceMs).UTC().Format(time.RFC3339)
}
