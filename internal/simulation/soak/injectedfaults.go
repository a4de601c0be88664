package soak

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"time"

	"gannetline/internal/scheduling/jobs"
	"gannetline/internal/simulation/hollow"
)

// InjectedFault is a fault that is put into the data of relays or into the observations, to check that the oracle of the same
// name finds it. OracleLost also finds InjectUnknown.
type InjectedFault string

// The injected faults; InjectNothing is none.
const (
	InjectNothing       InjectedFault = ""
	InjectLost          InjectedFault = "lost"
	InjectTwice         InjectedFault = "twice"
	InjectWrong         InjectedFault = "wrong-answer"
	InjectShown         InjectedFault = "shown"
	InjectCut           InjectedFault = "cut"
	InjectCancelled     InjectedFault = "cancelled"
	InjectFence         InjectedFault = "fence"
	InjectConfiguration InjectedFault = "configuration"
	InjectExit          InjectedFault = "exit"
	InjectCoordination  InjectedFault = "coordination"
	InjectRollout       InjectedFault = "rollout"
	InjectGrowth        InjectedFault = "growth"
	InjectEvacuation    InjectedFault = "evacuation"
	InjectQuota         InjectedFault = "quota"
	InjectKey           InjectedFault = "key"
	InjectStream        InjectedFault = "stream"
	InjectBudget        InjectedFault = "budget"
	InjectUnknown       InjectedFault = "unknown"
	InjectLot           InjectedFault = "lot"
	InjectServed        InjectedFault = "served"
)

// AllInjectedFaults are the injected faults that can be chosen.
var AllInjectedFaults = []InjectedFault{InjectLost, InjectTwice, InjectWrong, InjectShown, InjectCut, InjectCancelled, InjectFence, InjectConfiguration, InjectExit, InjectCoordination, InjectRollout, InjectGrowth,
	InjectEvacuation, InjectQuota, InjectKey, InjectStream, InjectBudget, InjectUnknown, InjectLot, InjectServed}

func (f InjectedFault) isKnown() bool {
	return f == InjectNothing || slices.Contains(AllInjectedFaults, f)
}

// injectEvery is the number of answer chunks per injected fault in a relay.
const injectEvery = 40

// alterChunk returns the chunk that the relay forwards in place of the given one; nil closes the connection. Only the relay's
// own goroutine calls it.
func (r *relay) alterChunk(chunk []byte, isAnswer bool) []byte {
	if !isAnswer {
		return chunk
	}
	r.answers++
	previous := r.last
	r.last = bytes.Clone(chunk)
	if r.answers%injectEvery != 0 {
		return chunk
	}
	switch {
	case r.injected == InjectCut:
		// The client gets no answer although its gate answered. The delay is needed because OracleCut ignores requests that end
		// within lossSlack.
		time.Sleep(2 * lossSlack)
		return nil
	case r.injected == InjectWrong && previous != nil:
		return previous
	}
	return chunk
}

// injectInto puts the fault into a history. InjectCut and InjectWrong change nothing here: the relays inject them during the soak
// (alterChunk).
func (f InjectedFault) injectInto(h *History) {
	last := func() time.Duration { return h.Calls[len(h.Calls)-1].EndedAt }
	switch f {
	case InjectLost:
		h.Calls = append(h.Calls, Call{Verb: verbSubmit, Job: "fffffffffffff111", Outcome: answered, Status: 200, EndedAt: last()})
	case InjectTwice:
		again := h.Runs[0]
		again.Run++
		h.Runs = append(h.Runs, again)
	case InjectShown:
		h.Calls = append(h.Calls, Call{Verb: verbState, Job: "0000000000000991", Outcome: answered, Status: 200, State: "completed"})
	case InjectRollout:
		h.Rollouts = append(h.Rollouts, RolloutSeen{Name: badRollout, BegunMs: 1, At: time.Second}, RolloutSeen{Name: badRollout, BegunMs: 1, At: time.Minute})
	case InjectCancelled:
		for index := range h.Calls {
			if h.Calls[index].isAccepted() {
				h.injectCancelled(h.Calls[index].Job)
				return
			}
		}
	case InjectFence:
		h.RepeatedFences = maxRepeatedFences + 1
	case InjectConfiguration:
		version := h.Acknowledgements[len(h.Acknowledgements)-1].Version
		h.ReadBacks = append(h.ReadBacks, ReadBack{Steward: "planted", SentAt: last(), Version: version - 1})
	case InjectExit:
		h.Exits = append(h.Exits, Exit{Process: "planted", At: last(), Code: 2})
	case InjectCoordination:
		h.Applications.Numbers = append(h.Applications.Numbers, h.Applications.Numbers[0])
	case InjectUnknown:
		accepted := h.Calls[slices.IndexFunc(h.Calls, func(call Call) bool { return call.isAccepted() })]
		h.Calls = append(h.Calls, Call{Client: accepted.Client, Verb: verbState, Job: accepted.Job, Outcome: answered, Status: http.StatusGone, Gate: "planted",
			SentAt: accepted.EndedAt + contactWindow, EndedAt: accepted.EndedAt + contactWindow})
	case InjectEvacuation, InjectQuota, InjectKey, InjectStream, InjectBudget, InjectLot, InjectServed:
		f.injectMixFault(h)
	case InjectGrowth:
		for at := range 2 * minSamples {
			h.Samples = append(h.Samples, Sample{Process: "planted", At: warmUp + time.Duration(at)*sampleInterval, Memory: float64((20 + 4*at) << 20)})
		}
	}
}

// injectMixFault puts a fault into observations that depend on the features of the mix.
func (f InjectedFault) injectMixFault(h *History) {
	switch f {
	case InjectEvacuation:
		run := h.Runs[0]
		from := h.sinceStart(run.StartMs) - h.mix().evacuationDeadline() - time.Second
		h.Zones = map[string]string{run.Node: "planted"}
		h.Evacuations = append(h.Evacuations, Evacuation{Zone: "planted", AcknowledgedAt: from, TerminateSentAt: from + time.Hour})
	case InjectQuota:
		h.injectQuota()
	case InjectKey:
		h.KeyProbes = append(h.KeyProbes, KeyProbe{Gate: "planted", Status: http.StatusOK})
	case InjectStream:
		h.Streams = append(h.Streams, StreamCall{Gate: "planted", ID: "s", Status: http.StatusOK, Body: "id: 1\ndata: of another\n\n"})
	case InjectBudget:
		for number := range maxRepeatedStreams + 1 {
			id := fmt.Sprint("s", number)
			h.Streams = append(h.Streams, StreamCall{Gate: "planted", ID: id, Prefix: askPrefix, Status: http.StatusBadGateway})
			h.StreamRuns = append(h.StreamRuns, StreamRun{ID: id, Engine: "e-0"}, StreamRun{ID: id, Engine: "e-1"})
		}
	case InjectLot:
		h.Lots = append(h.Lots, Lot{ID: "0000000000000001", Items: 1})
	case InjectServed:
		h.Mix = &Mix{Features: []Feature{FeatureTier}, Zones: 1}
	}
}

// injectQuota adds a job of the limited tenant with more tasks that run at the same time than the tenant may have.
func (h *History) injectQuota() {
	const id = "0000000000000991"
	h.Mix = &Mix{Features: []Feature{FeatureTenants}, Zones: 1}
	h.KeyProbes = append(h.KeyProbes, KeyProbe{Gate: "planted", Status: http.StatusUnauthorized})
	h.Calls = append(h.Calls, Call{Verb: verbSubmit, Job: id, Outcome: closed})
	for number := range 2 * tenantLimitTasks {
		h.Runs = append(h.Runs, hollow.RunRecord{Task: jobs.TaskName(id, 0, number, 2*tenantLimitTasks), Run: 1, Node: "planted", StartMs: h.StartMs + 1,
			EndMs: h.StartMs + 1000, Outcome: "stopped"})
	}
}

// injectCancelled adds the cancellation of a job, and the start of one of its tasks long after the cancellation.
func (h *History) injectCancelled(id string) {
	h.Calls = append(h.Calls, Call{Verb: verbCancel, Job: id, Outcome: answered, Status: 200})
	startMs := h.StartMs + (2 * cancelTimeout).Milliseconds()
	h.Runs = append(h.Runs, hollow.RunRecord{Task: jobs.TaskName(id, 0, 0, shapeOf(id).tasks()), Run: 1, Node: "planted", StartMs: startMs, EndMs: startMs + 1})
}
