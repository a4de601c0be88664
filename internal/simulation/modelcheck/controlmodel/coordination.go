package controlmodel

import (
	"fmt"
	"time"

	"gannetline/internal/cluster/leaderclient"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/coordination"
	"gannetline/internal/control/coordinationapi"
	"gannetline/internal/control/replication"
	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/logging"
	"gannetline/internal/platform/response"
	"gannetline/internal/simulation/coordinationcheck"
	"gannetline/internal/simulation/modelcheck"
)

const (
	// modelHistory is how long a revision that a watcher was given must stay good; keptHistory is what the parts are told. It is longer
	// than resendTime, the time of the last attempt and lateCopyTime together, so that no put comes again after it is forgotten.
	modelHistory = 3 * time.Second
	keptHistory  = 7 * time.Second
	modelRelease = 1500 * time.Millisecond

	minCallers, maxCallers = 3, 6
	minPauseMs, maxPauseMs = 20, 400
	// Few names, so that callers meet at them.
	lockCount, numberCount, groupCount, cellCount = 2, 2, 2, 3
	watcherCount                                  = 2
	// moveTime is when the key has surely gone to its preferred leader, with which the time of locks begins anew.
	moveTime = 18 * time.Second
	// holdersTime is when all locks must be free after the callers have ended, also those whose holders died.
	holdersTime = moveTime + 3*maxHoldMs*time.Millisecond + modelRelease
)

// coordinationService is a part with locks, numbers and cells, and the applications that use it.
type coordinationService struct {
	cluster  *simCluster
	history  coordinationcheck.History
	callers  []*modelCaller
	watchers []*modelWatcher
	// callersEnd is when the applications stop calling.
	callersEnd time.Duration
	drawnValue int
}

func newCoordinationService(w *simCluster) *coordinationService {
	return &coordinationService{cluster: w}
}

func (s *coordinationService) key() string { return coordination.KeyOf(0) }

func (s *coordinationService) engineOptions() []replication.Option {
	return []replication.Option{replication.WithPreferredLeader()}
}

func (s *coordinationService) machineOf(n *simNode) keyMachine {
	part := coordination.New(s.key(), coordination.Dependencies{Clock: &n.clock, Log: logging.Silent(), HistoryTime: keptHistory, ReleaseTime: modelRelease})
	return n.cluster.fault.wrapPart(&coordinationMachine{part})
}

// coordinationMachine is a part as the model runs it.
type coordinationMachine struct{ *coordination.Part }

// Open passes a leadership on as the part uses it.
func (m *coordinationMachine) Open(leadership keyLeadership, pairs []wire.Op) error {
	return m.Part.Open(leadership, pairs)
}

func (m *coordinationMachine) execute(call *wire.ClientCall, answer func(wire.ClientAnswer)) {
	m.CommandFor(call.Verb)(call, answer)
}

// act begins the calls of the applications: Node of them, with pauses around Value milliseconds.
func (s *coordinationService) act(step modelcheck.Step) {
	s.callersEnd = s.cluster.now + clock.Milliseconds(int64(step.ForMs))
	for index := range step.Node {
		caller := &modelCaller{service: s, holder: fmt.Sprintf("a%d", index), via: index, pause: clock.Milliseconds(int64(max(1, step.Value))),
			known: map[string]uint64{}}
		s.callers = append(s.callers, caller)
		caller.rest()
	}
	for index := range watcherCount {
		watcher := &modelWatcher{service: s, group: groupName(index % groupCount), via: index}
		s.watchers = append(s.watchers, watcher)
		watcher.watch()
	}
}

// operate makes a call through a machine; done gets nil for a call without an answer.
func (s *coordinationService) operate(via int, command *coordinationapi.Command, done func(*response.Reply)) {
	command.Call.Key = s.key()
	command.Call.RemainingMs = command.Wait.Milliseconds()
	reply := func(outcome leaderclient.Outcome) response.Reply { return coordinationapi.Reply(command, outcome) }
	s.cluster.operate(via, request{call: &command.Call, wait: command.Wait, reply: reply, arrivesOnce: true}, func(answer *response.Reply) {
		if answer != nil {
			s.cluster.tell("%s %s %s at %d: %d %s", command.Call.Verb, command.Call.ID, command.Call.Body, command.Call.Base, answer.Status, answer.Body)
			s.cluster.cover(fmt.Sprintf("%s %d", command.Call.Verb, answer.Status))
		}
		done(answer)
	})
}

func lockName(index int) string   { return fmt.Sprintf("l%d", index) }
func numberName(index int) string { return fmt.Sprintf("n%d", index) }
func groupName(index int) string  { return fmt.Sprintf("g%d.", index) }

// finish reads all cells, takes all numbers and locks, and has a watcher go on in each group.
func (s *coordinationService) finish() time.Duration {
	caller := &modelCaller{service: s, holder: "last", known: map[string]uint64{}}
	// A leader has one call under way to each follower; one whose answer was lost ends by its limit.
	s.cluster.after(stalledConnectionTimeout, func() {
		for group := range groupCount {
			for cell := range cellCount {
				caller.get(fmt.Sprint(groupName(group), cell), func(status int) { s.mustBe(status, "a read", 200, 404) })
			}
			watcher := &modelWatcher{service: s, group: groupName(group)}
			watcher.ask(0, func(status int) { s.mustBe(status, "a watch", 200) })
		}
		for index := range numberCount {
			caller.takeNumber(numberName(index), func(status int) { s.mustBe(status, "a number", 200) })
		}
	})
	s.cluster.after(holdersTime, func() {
		for _, watcher := range s.watchers {
			watcher.ask(0, func(status int) { s.mustBe(status, "a watch that goes on", 200, 410) })
		}
		for index := range lockCount {
			caller.acquire(lockName(index), modelRelease, func(status int) { s.mustBe(status, "a lock", 200) })
		}
	})
	return holdersTime + operatorLimit + time.Second
}

// mustBe is an oracle: once all is settled, and the time of all holders is over, calls are answered.
func (s *coordinationService) mustBe(status int, call string, allowed ...int) {
	for _, good := range allowed {
		if status == good {
			return
		}
	}
	s.cluster.violated("settled", "%s is answered %d once all is settled", call, status)
}

// judge has the oracles look at all that the applications saw.
func (s *coordinationService) judge() {
	for _, caller := range s.callers {
		caller.letGo()
	}
	violations, undecided := coordinationcheck.Judge(&s.history, modelHistory)
	for _, violation := range violations {
		s.cluster.problems = append(s.cluster.problems, modelcheck.Violation{Oracle: violation.Oracle, AtMs: int(violation.At.Milliseconds()), Detail: violation.Text})
	}
	s.cluster.coverage["history left undecided"] += undecided
	if undecided == 0 {
		s.cluster.cover("history linearizable")
	}
}
