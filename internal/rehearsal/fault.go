package rehearsal

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"gannetline/internal/stage"
)

// Fault is laid over the day: KIND:TARGET:AT-MS[:FOR-MS].
type Fault struct {
	Kind, Target string
	At, Length   time.Duration
}

var faultKinds = []string{"kill", "cut", "freeze", "wipe", "drain", "slow"}

// ParseFault reads KIND:TARGET:AT-MS[:FOR-MS]; without FOR-MS the fault lasts 5 s. The error names the text and what
// is wrong with it.
func ParseFault(text string) (Fault, error) {
	parts := strings.Split(text, ":")
	if len(parts) < 3 || len(parts) > 4 || !slices.Contains(faultKinds, parts[0]) {
		return Fault{}, errors.Errorf("fault %q: not KIND:TARGET:AT-MS[:FOR-MS] with a kind of %s", text, strings.Join(faultKinds, ", "))
	}
	fault := Fault{Kind: parts[0], Target: parts[1], Length: 5 * time.Second}
	for place, field := range []*time.Duration{&fault.At, &fault.Length} {
		if len(parts) <= 2+place {
			break
		}
		count, err := strconv.ParseInt(parts[2+place], 10, 64)
		if err != nil || count < 0 {
			return Fault{}, errors.Errorf("fault %q: %q is no count of milliseconds", text, parts[2+place])
		}
		*field = time.Duration(count) * time.Millisecond
	}
	return fault, nil
}

// strike sets the fault going; it tells whether the stage has such a target.
func (f Fault) strike(s *stage.Stage) bool {
	at := func(wait time.Duration, run func()) { s.Line.After(wait, run) }
	for _, node := range s.Nodes {
		if node.Name != f.Target {
			continue
		}
		switch f.Kind {
		case "kill":
			at(f.At, func() { s.Kill(node) })
			at(f.At+f.Length, func() { s.Start(node) })
		case "freeze":
			at(f.At, func() { s.Freeze(node, true) })
			at(f.At+f.Length, func() { s.Freeze(node, false) })
		case "wipe":
			at(f.At, func() { s.Wipe(node) })
		case "cut":
			f.cut(s, at)
		default:
			return false
		}
		return true
	}
	for _, executor := range s.Executors {
		if executor.Machine != f.Target {
			continue
		}
		switch f.Kind {
		case "kill":
			at(f.At, func() { s.Crash(executor, f.Length) })
		case "drain":
			at(f.At, func() { s.Drain(executor) })
		case "slow":
			at(f.At, func() { s.Slow(executor, 5) })
			at(f.At+f.Length, func() { s.Slow(executor, 1) })
		case "cut":
			f.cut(s, at)
		default:
			return false
		}
		return true
	}
	return false
}

func (f Fault) cut(s *stage.Stage, at func(time.Duration, func())) {
	at(f.At, func() { s.Cut(f.Target, true) })
	at(f.At+f.Length, func() { s.Cut(f.Target, false) })
}
