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

	// searchTimeout is how long a machine retries an operator's call.
	searchTimeout   = 900 * time.Millisecond
	operatorTimeout = time.Second
	maxAttempts     = 10
	maxInFlight     = 8
)

type answerKind int

const (
	unclear answerKind = iota
	confirmed
	refused
)

// configurationChange is a change of the configuration that an operator sends, unchanged each time it is sent again.
type configurationChange struct {
	version   int64
	base      int64
	body      []byte
	digest    string
	attempts  int
	isDone    bool
	isRefused bool
	// confirmedAfter is the number of confirmed changes up to and including this one. It is 0 while this one is not confirmed.
	confirmedAfter int
}

// operatorState is what the operators have sent and received so far.
type operatorState struct {
	changeCount   int
	newestVersion int64
	changes       []*configurationChange
	confirmed     []*configurationChange
	inFlight      int
}

// newChange returns a change of the configuration whose body differs from all others.
func (w *simCluster) newChange(base, version int64) *configurationChange {
	t := &w.operators
	t.changeCount++
	body := fmt.Appendf(nil, `{"config-version":%d,"route-list":[{"name":"r","host":"h%d","path-prefix":"/","timeout-ms":1,"service":"s"}],"service-list":[{"name":"s"}]}`, version, t.changeCount)
	change := &configurationChange{version: version, base: base, body: body, digest: digestOf(body)}
	t.changes = append(t.changes, change)
	w.oracleState.byDigest[change.digest] = change
	return change
}

func digestOf(body []byte) string {
	sum := sha256.Sum256(bytes.TrimSpace(body))
	return hex.EncodeToString(sum[:])
}

// sendChange sends a change through a machine, and retries through the next one until there is a clear answer. It does nothing after
// maxAttempts, or while maxInFlight calls are in flight.
func (w *simCluster) sendChange(change *configurationChange, via int) {
	if change.attempts >= maxAttempts || w.operators.inFlight >= maxInFlight {
		return
	}
	change.attempts++
	w.operators.inFlight++
	call := &wire.ClientCall{Key: configleader.Key, Verb: verbReplace, Base: change.base, Body: change.body}
	observed := w.recordCall(change)
	w.callThrough(via, operatorRequest(call), func(answer *response.Reply) {
		w.operators.inFlight--
		kind := kindOf(answer)
		w.recordEnd(observed, kind)
		w.recordChangeAnswer(change, kind, answer)
		if kind == unclear && !change.isDone {
			w.countCoverage("order sent again")
			w.after(time.Duration(50+w.random.IntN(250))*time.Millisecond, func() { w.sendChange(change, via+1) })
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
func (w *simCluster) recordChangeAnswer(change *configurationChange, kind answerKind, answer *response.Reply) {
	t := &w.operators
	switch kind {
	case confirmed:
		w.countCoverage("order confirmed")
		w.checkConfirmed(change)
		if change.confirmedAfter == 0 {
			t.confirmed = append(t.confirmed, change)
			change.confirmedAfter = len(t.confirmed)
		}
		change.isDone = true
		t.newestVersion = max(t.newestVersion, change.version)
		w.fireTriggers()
	case refused:
		w.countCoverage("order refused")
		w.checkRefused(change, answer)
		change.isDone, change.isRefused = true, true
	default:
		w.countCoverage("order without a clear answer")
	}
}

// readConfiguration retrieves the configuration through a machine.
func (w *simCluster) readConfiguration(via int, done func(isRead bool)) {
	observed, minVersion := w.recordCall(nil), w.oracleState.highestConfirmed
	call := &wire.ClientCall{Key: configleader.Key, Verb: verbRetrieve}
	w.callThrough(via, operatorRequest(call), func(answer *response.Reply) {
		isRead := kindOf(answer) == confirmed
		if isRead {
			w.countCoverage("configuration read")
			w.checkRead(observed, minVersion, answer.Body)
		}
		done(isRead)
	})
}

func ignoreResult(bool) {}

// request is a call of an operator or an application.
type request struct {
	call *wire.ClientCall
	// wait is how long the leader may hold the answer of a long poll.
	wait time.Duration
	// reply converts an outcome to the answer for the caller.
	reply func(leaderclient.Outcome) response.Reply
	// arrivesOnce drops the second copy of a message that the network doubles, as a connection does. The answers to operators stay true even
	// with such copies, but the answer that a call had no effect does not.
	arrivesOnce bool
}

func operatorRequest(call *wire.ClientCall) request {
	return request{call: call, reply: func(outcome leaderclient.Outcome) response.Reply { return controlapi.Reply(call, outcome) }}
}

// callThrough sends a request to a machine's control address, which searches for the leader. done gets nil if there is no answer in time.
func (w *simCluster) callThrough(via int, req request, done func(*response.Reply)) {
	to := w.slots[via%len(w.slots)]
	isOver := false
	finish := func(answer *response.Reply) {
		if !isOver {
			isOver = true
			done(answer)
		}
	}
	w.after(operatorTimeout+req.wait, func() { finish(nil) })
	w.after(w.transit(), func() {
		incarnation := to.incarnation
		if !to.isUp {
			return
		}
		to.enter(incarnation, func() {
			attempts := leaderclient.NewAttempts(req.call.Key, w.now+searchTimeout+req.wait, w.random.IntN)
			attempts.AllowWait(req.wait)
			search := &leaderSearch{from: to, req: req, attempts: attempts, done: func(answer response.Reply) {
				to.enter(incarnation, func() {
					if w.networkFault.until > w.now && w.random.IntN(4) == 0 {
						w.countCoverage("acknowledgement lost")
						return
					}
					w.after(w.transit(), func() { finish(&answer) })
				})
			}}
			search.tryNext()
		})
	})
}

// leaderSearch is a machine's search for the key's leader. The real client code chooses the attempts, the model simulates the waiting.
type leaderSearch struct {
	from     *simNode
	req      request
	attempts *leaderclient.Attempts
	done     func(response.Reply)
}

// tryNext makes the next attempt of a call, as the real client's policy says.
func (a *leaderSearch) tryNext() {
	w := a.from.cluster
	attempt, isLeft := a.attempts.Next(a.from.membershipView(), w.now)
	if !isLeft {
		a.end()
		return
	}
	to := w.nodeByName(attempt.Address)
	if to == nil {
		a.pause()
		return
	}
	hasArrived := false
	serve := func(answer func(wire.ClientAnswer)) {
		if !hasArrived || !a.req.arrivesOnce {
			to.executeCall(a.req.call, answer)
		}
		hasArrived = true
	}
	callMachine(a.from, to, attempt.Timeout, serve,
		func(answer wire.ClientAnswer, err error) {
			if err != nil {
				// If the first copy of a message arrived, a second copy that finds the process down does not count as a refused connection.
				a.attempts.HandleFailure(errors.Is(err, errRefused) && !hasArrived)
			} else if a.attempts.HandleAnswer(&answer) {
				a.end()
				return
			}
			a.pause()
		})
}

func (a *leaderSearch) end() { a.done(a.req.reply(a.attempts.Outcome())) }

func (a *leaderSearch) pause() {
	incarnation := a.from.incarnation
	a.from.cluster.after(a.attempts.Pause(a.from.cluster.now), func() { a.from.enter(incarnation, a.tryNext) })
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

func (w *simCluster) nodeByName(name string) *simNode {
	for _, node := range w.nodes {
		if node.name == name {
			return node
		}
	}
	return nil
}

// makeFinalReads reads through every machine and sends the last confirmed change once more.
func (t *operatorState) makeFinalReads(w *simCluster) {
	for index := range w.slots {
		w.readConfiguration(index, func(isRead bool) {
			if !isRead && len(t.confirmed) > 0 {
				w.reportViolation("settled", "machine %d does not answer a read once all is settled", index)
			}
		})
	}
	if len(t.confirmed) > 0 {
		last := t.confirmed[len(t.confirmed)-1]
		last.attempts = 0
		w.sendChange(last, 0)
	}
}

func versionOf(body easyjson.RawMessage) (int64, string) {
	plan, err := configuration.Read(body)
	if err != nil {
		return 0, ""
	}
	return plan.Version, digestOf(body)
}
