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

// Difference is one thing that two nodes believe differently.
type Difference struct {
	Kind   string `json:"kind"`
	Name   string `json:"name"`
	First  string `json:"first"`
	Second string `json:"second"`
}

const unknown = "(unknown)"

// Compare gives the differences only, in a fixed order. What the role of a node need not know is not compared.
func Compare(first, second *wire.BeliefsAnswer) []Difference {
	var all []Difference
	add := func(kind string, believedFirst, believedSecond map[string]string) {
		for _, name := range namesOf(believedFirst, believedSecond) {
			left, right := orUnknown(believedFirst, name), orUnknown(believedSecond, name)
			if left != right {
				all = append(all, Difference{kind, name, left, right})
			}
		}
	}
	add("plan", map[string]string{"version": strconv.FormatInt(first.ConfigVersion, 10)}, map[string]string{"version": strconv.FormatInt(second.ConfigVersion, 10)})
	isListed := func(member wire.Member) bool {
		hasLeaf := first.Role == membership.RoleLocalProxy || second.Role == membership.RoleLocalProxy
		return !hasLeaf || member.Role == membership.RoleSteward
	}
	add("member", members(first, isListed), members(second, isListed))
	add("owner", owners(first), owners(second))
	if first.Role == second.Role {
		add("replica", replicas(first), replicas(second))
		add("job", jobs(first), jobs(second))
	}
	if len(first.Executors) > 0 && len(second.Executors) > 0 {
		add("executor", executors(first), executors(second))
	}
	return all
}

// namesOf lists the names that are in either map, sorted.
func namesOf(first, second map[string]string) []string {
	var names []string
	for name := range first {
		names = append(names, name)
	}
	for name := range second {
		if _, isThere := first[name]; !isThere {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func orUnknown(beliefs map[string]string, name string) string {
	if value, isThere := beliefs[name]; isThere {
		return value
	}
	return unknown
}

// members describes the listed members by their state, address and disk.
func members(answer *wire.BeliefsAnswer, isListed func(wire.Member) bool) map[string]string {
	states := map[int]string{wire.StateAlive: "alive", wire.StateSuspect: "suspect", wire.StateGone: "gone"}
	beliefs := map[string]string{}
	for _, member := range answer.Members {
		if !isListed(member) {
			continue
		}
		beliefs[membership.Name(member)] = strings.TrimSpace(states[member.State] + " at " + member.Address + " " + member.Disk)
	}
	return beliefs
}

func owners(answer *wire.BeliefsAnswer) map[string]string {
	beliefs := map[string]string{}
	for _, leader := range answer.Leaders {
		beliefs[leader.Key] = fmt.Sprintf("%s, epoch %d", leader.Name, leader.Epoch)
	}
	return beliefs
}

func replicas(answer *wire.BeliefsAnswer) map[string]string {
	beliefs := map[string]string{}
	for _, key := range answer.Keys {
		beliefs[key.Key] = fmt.Sprintf("promised %d, at %d.%d, voters %s", key.Epoch, key.Last.Epoch, key.Last.Index, strings.Join(key.Voters.Current, " "))
	}
	return beliefs
}

func jobs(answer *wire.BeliefsAnswer) map[string]string {
	beliefs := map[string]string{}
	for _, job := range answer.Jobs {
		beliefs[job.Key+"/"+job.ID] = job.State
	}
	return beliefs
}

func executors(answer *wire.BeliefsAnswer) map[string]string {
	beliefs := map[string]string{}
	for _, executor := range answer.Executors {
		beliefs[executor.Key+"/"+executor.Executor] = fmt.Sprintf("%s, %d runs", executor.State, executor.Running)
	}
	return beliefs
}

// Write shows differences to people, or as JSON; first and second are what the nodes are called there.
func Write(to io.Writer, first, second string, all []Difference, isJSON bool) error {
	if isJSON {
		if all == nil {
			all = []Difference{}
		}
		return json.NewEncoder(to).Encode(map[string]any{"first": first, "second": second, "differences": all})
	}
	if len(all) == 0 {
		_, err := fmt.Fprintf(to, "%s and %s believe the same\n", first, second)
		return err
	}
	slices.SortStableFunc(all, func(a, b Difference) int { return cmp.Compare(a.Kind, b.Kind) })
	for _, differences := range all {
		if _, err := fmt.Fprintf(to, "%s %s\n  %s: %s\n  %s: %s\n", differences.Kind, differences.Name, first, differences.First, second, differences.Second); err != nil {
			return err
		}
	}
	return nil
}
