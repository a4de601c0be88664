package controlmodel

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/mailru/easyjson"

	"gannetline/internal/cluster/configuration"
	"gannetline/internal/cluster/leaderclient"
	"gannetline/internal/cluster/membership"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/configleader"
	"gannetline/internal/control/controlapi"
	"gannetline/internal/platform/response"
)

const (
	verbReplace  = "replace"
	verbRetrieve = "retrieve"

	// searchTimeout is how long a machine searches for the leader and retries a call of an operator or an application. operatorTimeout is
	// how long the caller waits for the answer. For a long poll, both are longer by its wait.
	searchTimeout   = 900 * time.Millisecond
	operatorTimeout = time.Second
	// maxAttempts is how often an operator sends a change at most. maxInFlight is the maximum number of changes without an answer.
	maxAttempts = 10
	maxInFlight = 8
)

// answerKind is what an answer says about the effect of a call. The zero value leaves it open.
type answerKind int

const (
	unclear answerKind = iota
	confirmed
	refused
)

// configurationChange is a change of the configuration that an operator sends, unchanged each time it is sent again.
type configurationChange struct {
	version  int64
	base     int64
	body     []byte
	digest   string
	attempts int
	// isDone is set once the change was confirmed or refused, and isRefused once it was refused.
	isDone    bool
	isRefused bool
	// confirmedPosition is the position of the change among the confirmed changes, from 1. It is 0 while the change is not confirmed.
	confirmedPosition int
}

// operatorState is what the operators have sent and received so far.
type operatorState struct {
	changeCount int
	// newestVersion is the highest confirmed version.
	newestVersion int64
	changes       []*configurationChange
	// confirmed are the confirmed changes in the order of their first confirmation.
	confirmed []*configurationChange
	// inFlight is the number of changes that wait for an answer.
	inFlight int
}

// newChange creates and records a change of the configuration whose body differs from all others.
func (sim *simCluster) newChange(base, version int64) *configurationChange {
	operators := &sim.operators
	operators.changeCount++
	body := fmt.Appendf(nil, `{"config-version":%d,"route-list":[{"name":"r","host":"h%d","path-prefix":"/","timeout-ms":1,"service":"s"}],"service-list":[{"name":"s"}]}`, version, operators.changeCount)
	change := &configurationChange{version: version, base: base, body: body, digest: digestOf(body)}
	operators.changes = append(operators.changes, change)
	sim.oracleState.byDigest[change.digest] = change
	return change
}

// digestOf returns the digest of a configuration's body, without white space around it, as the configuration leader computes it.
func digestOf(body []byte) string {
	sum := sha256.Sum256(bytes.TrimSpace(body))
	return hex.EncodeToString(sum[:])
}

// sendChange sends a change through a machine, and retries through the next one until there is a clear answer. It does nothing after
// maxAttempts, or while maxInFlight changes are in flight.
func (sim *simCluster) sendChange(change *configurationChange, via int) {
	if change.attempts >= maxAttempts || sim.operators.inFlight >= maxInFlight {
		return
	}
	change.attempts++
	sim.operators.inFlight++
	call := &wire.ClientCall{Key: configleader.Key, Verb: verbReplace, Base: change.base, Body: change.body}
	observed := sim.recordCall(change)
	sim.callThrough(via, operatorRequest(call), func(answer *response.Reply) {
		sim.operators.inFlight--
		kind := kindOf(answer)
		sim.recordEnd(observed, kind)
		sim.recordChangeAnswer(change, kind, answer)
		if kind == unclear && !change.isDone {
			sim.countCoverage("order sent again")
			sim.after(time.Duration(50+sim.random.IntN(250))*time.Millisecond, func() { sim.sendChange(change, via+1) })
		}
	})
}

// kindOf classifies an answer to an operator. No answer or a server error leaves open whether the change took effect.
func kindOf(answer *response.Reply) answerKind {
	switch {
	case answer == nil || answer.Status >= http.StatusInternalServerError:
		return unclear
	case answer.Status == http.StatusOK:
		return confirmed
	}
	return refused
}

// recordChangeAnswer records the answer to a change and has the oracles check it.
func (sim *simCluster) recordChangeAnswer(change *configurationChange, kind answerKind, answer *response.Reply) {
	operators := &sim.operators
	switch kind {
	case confirmed:
		sim.countCoverage("order confirmed")
		sim.checkConfirmed(change)
		if change.confirmedPosition == 0 {
			operators.confirmed = append(operators.confirmed, change)
			change.confirmedPosition = len(operators.confirmed)
		}
		change.isDone = true
		operators.newestVersion = max(operators.newestVersion, change.version)
		sim.fireTriggers()
	case refused:
		sim.countCoverage("order refused")
		sim.checkRefused(change, answer)
		change.isDone, change.isRefused = true, true
	default:
		sim.countCoverage("order without a clear answer")
	}
}

// readConfiguration retrieves the configuration through a machine and has the oracles check the answer.
func (sim *simCluster) readConfiguration(via int, done func(isRead bool)) {
	observed, minVersion := sim.recordCall(nil), sim.oracleState.highestConfirmed
	call := &wire.ClientCall{Key: configleader.Key, Verb: verbRetrieve}
	sim.callThrough(via, operatorRequest(call), func(answer *response.Reply) {
		isRead := kindOf(answer) == confirmed
		if isRead {
			sim.countCoverage("configuration read")
			sim.checkRead(observed, minVersion, answer.Body)
		}
		done(isRead)
	})
}

func ignoreResult(bool) {}

// request is a call of an operator or an application.
type request struct {
	call *wire.ClientCall
	// wait is how long the leader may delay the answer to a long poll. It is 0 for other calls.
	wait time.Duration
	// reply converts an outcome to the answer for the caller.
	reply func(leaderclient.Outcome) response.Reply
	// arrivesOnce drops the second copy of a message that the network doubles, as a connection does. It is needed for calls whose answer
	// may say that the call had no effect, since a second copy could still take effect. The answers to operators stay true without it.
	arrivesOnce bool
}

func operatorRequest(call *wire.ClientCall) request {
	return request{call: call, reply: func(outcome leaderclient.Outcome) response.Reply { return controlapi.Reply(call, outcome) }}
}

// callThrough sends a request to the control address of a machine, which searches for the leader. done gets nil if there is no answer in
// time.
func (sim *simCluster) callThrough(via int, req request, done func(*response.Reply)) {
	to := sim.slots[via%len(sim.slots)]
	isOver := false
	finish := func(answer *response.Reply) {
		if !isOver {
			isOver = true
			done(answer)
		}
	}
	sim.after(operatorTimeout+req.wait, func() { finish(nil) })
	sim.after(sim.transit(), func() {
		incarnation := to.incarnation
		if !to.isUp {
			return
		}
		to.enter(incarnation, func() {
			attempts := leaderclient.NewAttempts(req.call.Key, sim.now+searchTimeout+req.wait, sim.random.IntN)
			attempts.AllowWait(req.wait)
			search := &leaderSearch{from: to, req: req, attempts: attempts, done: func(answer response.Reply) {
				to.enter(incarnation, func() {
					if sim.networkFault.until > sim.now && sim.random.IntN(4) == 0 {
						sim.countCoverage("acknowledgement lost")
						return
					}
					sim.after(sim.transit(), func() { finish(&answer) })
				})
			}}
			search.tryNext()
		})
	})
}

// leaderSearch is a machine's search for the leader that serves a request. The real client code chooses the attempts, the model simulates
// the calls and the pauses.
type leaderSearch struct {
	from     *simNode
	req      request
	attempts *leaderclient.Attempts
	done     func(response.Reply)
}

// tryNext makes the next attempt that the real client code chooses. It ends the search if no attempt is left.
func (s *leaderSearch) tryNext() {
	sim := s.from.cluster
	attempt, isLeft := s.attempts.Next(s.from.membershipView(), sim.now)
	if !isLeft {
		s.end()
		return
	}
	to := sim.nodeByName(attempt.Address)
	if to == nil {
		s.pause()
		return
	}
	hasArrived := false
	serve := func(answer func(wire.ClientAnswer)) {
		if !hasArrived || !s.req.arrivesOnce {
			to.executeCall(s.req.call, answer)
		}
		hasArrived = true
	}
	callMachine(s.from, to, attempt.Timeout, serve,
		func(answer wire.ClientAnswer, err error) {
			if err != nil {
				// If the first copy of a message arrived, a second copy that finds the process down does not count as a refused connection.
				s.attempts.HandleFailure(errors.Is(err, errRefused) && !hasArrived)
			} else if s.attempts.HandleAnswer(&answer) {
				s.end()
				return
			}
			s.pause()
		})
}

// end answers the request with the outcome of the attempts.
func (s *leaderSearch) end() { s.done(s.req.reply(s.attempts.Outcome())) }

// pause makes the next attempt after the pause that the real client code chooses.
func (s *leaderSearch) pause() {
	incarnation := s.from.incarnation
	s.from.cluster.after(s.attempts.Pause(s.from.cluster.now), func() { s.from.enter(incarnation, s.tryNext) })
}

// membershipView returns the machine's view of the membership, from which the client code chooses the leader.
func (n *simNode) membershipView() *membership.View {
	n.receiveGossip()
	view := &membership.View{Stewards: n.members(), Leaders: map[string]wire.KeyLeader{}}
	if n.hint.node != nil {
		key := n.cluster.service.key()
		view.Leaders[key] = wire.KeyLeader{Key: key, Epoch: n.hint.epoch, Name: n.hint.node.name}
	}
	return view
}

func (sim *simCluster) nodeByName(name string) *simNode {
	for _, node := range sim.nodes {
		if node.name == name {
			return node
		}
	}
	return nil
}

// makeFinalReads reads through every machine and sends the last confirmed change once more. The reads must succeed if any change was
// confirmed.
func (o *operatorState) makeFinalReads(sim *simCluster) {
	for index := range sim.slots {
		sim.readConfiguration(index, func(isRead bool) {
			if !isRead && len(o.confirmed) > 0 {
				sim.reportViolation("settled", "machine %d does not answer a read once all is settled", index)
			}
		})
	}
	if len(o.confirmed) > 0 {
		last := o.confirmed[len(o.confirmed)-1]
		last.attempts = 0
		sim.sendChange(last, 0)
	}
}

// versionOf returns the version of a configuration and the digest of its body, or 0 and "" if the body can't be read.
func versionOf(body easyjson.RawMessage) (int64, string) {
	plan, err := configuration.Read(body)
	if err != nil {
		return 0, ""
	}
	return plan.Version, digestOf(body)
}
