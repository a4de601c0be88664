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
	checkedHistoryTime = 3 * time.Second
	keptHistoryTime    = 7 * time.Second
	releaseTime        = 1500 * time.Millisecond

	minCallers, maxCallers = 3, 6
	minPauseMs, maxPauseMs = 20, 400
	// Few names, so that callers meet at them.
	lockCount, numberCount, groupCount, cellCount = 2, 2, 2, 3
	watcherCount                                  = 2
	// moveTime is when the key has surely gone to its preferred leader, with which the time of locks begins anew.
	leaderMoveTime = 18 * time.Second
	// holdersTime is when all locks must be free after the callers have ended, also those whose holders died.
	lockFreeTime = leaderMoveTime + 3*maxHoldMs*time.Millisecond + releaseTime
)

// coordinationService is a part with locks, numbers and cells, and the applications that use it.
type coordinationService struct {
	cluster  *simCluster
	history  coordinationcheck.History
	callers  []*modelCaller
	watchers []*modelWatcher
	// callersEnd is when the applications stop calling.
	callersEnd time.Duration
	valueCount int
}

func newCoordinationService(w *simCluster) *coordinationService {
	return &coordinationService{cluster: w}
}

func (s *coordinationService) key() string { return coordination.KeyOf(0) }

func (s *coordinationService) engineOptions() []replication.Option {
	return []replication.Option{replication.WithPreferredLeader()}
}

func (s *coordinationService) newMachine(n *simNode) serviceMachine {
	part := coordination.New(s.key(), coordination.Surroundings{Clock: &n.clock, Log: logging.Silent(), HistoryTime: keptHistoryTime, ReleaseTime: releaseTime})
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
func (s *coordinationService) playStep(step modelcheck.Step) {
	s.callersEnd = s.cluster.now + clock.Milliseconds(int64(step.ForMs))
	for index := range step.Node {
		caller := &modelCaller{service: s, holder: fmt.Sprintf("a%d", index), via: index, pause: clock.Milliseconds(int64(max(1, step.Value))),
			knownRevisions: map[string]uint64{}}
		s.callers = append(s.callers, caller)
		caller.scheduleNextCall()
	}
	for index := range watcherCount {
		watcher := &modelWatcher{service: s, group: groupName(index % groupCount), via: index}
		s.watchers = append(s.watchers, watcher)
		watcher.watch()
	}
}

// operate makes a call through a machine; done gets nil for a call without an answer.
func (s *coordinationService) callThrough(via int, command *coordinationapi.Command, done func(*response.Reply)) {
	command.Call.Key = s.key()
	command.Call.RemainingMs = command.Wait.Milliseconds()
	reply := func(outcome leaderclient.Outcome) response.Reply { return coordinationapi.Reply(command, outcome) }
	s.cluster.callThrough(via, request{call: &command.Call, wait: command.Wait, reply: reply, arrivesOnce: true}, func(answer *response.Reply) {
		if answer != nil {
			s.cluster.tracef("%s %s %s at %d: %d %s", command.Call.Verb, command.Call.ID, command.Call.Body, command.Call.Base, answer.Status, answer.Body)
			s.cluster.countCoverage(fmt.Sprintf("%s %d", command.Call.Verb, answer.Status))
		}
		done(answer)
	})
}

func lockName(index int) string   { return fmt.Sprintf("l%d", index) }
func numberName(index int) string { return fmt.Sprintf("n%d", index) }
func groupName(index int) string  { return fmt.Sprintf("g%d.", index) }

// finish reads all cells, takes all numbers and locks, and has a watcher go on in each group.
func (s *coordinationService) makeFinalCalls() time.Duration {
	caller := &modelCaller{service: s, holder: "last", knownRevisions: map[string]uint64{}}
	// A leader has one call under way to each follower; one whose answer was lost ends by its limit.
	s.cluster.after(stalledConnectionTimeout, func() {
		for group := range groupCount {
			for cell := range cellCount {
				caller.get(fmt.Sprint(groupName(group), cell), func(status int) { s.expectStatus(status, "a read", 200, 404) })
			}
			watcher := &modelWatcher{service: s, group: groupName(group)}
			watcher.watchOnce(0, func(status int) { s.expectStatus(status, "a watch", 200) })
		}
		for index := range numberCount {
			caller.takeNumber(numberName(index), func(status int) { s.expectStatus(status, "a number", 200) })
		}
	})
	s.cluster.after(lockFreeTime, func() {
		for _, watcher := range s.watchers {
			watcher.watchOnce(0, func(status int) { s.expectStatus(status, "a watch that goes on", 200, 410) })
		}
		for index := range lockCount {
			caller.acquire(lockName(index), releaseTime, func(status int) { s.expectStatus(status, "a lock", 200) })
		}
	})
	return lockFreeTime + operatorTimeout + time.Second
}

// mustBe is an oracle: once all is settled, and the time of all holders is over, calls are answered.
func (s *coordinationService) expectStatus(status int, call string, allowed ...int) {
	for _, good := range allowed {
		if status == good {
			return
		}
	}
	s.cluster.reportViolation("settled", "%s is answered %d once all is settled", call, status)
}

// judge has the oracles look at all that the applications saw.
func (s *coordinationService) checkHistory() {
	for _, caller := range s.callers {
		caller.endHold()
	}
	violations, undecided := coordinationcheck.Judge(&s.history, checkedHistoryTime)
	for _, violation := range violations {
		s.cluster.violations = append(s.cluster.violations, modelcheck.Violation{Oracle: violation.Oracle, AtMs: int(violation.At.Milliseconds()), Detail: violation.Text})
	}
	s.cluster.coverage["history left undecided"] += undecided
	if undecided == 0 {
		s.cluster.countCoverage("history linearizable")
	}
}
