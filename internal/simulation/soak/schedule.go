package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"github.com/juju/errors"
	"go.uber.org/multierr"

	"gannetline/internal/platform/clock"
)

// Event is one fault of a schedule: its time in milliseconds since the start of the clients, its kind, its target and its
// duration.
type Event struct {
	AtMs   int64     `json:"at-ms"`
	Kind   FaultKind `json:"kind"`
	Target string    `json:"target,omitempty"`
	ForMs  int64     `json:"for-ms,omitempty"`
}

func (e Event) at() time.Duration       { return clock.Milliseconds(e.AtMs) }
func (e Event) duration() time.Duration { return clock.Milliseconds(e.ForMs) }

// String returns the event as it appears in the log.
func (e Event) String() string {
	text := fmt.Sprintf("%.1f s %s %s", e.at().Seconds(), e.Kind, e.Target)
	if e.ForMs > 0 {
		text += fmt.Sprintf(" for %d ms", e.ForMs)
	}
	return text
}

// Schedule is all faults of a soak in the order of their times.
type Schedule struct {
	Seed      uint64  `json:"seed"`
	LengthMs  int64   `json:"length-ms"`
	Processes int     `json:"processes"`
	Events    []Event `json:"events"`
}

func (s *Schedule) length() time.Duration { return clock.Milliseconds(s.LengthMs) }

const (
	// scheduleRandomStream is the random stream of schedules.
	scheduleRandomStream = 1
	// meanGap is the mean time between two faults with MinProcesses. With more processes it is shorter, down to a quarter.
	meanGap = 1600 * time.Millisecond
	// firstFault is the earliest time of a fault.
	firstFault = time.Second
	// recoveryMargin is the time after a fault in which a steward still counts as lost, as it restarts and catches up.
	recoveryMargin = 7 * time.Second
)

// Draw returns the schedule of a seed. It depends on the options and the layout only.
func Draw(options Options, layout *Layout) *Schedule {
	schedule := &Schedule{Seed: options.Seed, LengthMs: options.Length.Milliseconds(), Processes: options.Processes}
	if len(options.Kinds) == 0 {
		return schedule
	}
	drawer := &drawer{layout: layout, random: rand.New(rand.NewPCG(options.Seed, scheduleRandomStream))}
	gap := float64(meanGap) * float64(MinProcesses) / float64(options.Processes)
	gap = max(gap, float64(meanGap)/4)
	for at := firstFault; at < options.Length-faultFreeEnd; at += time.Duration(drawer.random.ExpFloat64() * gap) {
		kind := options.Kinds[drawer.random.IntN(len(options.Kinds))]
		if event, isPossible := drawer.event(kind, at); isPossible {
			schedule.Events = append(schedule.Events, event)
		}
	}
	return schedule
}

// drawer draws events so that no more stewards are lost at the same time than the layout tolerates.
type drawer struct {
	layout *Layout
	random *rand.Rand
	// lostStewards holds the losses that still count. replacedStewards holds the names of stewards that don't run any more.
	lostStewards     []stewardLoss
	replacedStewards map[string]bool
	replacementCount int
}

type stewardLoss struct {
	name  string
	until time.Duration
}

// event draws a target and a duration. The second result is false if one more steward would be lost than the layout tolerates.
func (d *drawer) event(kind FaultKind, at time.Duration) (Event, bool) {
	event := Event{AtMs: at.Milliseconds(), Kind: kind}
	shortest, longest := kind.durationRange()
	if longest > 0 {
		event.ForMs = (shortest + time.Duration(d.random.Int64N(int64(longest-shortest)))).Milliseconds()
	}
	if kind == FaultWave {
		return event, true
	}
	roles := slices.DeleteFunc(kind.roles(), func(role Role) bool { return len(d.layout.nodes(role)) == 0 })
	role := roles[d.random.IntN(len(roles))]
	nodes := d.layout.nodes(role)
	if role == RoleSteward {
		nodes = d.stewards()
	}
	event.Target = nodes[d.random.IntN(len(nodes))].Name
	if role == RoleSteward && kind.makesUnavailable() && !d.recordLoss(event, at) {
		return event, false
	}
	return event, true
}

// stewards returns the stewards that were not replaced, and the replacements.
func (d *drawer) stewards() []Node {
	all := slices.Clone(d.layout.Stewards)
	for number := range d.replacementCount {
		all = append(all, d.layout.steward(len(d.layout.Stewards)+number))
	}
	return slices.DeleteFunc(all, func(node Node) bool { return d.replacedStewards[node.Name] })
}

// recordLoss counts a steward as lost. If too many stewards would then be lost, it counts nothing and returns false. A steward
// that is already lost may be lost again, as it counts only once.
func (d *drawer) recordLoss(event Event, at time.Duration) bool {
	d.lostStewards = slices.DeleteFunc(d.lostStewards, func(loss stewardLoss) bool { return loss.until <= at })
	lost := map[string]bool{event.Target: true}
	for _, loss := range d.lostStewards {
		lost[loss.name] = true
	}
	if len(lost) > d.layout.Losses {
		return false
	}
	d.lostStewards = append(d.lostStewards, stewardLoss{event.Target, at + event.duration() + recoveryMargin})
	if event.Kind == FaultReplace {
		if d.replacedStewards == nil {
			d.replacedStewards = map[string]bool{}
		}
		d.replacedStewards[event.Target] = true
		d.replacementCount++
		d.lostStewards = append(d.lostStewards, stewardLoss{d.layout.steward(len(d.layout.Stewards) + d.replacementCount - 1).Name, at + recoveryMargin})
	}
	return true
}

// LoadSchedule reads a schedule in the format that a soak prints.
func LoadSchedule(path string) (*Schedule, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Annotate(err, "--schedule")
	}
	schedule := &Schedule{}
	if err := json.Unmarshal(text, schedule); err != nil {
		return nil, errors.Annotate(err, "--schedule: the file is no schedule")
	}
	return schedule, nil
}

// check returns all problems of a schedule that was read from a file, for a layout.
func (s *Schedule) check(layout *Layout) error {
	var problems error
	for number, event := range s.Events {
		if !event.Kind.isKnown() {
			problems = multierr.Append(problems, errors.Errorf("--schedule: event %d: there is no fault %q", number, event.Kind))
		}
		if event.AtMs < 0 || event.at() > s.length() || event.ForMs < 0 || event.duration() > s.length() {
			problems = multierr.Append(problems, errors.Errorf("--schedule: event %d is not within the length of the soak", number))
		}
		if event.Kind.isKnown() && event.Kind != FaultWave && !layout.canSuffer(event) {
			problems = multierr.Append(problems, errors.Errorf("--schedule: event %d: %q is no process that can have the fault %q", number, event.Target, event.Kind))
		}
	}
	return problems
}

// canSuffer reports whether the target of an event is a process of the layout, or a replacement steward, whose role the fault can affect.
func (l *Layout) canSuffer(event Event) bool {
	for _, role := range event.Kind.roles() {
		if slices.ContainsFunc(l.nodes(role), func(node Node) bool { return node.Name == event.Target }) {
			return true
		}
		if role == RoleSteward && l.stewardNames()[event.Target] {
			return true
		}
	}
	return false
}

// without returns a copy that lacks the events at the indexes [from, to).
func (s *Schedule) without(from, to int) *Schedule {
	shorter := *s
	shorter.Events = slices.Concat(s.Events[:from], s.Events[to:])
	return &shorter
}

// Shrink removes events from a schedule as long as it still fails: first halves, then ever smaller ranges. It tries at most
// maxTrials shorter schedules.
func Shrink(schedule *Schedule, maxTrials int, stillFails func(*Schedule) bool) *Schedule {
	for size := (len(schedule.Events) + 1) / 2; size > 0 && maxTrials > 0; {
		isShorter := false
		for from := 0; from < len(schedule.Events) && maxTrials > 0; {
			shorter := schedule.without(from, min(from+size, len(schedule.Events)))
			maxTrials--
			if stillFails(shorter) {
				schedule, isShorter = shorter, true
				continue
			}
			from += size
		}
		if size == 1 && !isShorter {
			break
		}
		size = max(1, min(size/2, len(schedule.Events)))
		if len(schedule.Events) == 0 {
			break
		}
	}
	return schedule
}
