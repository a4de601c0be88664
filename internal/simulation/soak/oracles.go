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

// Oracle names what must not happen.
type Oracle string

// The oracles.
const (
	// OracleLost: an accepted job is not known any more, or is not over long after the soak, or was cancelled or failed by nobody.
	OracleLost Oracle = "lost"
	// OracleTwice: two runs of a task at once, or one after a run of it was done.
	OracleTwice Oracle = "twice"
	// OracleWrong: an answer that is not that of its request.
	OracleWrong Oracle = "wrong-answer"
	// OracleShown: a job shown as completed while a task of it was not done.
	OracleShown Oracle = "shown"
	// OracleCut: a request that was sent whole is left without an answer by a gate that nobody killed.
	OracleCut Oracle = "cut"
	// OracleCancelled: a task of a cancelled job is started long after the acknowledgement.
	OracleCancelled Oracle = "cancelled"
	// OracleFence: orders come again under a fence that was refused well before.
	OracleFence Oracle = "fence"
	// OracleConfiguration: an acknowledged configuration is not in force in time, or is read back older.
	OracleConfiguration Oracle = "configuration"
	// OracleExit: a process ends though nobody asked, with a code that tells of a failure, or not in time after SIGTERM.
	OracleExit Oracle = "exit"
	// OracleCoordination: a lock with two holders, a number or a revision given twice, a stale read, a watch with a gap, and all else that
	// package coordinationcheck names.
	OracleCoordination Oracle = "coordination"
	// OracleRollout: a bad version of the service gets all jobs, or is not turned back in time.
	OracleRollout Oracle = "rollout"
	// OracleEvacuation: a task is started in a zone after its evacuation had to be in force.
	OracleEvacuation Oracle = "evacuation"
	// OracleQuota: a tenant has more running than it may.
	OracleQuota Oracle = "quota"
	// OracleKey: a call with a key that no tenant has is answered as if it had one.
	OracleKey Oracle = "key"
	// OracleStream: an answer that is no stream of its request, or a stream that a gate breaks off though nothing was done to it.
	OracleStream Oracle = "stream"
	// OracleLot: an accepted lot is not known, not whole at last, or its results change.
	OracleLot Oracle = "lot"
	// OracleServed: nothing was served of a feature that the deployment has switched on.
	OracleServed Oracle = "served"
	// OracleGrowth: memory, goroutines, descriptors or bytes on disk grow with time.
	OracleGrowth Oracle = "growth"
)

// Violation is something that an oracle found.
type Violation struct {
	Oracle Oracle        `json:"oracle"`
	At     time.Duration `json:"at"`
	Text   string        `json:"text"`
}

// oracles are all of them, each a function of the history.
var oracles = []func(*History) []Violation{lostJobs, repeatedRuns, wrongAnswers, falseCompletions, cutRequests, lateStarts, repeatedFences,
	staleConfigurations, badExits, coordinationFaults, badRollouts, startsInEvacuatedZones, exceededLimits, unknownKeys, badStreams, badLots, unservedFeatures, growth}

// Judge has all oracles read a history, and gives what they find by time.
func Judge(history *History) []Violation {
	var violations []Violation
	for _, oracle := range oracles {
		violations = append(violations, oracle(history)...)
	}
	slices.SortStableFunc(violations, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	return violations
}

// The bounds of the oracles, beyond those of the settings.
const (
	// contactWindow is how long a process must have been without trouble before bounds of time hold for it.
	contactWindow = 5 * time.Second
	// lossSlack is how long before the end of its connection a request must have been sent to count: a later one crosses the close.
	lossSlack = 250 * time.Millisecond
	// cancelBound is how long after the acknowledgement of a cancel a task may still be started.
	cancelBound = 5 * time.Second
	// configurationMargin is added to the time in which a configuration must be in force, as all share one machine.
	configurationMargin = 2 * time.Second
	// startUp is how long a process may take until it reads signals; one that is told to end before ends by the signal, and has
	// served nobody.
	startUp = 3 * time.Second
	// exitBound is how long a process may take to end after SIGTERM.
	exitBound = graceSeconds*time.Second + 2*time.Second
)

// jobView is when a job was first accepted, and whether and when a cancel of it was sent and acknowledged.
type jobView struct {
	acceptedAt, cancelledAt   time.Duration
	isCancelSent, isCancelled bool
}

// acceptedJobs gives the jobs that were accepted, by ID.
func acceptedJobs(h *History) map[string]*jobView {
	accepted := map[string]*jobView{}
	for index := range h.Calls {
		call := &h.Calls[index]
		if call.isAccepted() && accepted[call.Job] == nil {
			accepted[call.Job] = &jobView{acceptedAt: call.EndedAt}
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

// repeatedRuns looks at the runs of each task in the order of their starts.
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
				if text := conflict(earlier, runs[index]); text != "" {
					violations = append(violations, Violation{OracleTwice, h.sinceStart(runs[index].StartMs), text})
				}
			}
		}
	}
	return violations
}

// conflict tells why a run may not have started after an earlier one of its task; it is empty if it may.
func conflict(earlier, later hollow.RunRecord) string {
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

// outcomeDone is how executors tell of a run that did its task.
const outcomeDone = string(wire.OutcomeDone)

// sinceStart turns the time of day into a time since the start.
func (h *History) sinceStart(ms int64) time.Duration {
	return time.Duration(ms-h.StartMs) * time.Millisecond
}

// wrongAnswers compares the request's ID with the one in its answer. A gate that leaves refuses without reading the request, so that a
// 5xx may have none.
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

// clockSlack is by how much the times of executors and clients, in whole milliseconds, may differ.
const clockSlack = 50 * time.Millisecond

// falseCompletions compares what jobs are shown as with what executors have done by then. The executors' records are whole, as their
// process is spared.
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

// isTroubled tells whether anything was done to a process, or to the connections of its clients, within a time.
func (h *History) isTroubled(target string, from, to time.Duration, kinds ...FaultKind) bool {
	return slices.ContainsFunc(h.Troubles, func(trouble Trouble) bool {
		return trouble.Target == target && trouble.From <= to && trouble.To >= from && (len(kinds) == 0 || slices.Contains(kinds, trouble.Kind))
	})
}

// isStalled tells whether the soak itself stood still within a time.
func (h *History) isStalled(from, to time.Duration) bool {
	return slices.ContainsFunc(h.Stalls, func(stall Stall) bool { return stall.From <= to && stall.To >= from })
}

// isRefused tells whether the connection of a call was refused by a gate to which something had been done. A relay takes connections
// also while its gate has none listening, and a request on one is sent whole but reaches nobody.
func (h *History) isRefused(call *Call) bool {
	isRefused := slices.ContainsFunc(h.RefusedConnections, func(refused RefusedConnection) bool {
		return refused.Gate == call.Gate && refused.Connection == call.Connection && refused.At <= call.EndedAt &&
			refused.At >= call.EndedAt-contactWindow
	})
	return isRefused && !call.IsKept && h.isTroubled(call.Gate, call.SentAt-contactWindow, call.EndedAt)
}

// cutRequests looks for requests that a gate left without an answer though it was not killed, nor its connections cut: a gate that
// leaves in order answers what it has read. A request that crosses the close was not read.
func cutRequests(h *History) []Violation {
	var violations []Violation
	for index := range h.Calls {
		call := &h.Calls[index]
		if call.Outcome != closed || call.EndedAt-call.SentAt < lossSlack {
			continue
		}
		if h.isTroubled(call.Gate, call.SentAt-contactWindow, call.EndedAt, FaultKill, FaultFreeze, FaultCut, FaultStall) ||
			h.isStalled(call.SentAt, call.EndedAt) || h.isRefused(call) {
			continue
		}
		violations = append(violations, Violation{OracleCut, call.EndedAt, fmt.Sprintf("%s of client %d at %s, sent at %v, was left without an answer", call.Verb,
			call.Client, call.Gate, call.SentAt)})
	}
	return violations
}

func lateStarts(h *History) []Violation {
	var violations []Violation
	accepted := acceptedJobs(h)
	for _, run := range h.Runs {
		job, startedAt := accepted[jobs.JobOf(run.Task)], h.sinceStart(run.StartMs)
		if job != nil && job.isCancelled && startedAt > job.cancelledAt+cancelBound {
			violations = append(violations, Violation{OracleCancelled, startedAt, fmt.Sprintf("task %s started %v after its job's cancel was acknowledged", run.Task,
				startedAt-job.cancelledAt)})
		}
	}
	return violations
}

// maxRepeatedFences is how many orders under a refused fence pass, of all processes together.
const maxRepeatedFences = 3

func repeatedFences(h *History) []Violation {
	if h.RepeatedFences <= maxRepeatedFences {
		return nil
	}
	return []Violation{{OracleFence, 0, fmt.Sprintf("%d calls came under a fence well after it was refused", h.RepeatedFences)}}
}

// staleConfigurations asks of each gate without trouble that it serves the newest version that was acknowledged long enough before,
// and of each steward that what it reads back is not older.
func staleConfigurations(h *History) []Violation {
	const inForce = configApplyMs*time.Millisecond + configurationMargin
	var violations []Violation
	for _, probe := range h.Probes {
		isDue := slices.ContainsFunc(h.Acknowledgements, func(a Acknowledgement) bool {
			return a.Version == probe.Version && a.At+inForce <= probe.SentAt
		})
		isCalm := !h.isTroubled(probe.Gate, probe.SentAt-contactWindow, probe.SentAt) && !h.isStalled(probe.SentAt-contactWindow, probe.SentAt)
		if isDue && isCalm && probe.Status == http.StatusNotFound {
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

// badExits looks at each end of a process: by the signal that was sent, or in order after SIGTERM, in time.
func badExits(h *History) []Violation {
	var violations []Violation
	for _, exit := range h.Exits {
		if text := exit.problem(h); text != "" {
			violations = append(violations, Violation{OracleExit, exit.At, exit.Process + " " + text})
		}
	}
	return violations
}

func (e *Exit) problem(h *History) string {
	switch e.Asked {
	case "":
		return fmt.Sprintf("ended though nobody asked, with code %d %s", e.Code, e.Signal)
	case FaultKill, FaultWipe:
		return ""
	}
	if e.Age < startUp && e.Signal == syscall.SIGTERM.String() {
		return ""
	}
	if e.Code != 0 {
		return fmt.Sprintf("ended with code %d %s after SIGTERM", e.Code, e.Signal)
	}
	if e.Took > exitBound && !h.isStalled(e.At-e.Took, e.At) {
		return fmt.Sprintf("took %v to end after SIGTERM", e.Took)
	}
	return ""
}
