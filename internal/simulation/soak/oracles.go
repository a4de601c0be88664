package soak

import (
	"cmp"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"syscall"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/scheduling/jobs"
	"gannetline/internal/simulation/hollow"
)

// Oracle is the name of a check of the observations.
type Oracle string

// The oracles.
const (
	// OracleLost: an accepted job is unknown during the soak or at its end, has not ended at the end of the soak, failed, or is cancelled without a request.
	OracleLost Oracle = "lost"
	// OracleTwice: two runs of a task overlap, or a run starts after an earlier one has done the task.
	OracleTwice Oracle = "twice"
	// OracleWrong: a client got the answer to another request.
	OracleWrong Oracle = "wrong-answer"
	// OracleShown: a job is shown as completed before all its tasks are done.
	OracleShown Oracle = "shown"
	// OracleTakenBack: a job was shown as ended, and a client that asked later is shown another state.
	OracleTakenBack Oracle = "taken-back"
	// OracleCut: a request was sent whole and got no answer, and no fault explains this.
	OracleCut Oracle = "cut"
	// OracleCancelled: a task of a cancelled job starts long after the cancellation was acknowledged.
	OracleCancelled Oracle = "cancelled"
	// OracleFence: orders still come under a fence that was refused well before.
	OracleFence Oracle = "fence"
	// OracleConfiguration: an acknowledged configuration is not applied in time, or an older version is read back.
	OracleConfiguration Oracle = "configuration"
	// OracleExit: a process ends without being asked to, ends with a failure, or doesn't end in time after SIGTERM.
	OracleExit Oracle = "exit"
	// OracleCoordination: a lock has two holders, a number or a revision is given twice, a read is stale, a watch has a gap, or
	// another oracle of package coordinationcheck finds a violation.
	OracleCoordination Oracle = "coordination"
	// OracleRollout: a bad version of the service gets all jobs, or is not rolled back in time.
	OracleRollout Oracle = "rollout"
	// OracleEvacuation: a task starts in a zone after the zone's evacuation had to take effect.
	OracleEvacuation Oracle = "evacuation"
	// OracleQuota: a tenant runs more tasks than it may.
	OracleQuota Oracle = "quota"
	// OracleKey: a call with an unknown key is answered like one with a known key.
	OracleKey Oracle = "key"
	// OracleStream: an answer is not the stream of its request, a proper request is refused, or a gate without a fault breaks a
	// stream off.
	OracleStream Oracle = "stream"
	// OracleBudget: more than maxRepeatedStreams requests that must not run again ran at several executors in one try.
	OracleBudget Oracle = "budget"
	// OracleLot: a lot is refused, or an accepted lot is unknown, lacks results at the end, or has changing results.
	OracleLot Oracle = "lot"
	// OracleServed: an enabled feature served nothing.
	OracleServed Oracle = "served"
	// OracleGrowth: the memory, goroutines, descriptors or disk space of a process grow with time.
	OracleGrowth Oracle = "growth"
)

// Violation is one finding of an oracle. At is the time since the start.
type Violation struct {
	Oracle Oracle        `json:"oracle"`
	At     time.Duration `json:"at"`
	Text   string        `json:"text"`
}

// oracles are the functions of all oracles.
var oracles = []func(*History) []Violation{lostJobs, unknownJobs, repeatedRuns, wrongAnswers, falseCompletions, retractedStates, cutRequests, lateStarts, repeatedFences,
	staleConfigurations, badExits, coordinationViolations, badRollouts, startsInEvacuatedZones, exceededLimits, unknownKeys, badStreams, repeatedStreams, badLots, unservedFeatures, growingResources}

// Judge runs all oracles on a history and returns their violations in the order of time.
func Judge(history *History) []Violation {
	var violations []Violation
	for _, oracle := range oracles {
		violations = append(violations, oracle(history)...)
	}
	slices.SortStableFunc(violations, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	return violations
}

// The bounds of the oracles, in addition to those of the settings.
const (
	// contactWindow is the time for which a process must have been without a fault before time bounds apply to it.
	contactWindow = 5 * time.Second
	// lossSlack is the minimum time between a request and the end of its connection for OracleCut to report it. With less time,
	// the gate may have closed the connection before it could read the request.
	lossSlack = 250 * time.Millisecond
	// cancelTimeout is the time after the acknowledgement of a cancellation in which a task may still start.
	cancelTimeout = 5 * time.Second
	// configurationMargin is added to the time in which a configuration must be applied, as all processes share one machine.
	configurationMargin = 2 * time.Second
	// signalReadyTimeout is the time after its start in which a process installs its signal handlers. Until then SIGTERM kills
	// the process at once, which is tolerated, as it has served no request yet.
	signalReadyTimeout = 3 * time.Second
	// exitTimeout is the time in which a process must end after SIGTERM.
	exitTimeout = graceSeconds*time.Second + 2*time.Second
)

// jobTimes is when a job was first accepted and from which client, and whether and when its cancellation was sent and acknowledged.
type jobTimes struct {
	client                    int
	acceptedAt, cancelledAt   time.Duration
	isCancelSent, isCancelled bool
}

// acceptedJobs returns the accepted jobs by ID.
func acceptedJobs(h *History) map[string]*jobTimes {
	accepted := map[string]*jobTimes{}
	for index := range h.Calls {
		call := &h.Calls[index]
		if call.isAccepted() && accepted[call.Job] == nil {
			accepted[call.Job] = &jobTimes{client: call.Client, acceptedAt: call.EndedAt}
		}
	}
	for index := range h.Calls {
		call := &h.Calls[index]
		job := accepted[call.Job]
		if call.Verb != verbCancel || job == nil {
			continue
		}
		job.isCancelSent = true
		if call.Outcome == answered && call.Status/100 == 2 && (!job.isCancelled || call.EndedAt < job.cancelledAt) {
			job.isCancelled, job.cancelledAt = true, call.EndedAt
		}
	}
	return accepted
}

// lostJobs is OracleLost: it checks the last state of each accepted job.
func lostJobs(h *History) []Violation {
	var violations []Violation
	accepted := acceptedJobs(h)
	for _, id := range slices.Sorted(maps.Keys(accepted)) {
		state, isOver := h.FinalStates[id], false
		switch state {
		case "completed":
			isOver = true
		case "cancelled":
			isOver = accepted[id].isCancelSent
		}
		if !isOver {
			violations = append(violations, Violation{OracleLost, accepted[id].acceptedAt, fmt.Sprintf("job %s was accepted, and is %q at last", id, state)})
		}
	}
	return violations
}

// repeatedRuns is OracleTwice: it compares each run of a task with all runs of the task that started before it.
func repeatedRuns(h *History) []Violation {
	var violations []Violation
	byTask := map[string][]hollow.RunRecord{}
	for _, run := range h.Runs {
		byTask[run.Task] = append(byTask[run.Task], run)
	}
	for _, task := range slices.Sorted(maps.Keys(byTask)) {
		runs := byTask[task]
		slices.SortFunc(runs, func(a, b hollow.RunRecord) int { return cmp.Compare(a.StartMs, b.StartMs) })
		for index := 1; index < len(runs); index++ {
			for _, earlier := range runs[:index] {
				if text := describeConflict(earlier, runs[index]); text != "" {
					violations = append(violations, Violation{OracleTwice, h.sinceStart(runs[index].StartMs), text})
				}
			}
		}
	}
	return violations
}

// describeConflict returns why a run conflicts with an earlier run of its task, or "" if it doesn't.
func describeConflict(earlier, later hollow.RunRecord) string {
	switch {
	case earlier.Node == later.Node && earlier.Run == later.Run:
		return fmt.Sprintf("task %s: run %d is recorded twice at %s", later.Task, later.Run, later.Node)
	case earlier.EndMs == 0 || earlier.EndMs > later.StartMs:
		return fmt.Sprintf("task %s: run %d at %s started while run %d at %s went on", later.Task, later.Run, later.Node, earlier.Run, earlier.Node)
	case earlier.Outcome == outcomeDone:
		return fmt.Sprintf("task %s: run %d at %s started after run %d was done at %s", later.Task, later.Run, later.Node, earlier.Run, earlier.Node)
	}
	return ""
}

// outcomeDone is the outcome that executors report of a run that has done its task.
const outcomeDone = string(wire.OutcomeDone)

// sinceStart converts a time of day in milliseconds to the time since the start.
func (h *History) sinceStart(ms int64) time.Duration {
	return time.Duration(ms-h.StartMs) * time.Millisecond
}

// wrongAnswers is OracleWrong: it compares the ID of each request with the ID in its answer. A gate that shuts down refuses
// without reading the request, so a 5xx answer may have no ID.
func wrongAnswers(h *History) []Violation {
	var violations []Violation
	for index := range h.Calls {
		call := &h.Calls[index]
		isRefusal := call.EchoedID == "" && call.Status/100 == 5
		if call.Outcome == answered && call.EchoedID != call.RequestID && !isRefusal {
			violations = append(violations, Violation{OracleWrong, call.EndedAt, fmt.Sprintf("%s of client %d at %s: request %s got the answer %d to %q", call.Verb,
				call.Client, call.Gate, call.RequestID, call.Status, call.EchoedID)})
		}
	}
	return violations
}

// clockSlack is the tolerated difference between times of executors and clients, which are in whole milliseconds.
const clockSlack = 50 * time.Millisecond

// falseCompletions is OracleShown: it finds jobs that were shown as completed before executors had done all their tasks. The
// records of executors are complete, as their process is exempt from faults.
func falseCompletions(h *History) []Violation {
	lastDone, done := map[string]time.Duration{}, map[string]map[string]bool{}
	for _, run := range h.Runs {
		if run.Outcome != outcomeDone {
			continue
		}
		job := jobs.JobOf(run.Task)
		lastDone[job] = max(lastDone[job], h.sinceStart(run.EndMs))
		if done[job] == nil {
			done[job] = map[string]bool{}
		}
		done[job][run.Task] = true
	}
	var violations []Violation
	for index := range h.Calls {
		call := &h.Calls[index]
		tasks := shapeOf(call.Job).tasks()
		if call.State == "completed" && (len(done[call.Job]) < tasks || call.EndedAt+clockSlack < lastDone[call.Job]) {
			violations = append(violations, Violation{OracleShown, call.EndedAt, fmt.Sprintf("job %s is shown as completed, with %d of %d tasks done, the last at %v",
				call.Job, len(done[call.Job]), tasks, lastDone[call.Job])})
		}
	}
	return violations
}

// retractedStates is OracleTakenBack. It compares the state in each answer with the first answers that showed the job as ended.
func retractedStates(h *History) []Violation {
	ended := map[string]*Call{}
	for index := range h.Calls {
		call := &h.Calls[index]
		if first := ended[call.Job]; isFinalState(call.State) && (first == nil || call.EndedAt < first.EndedAt) {
			ended[call.Job] = call
		}
	}
	var violations []Violation
	for index := range h.Calls {
		call := &h.Calls[index]
		if first := ended[call.Job]; first != nil && call.State != "" && call.State != first.State && call.SentAt > first.EndedAt {
			violations = append(violations, Violation{OracleTakenBack, call.EndedAt, fmt.Sprintf("job %s was shown as %s at %v, and as %s to a call sent at %v",
				call.Job, first.State, first.EndedAt, call.State, call.SentAt)})
		}
	}
	return violations
}

// isFinalState reports whether a job with this state has ended.
func isFinalState(state string) bool {
	return state == "completed" || state == "failed" || state == "cancelled"
}

// hadFault reports whether a fault of the given kinds, or of any kind if none is given, affected a process or the connections of
// its clients at any time of an interval.
func (h *History) hadFault(target string, from, to time.Duration, kinds ...FaultKind) bool {
	return slices.ContainsFunc(h.Troubles, func(trouble Trouble) bool {
		return trouble.Target == target && trouble.From <= to && trouble.To >= from && (len(kinds) == 0 || slices.Contains(kinds, trouble.Kind))
	})
}

// isStalled reports whether the soak itself was stalled at any time of an interval.
func (h *History) isStalled(from, to time.Duration) bool {
	return slices.ContainsFunc(h.Stalls, func(stall Stall) bool { return stall.From <= to && stall.To >= from })
}

// isRefused reports whether a gate with a recent fault refused the connection of a call. A relay also accepts connections
// while its gate doesn't listen; a request on such a connection is sent whole but reaches no process.
func (h *History) isRefused(call *Call) bool {
	isRefused := slices.ContainsFunc(h.RefusedConnections, func(refused RefusedConnection) bool {
		return refused.Gate == call.Gate && refused.Connection == call.Connection && refused.At <= call.EndedAt &&
			refused.At >= call.EndedAt-contactWindow
	})
	return isRefused && !call.IsKept && h.hadFault(call.Gate, call.SentAt-contactWindow, call.EndedAt)
}

// cutRequests is OracleCut: it finds requests without an answer at gates that were neither killed nor frozen and whose
// connections were neither cut nor stalled. After SIGTERM a gate answers each request that it has read, but may close a
// connection before it has read the last request (lossSlack).
func cutRequests(h *History) []Violation {
	var violations []Violation
	for index := range h.Calls {
		call := &h.Calls[index]
		if call.Outcome != closed || call.EndedAt-call.SentAt < lossSlack {
			continue
		}
		if h.hadFault(call.Gate, call.SentAt-contactWindow, call.EndedAt, FaultKill, FaultFreeze, FaultCut, FaultStall) ||
			h.isStalled(call.SentAt, call.EndedAt) || h.isRefused(call) {
			continue
		}
		violations = append(violations, Violation{OracleCut, call.EndedAt, fmt.Sprintf("%s of client %d at %s, sent at %v, was left without an answer", call.Verb,
			call.Client, call.Gate, call.SentAt)})
	}
	return violations
}

// lateStarts is OracleCancelled: it compares the starts of tasks with the acknowledged cancellations of their jobs.
func lateStarts(h *History) []Violation {
	var violations []Violation
	accepted := acceptedJobs(h)
	for _, run := range h.Runs {
		job, startedAt := accepted[jobs.JobOf(run.Task)], h.sinceStart(run.StartMs)
		if job != nil && job.isCancelled && startedAt > job.cancelledAt+cancelTimeout {
			violations = append(violations, Violation{OracleCancelled, startedAt, fmt.Sprintf("task %s started %v after its job's cancel was acknowledged", run.Task,
				startedAt-job.cancelledAt)})
		}
	}
	return violations
}

// maxRepeatedFences is the tolerated number of orders under a refused fence, over all processes.
const maxRepeatedFences = 3

// repeatedFences is OracleFence: it reports more than maxRepeatedFences orders under refused fences.
func repeatedFences(h *History) []Violation {
	if h.RepeatedFences <= maxRepeatedFences {
		return nil
	}
	return []Violation{{OracleFence, 0, fmt.Sprintf("%d calls came under a fence well after it was refused", h.RepeatedFences)}}
}

// staleConfigurations is OracleConfiguration: it checks that each gate without a recent fault knows the version of each probe
// that was sent long enough after the version's acknowledgement, and that no steward returns a version older than one
// acknowledged before the read.
func staleConfigurations(h *History) []Violation {
	const applyTime = configApplyMs*time.Millisecond + configurationMargin
	var violations []Violation
	for _, probe := range h.Probes {
		isDue := slices.ContainsFunc(h.Acknowledgements, func(a Acknowledgement) bool {
			return a.Version == probe.Version && a.At+applyTime <= probe.SentAt
		})
		isUndisturbed := !h.hadFault(probe.Gate, probe.SentAt-contactWindow, probe.SentAt) && !h.isStalled(probe.SentAt-contactWindow, probe.SentAt)
		if isDue && isUndisturbed && probe.Status == http.StatusNotFound {
			violations = append(violations, Violation{OracleConfiguration, probe.SentAt, fmt.Sprintf("%s does not know version %d yet", probe.Gate, probe.Version)})
		}
	}
	for _, read := range h.ReadBacks {
		for _, acknowledged := range h.Acknowledgements {
			if acknowledged.At <= read.SentAt && read.Version < acknowledged.Version {
				violations = append(violations, Violation{OracleConfiguration, read.SentAt, fmt.Sprintf("%s reads back version %d, and %d was acknowledged at %v",
					read.Steward, read.Version, acknowledged.Version, acknowledged.At)})
				break
			}
		}
	}
	return violations
}

// badExits is OracleExit: it finds processes that ended without being asked to, or that ended with a failure or too late after
// SIGTERM.
func badExits(h *History) []Violation {
	var violations []Violation
	for _, exit := range h.Exits {
		if text := exit.problem(h); text != "" {
			violations = append(violations, Violation{OracleExit, exit.At, exit.Process + " " + text})
		}
	}
	return violations
}

// problem returns what is wrong with an exit, or "" if nothing is.
func (e *Exit) problem(h *History) string {
	switch e.Cause {
	case "":
		return fmt.Sprintf("ended though nobody asked, with code %d %s", e.Code, e.Signal)
	case FaultKill, FaultWipe:
		return ""
	}
	if e.Age < signalReadyTimeout && e.Signal == syscall.SIGTERM.String() {
		return ""
	}
	if e.Code != 0 {
		return fmt.Sprintf("ended with code %d %s after SIGTERM", e.Code, e.Signal)
	}
	if e.Took > exitTimeout && !h.isStalled(e.At-e.Took, e.At) {
		return fmt.Sprintf("took %v to end after SIGTERM", e.Took)
	}
	return ""
}
