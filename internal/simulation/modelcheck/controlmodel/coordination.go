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
	// checkedHistoryTime is how long a watcher must be able to continue from a revision that it was given. keptHistoryTime is how long the
	// partitions keep puts. It is longer than resendTime, the time of the last attempt and lateCopyTime together, so that no put is
	// repeated after it is forgotten.
	checkedHistoryTime = 3 * time.Second
	keptHistoryTime    = 7 * time.Second
	// releaseTime is the maximum time for which the partitions may still refuse an expired lock to other holders.
	releaseTime = 1500 * time.Millisecond

	minCallers, maxCallers = 3, 6
	// minPauseMs and maxPauseMs bound the mean pause of a schedule's applications between two calls.
	minPauseMs, maxPauseMs = 20, 400
	// There are few names, so that callers compete for them.
	lockCount, numberCount, groupCount, cellCount = 2, 2, 2, 3
	watcherCount                                  = 2
	// leaderMoveTime is the time within which the key has moved to its preferred leader. The time of each lock begins again at the move.
	leaderMoveTime = 18 * time.Second
	// lockFreeTime is the time from when the system has settled until all locks must be free, also those whose holders forgot them.
	lockFreeTime = leaderMoveTime + 3*maxHoldMs*time.Millisecond + releaseTime
)

// coordinationService is the service of the model "coordination": a partition of locks, numbers and cells, and the applications that use it.
type coordinationService struct {
	cluster  *simCluster
	history  coordinationcheck.History
	callers  []*modelCaller
	watchers []*modelWatcher
	// callersEnd is when the applications stop making calls.
	callersEnd time.Duration
	// valueCount is the number of puts so far. It makes the value of each put unique.
	valueCount int
}

func newCoordinationService(sim *simCluster) *coordinationService {
	return &coordinationService{cluster: sim}
}

func (s *coordinationService) key() string { return coordination.KeyOf(0) }

func (s *coordinationService) engineOptions() []replication.Option {
	return []replication.Option{replication.WithPreferredLeader()}
}

func (s *coordinationService) newMachine(n *simNode) serviceMachine {
	part := coordination.New(s.key(), coordination.Dependencies{Clock: &n.clock, Log: logging.Silent(), HistoryTime: keptHistoryTime, ReleaseTime: releaseTime})
	return n.cluster.fault.wrapPart(&coordinationMachine{part})
}

// coordinationMachine adapts a partition to the interface of the model.
type coordinationMachine struct{ *coordination.Part }

// Open opens the partition. It converts the leadership to the partition's interface.
func (m *coordinationMachine) Open(leadership keyLeadership, pairs []wire.Op) error {
	return m.Part.Open(leadership, pairs)
}

func (m *coordinationMachine) execute(call *wire.ClientCall, answer func(wire.ClientAnswer)) {
	m.CommandFor(call.Verb)(call, answer)
}

// playStep starts the watchers and Node applications, which pause for Value milliseconds on average between calls.
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

// callThrough makes a call through a machine. done gets nil if there is no answer in time.
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

// makeFinalCalls reads all cells, makes a new watch of each group and takes a number of each sequence. After lockFreeTime, the watchers make
// one more call each, and all locks are acquired.
func (s *coordinationService) makeFinalCalls() time.Duration {
	caller := &modelCaller{service: s, holder: "last", knownRevisions: map[string]uint64{}}
	// A leader has one call in flight to each follower, which may still be one whose answer was lost. The calls begin after its timeout.
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

// expectStatus is an oracle: once the system has settled, a call is answered with one of the allowed statuses. call describes it in the
// violation.
func (s *coordinationService) expectStatus(status int, call string, allowed ...int) {
	for _, expected := range allowed {
		if status == expected {
			return
		}
	}
	s.cluster.reportViolation("settled", "%s is answered %d once all is settled", call, status)
}

// checkHistory ends the holds of all applications and has the oracles check all answers that the applications received.
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
