package rehearsal

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"gannetline/internal/simulation/simcluster"
)

// Fault is a fault injected into a replayed day, at a steward or an executor's machine. At is the time after the first event of the
// recording, and Length how long the fault lasts; the kinds wipe and drain don't use it. The text form is KIND:TARGET:AT-MS[:FOR-MS].
type Fault struct {
	Kind, Target string
	At, Length   time.Duration
}

// The kinds of faults.
const (
	faultKill   = "kill"
	faultCut    = "cut"
	faultFreeze = "freeze"
	faultWipe   = "wipe"
	faultDrain  = "drain"
	faultSlow   = "slow"
)

var faultKinds = []string{faultKill, faultCut, faultFreeze, faultWipe, faultDrain, faultSlow}

const (
	defaultFaultLength = 5 * time.Second
	// slowFactor is the factor by which runs on a slow executor take longer.
	slowFactor = 5
)

// ParseFault parses KIND:TARGET:AT-MS[:FOR-MS]. Without FOR-MS the fault lasts 5 s. An error names the text and what is wrong
// with it.
func ParseFault(text string) (Fault, error) {
	parts := strings.Split(text, ":")
	if len(parts) < 3 || len(parts) > 4 || !slices.Contains(faultKinds, parts[0]) {
		return Fault{}, errors.Errorf("fault %q: not KIND:TARGET:AT-MS[:FOR-MS] with a kind of %s", text, strings.Join(faultKinds, ", "))
	}
	fault := Fault{Kind: parts[0], Target: parts[1], Length: defaultFaultLength}
	for index, field := range []*time.Duration{&fault.At, &fault.Length} {
		if len(parts) <= 2+index {
			break
		}
		count, err := strconv.ParseInt(parts[2+index], 10, 64)
		if err != nil || count < 0 {
			return Fault{}, errors.Errorf("fault %q: %q is no count of milliseconds", text, parts[2+index])
		}
		*field = time.Duration(count) * time.Millisecond
	}
	return fault, nil
}

// inject schedules the fault, with At counted from now. It returns false if the cluster has no such target, or the kind does not apply to
// the target.
func (f Fault) inject(s *simcluster.Cluster) bool {
	for _, node := range s.Nodes {
		if node.Name == f.Target {
			return f.injectIntoNode(s, node)
		}
	}
	for _, executor := range s.Executors {
		if executor.Machine == f.Target {
			return f.injectIntoExecutor(s, executor)
		}
	}
	return false
}

func (f Fault) injectIntoNode(s *simcluster.Cluster, node *simcluster.Node) bool {
	switch f.Kind {
	case faultKill:
		s.Events.After(f.At, func() { s.Kill(node) })
		s.Events.After(f.At+f.Length, func() { s.Start(node) })
	case faultFreeze:
		s.Events.After(f.At, func() { s.Freeze(node, true) })
		s.Events.After(f.At+f.Length, func() { s.Freeze(node, false) })
	case faultWipe:
		s.Events.After(f.At, func() { s.Wipe(node) })
	case faultCut:
		f.injectCut(s)
	default:
		return false
	}
	return true
}

func (f Fault) injectIntoExecutor(s *simcluster.Cluster, executor *simcluster.Executor) bool {
	switch f.Kind {
	case faultKill:
		s.Events.After(f.At, func() { s.Crash(executor, f.Length) })
	case faultDrain:
		s.Events.After(f.At, func() { s.Drain(executor) })
	case faultSlow:
		s.Events.After(f.At, func() { s.Slow(executor, slowFactor) })
		s.Events.After(f.At+f.Length, func() { s.Slow(executor, 1) })
	case faultCut:
		f.injectCut(s)
	default:
		return false
	}
	return true
}

func (f Fault) injectCut(s *simcluster.Cluster) {
	s.Events.After(f.At, func() { s.Cut(f.Target, true) })
	s.Events.After(f.At+f.Length, func() { s.Cut(f.Target, false) })
}
