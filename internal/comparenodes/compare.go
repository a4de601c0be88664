package comparenodes

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"gannetline/internal/membership"
	"gannetline/internal/peerapi"
)

// Difference is one thing that two nodes believe differently.
type Difference struct {
	Kind   string `json:"kind"`
	Name   string `json:"name"`
	First  string `json:"first"`
	Second string `json:"second"`
}

const unknown = "(unknown)"

// Compare gives the differences only, in a fixed order.
func Compare(first, second *peerapi.BeliefsAnswer) []Difference {
	var all []Difference
	add := func(kind string, one, two map[string]string) {
		for _, name := range namesOf(one, two) {
			left, right := orUnknown(one, name), orUnknown(two, name)
			if left != right {
				all = append(all, Difference{kind, name, left, right})
			}
		}
	}
	add("plan", map[string]string{"version": strconv.FormatInt(first.Plan, 10)}, map[string]string{"version": strconv.FormatInt(second.Plan, 10)})
	isListed := func(member peerapi.Member) bool {
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

func namesOf(one, two map[string]string) []string {
	var names []string
	for name := range one {
		names = append(names, name)
	}
	for name := range two {
		if _, isThere := one[name]; !isThere {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func orUnknown(held map[string]string, name string) string {
	if value, isThere := held[name]; isThere {
		return value
	}
	return unknown
}

func members(answer *peerapi.BeliefsAnswer, isListed func(peerapi.Member) bool) map[string]string {
	states := map[int]string{peerapi.StateAlive: "alive", peerapi.StateSuspect: "suspect", peerapi.StateGone: "gone"}
	held := map[string]string{}
	for _, member := range answer.Members {
		if !isListed(member) {
			continue
		}
		held[membership.Name(member)] = strings.TrimSpace(states[member.State] + " at " + member.Address + " " + member.Disk)
	}
	return held
}

func owners(answer *peerapi.BeliefsAnswer) map[string]string {
	held := map[string]string{}
	for _, fact := range answer.Owners {
		held[fact.Key] = fmt.Sprintf("%s, epoch %d", fact.Name, fact.Epoch)
	}
	return held
}

func replicas(answer *peerapi.BeliefsAnswer) map[string]string {
	held := map[string]string{}
	for _, key := range answer.Keys {
		held[key.Key] = fmt.Sprintf("promised %d, at %d.%d, voters %s", key.Epoch, key.Last.Epoch, key.Last.Index, strings.Join(key.Set.Now, " "))
	}
	return held
}

func jobs(answer *peerapi.BeliefsAnswer) map[string]string {
	held := map[string]string{}
	for _, job := range answer.Jobs {
		held[job.Key+"/"+job.ID] = job.State
	}
	return held
}

func executors(answer *peerapi.BeliefsAnswer) map[string]string {
	held := map[string]string{}
	for _, executor := range answer.Executors {
		held[executor.Key+"/"+executor.Life] = fmt.Sprintf("%s, %d runs", executor.State, executor.Running)
	}
	return held
}

// Write shows differences to people, or as JSON.
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
	slices.SortStableFunc(all, func(one, two Difference) int { return cmp.Compare(one.Kind, two.Kind) })
	for _, one := range all {
		if _, err := fmt.Fprintf(to, "%s %s\n  %s: %s\n  %s: %s\n", one.Kind, one.Name, first, one.First, second, one.Second); err != nil {
			return err
		}
	}
	return nil
}
