package comparenodes

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"gannetline/internal/cluster/membership"
	"gannetline/internal/cluster/peerapi/wire"
)

// Difference is one item of state that two nodes know differently. First and Second are the nodes' values.
type Difference struct {
	Kind   string `json:"kind"`
	Name   string `json:"name"`
	First  string `json:"first"`
	Second string `json:"second"`
}

// unknown stands for the value of an item that one of the nodes doesn't know.
const unknown = "(unknown)"

// Compare returns the differences between two nodes, in a fixed order. If one of them is a local proxy, it compares only the stewards of
// the members. It compares replicas and jobs only between nodes of the same role, and executors only if both nodes know some.
func Compare(first, second *wire.BeliefsAnswer) []Difference {
	var differences []Difference
	add := func(kind string, firstDescriptions, secondDescriptions map[string]string) {
		for _, name := range namesOf(firstDescriptions, secondDescriptions) {
			left, right := orUnknown(firstDescriptions, name), orUnknown(secondDescriptions, name)
			if left != right {
				differences = append(differences, Difference{kind, name, left, right})
			}
		}
	}
	add("plan", map[string]string{"version": strconv.FormatInt(first.ConfigVersion, 10)}, map[string]string{"version": strconv.FormatInt(second.ConfigVersion, 10)})
	// A local proxy knows only the stewards.
	isCompared := func(member wire.Member) bool {
		hasLocalProxy := first.Role == membership.RoleLocalProxy || second.Role == membership.RoleLocalProxy
		return !hasLocalProxy || member.Role == membership.RoleSteward
	}
	add("member", members(first, isCompared), members(second, isCompared))
	add("owner", leaders(first), leaders(second))
	if first.Role == second.Role {
		add("replica", replicas(first), replicas(second))
		add("job", jobs(first), jobs(second))
	}
	if len(first.Executors) > 0 && len(second.Executors) > 0 {
		add("executor", executors(first), executors(second))
	}
	return differences
}

// namesOf lists the names that are in either map, sorted.
func namesOf(first, second map[string]string) []string {
	var names []string
	for name := range first {
		names = append(names, name)
	}
	for name := range second {
		if _, isKnown := first[name]; !isKnown {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// orUnknown is the description of an item, or unknown if the node has none.
func orUnknown(descriptions map[string]string, name string) string {
	if value, isKnown := descriptions[name]; isKnown {
		return value
	}
	return unknown
}

// members describes each compared member by its state, address and disk.
func members(answer *wire.BeliefsAnswer, isCompared func(wire.Member) bool) map[string]string {
	states := map[int]string{wire.StateAlive: "alive", wire.StateSuspect: "suspect", wire.StateGone: "gone"}
	descriptions := map[string]string{}
	for _, member := range answer.Members {
		if !isCompared(member) {
			continue
		}
		descriptions[membership.Name(member)] = strings.TrimSpace(states[member.State] + " at " + member.Address + " " + member.Disk)
	}
	return descriptions
}

// leaders describes the leader of each key.
func leaders(answer *wire.BeliefsAnswer) map[string]string {
	descriptions := map[string]string{}
	for _, leader := range answer.Leaders {
		descriptions[leader.Key] = fmt.Sprintf("%s, epoch %d", leader.Name, leader.Epoch)
	}
	return descriptions
}

// replicas describes the node's replica of each key: the epoch that it promised, its last entry and its voters.
func replicas(answer *wire.BeliefsAnswer) map[string]string {
	descriptions := map[string]string{}
	for _, key := range answer.Keys {
		descriptions[key.Key] = fmt.Sprintf("promised %d, at %d.%d, voters %s", key.Epoch, key.Last.Epoch, key.Last.Index, strings.Join(key.Voters.Current, " "))
	}
	return descriptions
}

// jobs returns the state of each job.
func jobs(answer *wire.BeliefsAnswer) map[string]string {
	descriptions := map[string]string{}
	for _, job := range answer.Jobs {
		descriptions[job.Key+"/"+job.ID] = job.State
	}
	return descriptions
}

// executors describes each executor by its state and number of runs.
func executors(answer *wire.BeliefsAnswer) map[string]string {
	descriptions := map[string]string{}
	for _, executor := range answer.Executors {
		descriptions[executor.Key+"/"+executor.Executor] = fmt.Sprintf("%s, %d runs", executor.State, executor.Running)
	}
	return descriptions
}

// Write writes differences as text for people or as JSON. first and second are the names of the two nodes. For text it sorts the slice by
// kind.
func Write(to io.Writer, first, second string, differences []Difference, isJSON bool) error {
	if isJSON {
		if differences == nil {
			differences = []Difference{}
		}
		return json.NewEncoder(to).Encode(map[string]any{"first": first, "second": second, "differences": differences})
	}
	if len(differences) == 0 {
		_, err := fmt.Fprintf(to, "%s and %s believe the same\n", first, second)
		return err
	}
	slices.SortStableFunc(differences, func(a, b Difference) int { return cmp.Compare(a.Kind, b.Kind) })
	for _, difference := range differences {
		if _, err := fmt.Fprintf(to, "%s %s\n  %s: %s\n  %s: %s\n", difference.Kind, difference.Name, first, difference.First, second, difference.Second); err != nil {
			return err
		}
	}
	return nil
}
