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

	// patience is how long a machine asks on for an operator.
	patience      = 900 * time.Millisecond
	operatorLimit = time.Second
	maxAttempts   = 10
	maxInFlight   = 8
)

type answerKind int

const (
	unclear answerKind = iota
	confirmed
	refused
)

// modelOrder is one change that an operator sends, the same each time it is sent again.
type modelOrder struct {
	version   int64
	base      int64
	body      []byte
	digest    string
	attempts  int
	isDone    bool
	isRefused bool
	// confirmedAfter is how many changes had been confirmed when this one was; 0 while it is not.
	confirmedAfter int
}

// traffic is what the operators know and have under way.
type traffic struct {
	drawn     int
	newest    int64
	orders    []*modelOrder
	confirmed []*modelOrder
	underWay  int
}

// newOrder makes a change of the configuration with a body unlike all others.
func (w *simCluster) newOrder(base, version int64) *modelOrder {
	t := &w.traffic
	t.drawn++
	body := fmt.Appendf(nil, `{"config-version":%d,"route-list":[{"name":"r","host":"h%d","path-prefix":"/","timeout-ms":1,"service":"s"}],"service-list":[{"name":"s"}]}`, version, t.drawn)
	order := &modelOrder{version: version, base: base, body: body, digest: digestOf(body)}
	t.orders = append(t.orders, order)
	w.record.byDigest[order.digest] = order
	return order
}

func digestOf(body []byte) string {
	sum := sha256.Sum256(bytes.TrimSpace(body))
	return hex.EncodeToString(sum[:])
}

// send brings an order to a machine, and sends it again elsewhere until there is a clear answer.
func (w *simCluster) send(order *modelOrder, via int) {
	if order.attempts >= maxAttempts || w.traffic.underWay >= maxInFlight {
		return
	}
	order.attempts++
	w.traffic.underWay++
	call := &wire.ClientCall{Key: configleader.Key, Verb: verbReplace, Base: order.base, Body: order.body}
	begun := w.begin(order)
	w.operate(via, operatorRequest(call), func(answer *response.Reply) {
		w.traffic.underWay--
		kind := kindOf(answer)
		w.end(begun, kind)
		w.noteOrder(order, kind, answer)
		if kind == unclear && !order.isDone {
			w.cover("order sent again")
			w.after(time.Duration(50+w.draw.IntN(250))*time.Millisecond, func() { w.send(order, via+1) })
		}
	})
}

// kindOf sorts an answer to an operator: an error of the server leaves open what came of the change.
func kindOf(answer *response.Reply) answerKind {
	switch {
	case answer == nil || answer.Status >= http.StatusInternalServerError:
		return unclear
	case answer.Status == http.StatusOK:
		return confirmed
	}
	return refused
}

// noteOrder records what an operator was told of a change, and checks it.
func (w *simCluster) noteOrder(order *modelOrder, kind answerKind, answer *response.Reply) {
	t := &w.traffic
	switch kind {
	case confirmed:
		w.cover("order confirmed")
		w.checkConfirmed(order)
		if order.confirmedAfter == 0 {
			t.confirmed = append(t.confirmed, order)
			order.confirmedAfter = len(t.confirmed)
		}
		order.isDone = true
		t.newest = max(t.newest, order.version)
		w.fireTriggers()
	case refused:
		w.cover("order refused")
		w.checkRefused(order, answer)
		order.isDone, order.isRefused = true, true
	default:
		w.cover("order without a clear answer")
	}
}

// read retrieves the configuration through a machine.
func (w *simCluster) read(via int, done func(isRead bool)) {
	begun, floor := w.begin(nil), w.record.top
	call := &wire.ClientCall{Key: configleader.Key, Verb: verbRetrieve}
	w.operate(via, operatorRequest(call), func(answer *response.Reply) {
		isRead := kindOf(answer) == confirmed
		if isRead {
			w.cover("configuration read")
			w.checkRead(begun, floor, answer.Body)
		}
		done(isRead)
	})
}

func ignore(bool) {}

// request is a call of an operator or an application.
type request struct {
	call *wire.ClientCall
	// wait is how long the leader may keep its answer back.
	wait time.Duration
	// reply is what the caller is told of an outcome.
	reply func(leaderclient.Outcome) response.Reply
	// arrivesOnce drops the second copy of a message that the network doubles, as a connection does. What an operator is told holds even
	// for such copies; that a call surely had no effect can't.
	arrivesOnce bool
}

func operatorRequest(call *wire.ClientCall) request {
	return request{call: call, reply: func(outcome leaderclient.Outcome) response.Reply { return controlapi.Reply(call, outcome) }}
}

// operate brings a request to a machine's control address; no answer comes back as nil.
func (w *simCluster) operate(via int, ask request, done func(*response.Reply)) {
	to := w.slots[via%len(w.slots)]
	isOver := false
	finish := func(answer *response.Reply) {
		if !isOver {
			isOver = true
			done(answer)
		}
	}
	w.after(operatorLimit+ask.wait, func() { finish(nil) })
	w.after(w.transit(), func() {
		incarnation := to.incarnation
		if !to.isUp {
			return
		}
		to.enter(incarnation, func() {
			attempts := leaderclient.NewAttempts(ask.call.Key, w.now+patience+ask.wait, w.draw.IntN)
			attempts.AllowWait(ask.wait)
			search := &attempt{from: to, ask: ask, attempts: attempts, done: func(answer response.Reply) {
				to.enter(incarnation, func() {
					if w.trouble.until > w.now && w.draw.IntN(4) == 0 {
						w.cover("acknowledgement lost")
						return
					}
					w.after(w.transit(), func() { finish(&answer) })
				})
			}}
			search.next()
		})
	})
}

// attempt is a machine's search for the key's leader: the tries are the daemon's own, the waits are the model's.
type attempt struct {
	from     *simNode
	ask      request
	attempts *leaderclient.Attempts
	done     func(response.Reply)
}

// next makes the next attempt at a call, as the real client's policy says.
func (a *attempt) next() {
	w := a.from.cluster
	attempt, isLeft := a.attempts.Next(a.from.view(), w.now)
	if !isLeft {
		a.end()
		return
	}
	to := w.byName(attempt.Address)
	if to == nil {
		a.pause()
		return
	}
	hasArrived := false
	serve := func(answer func(wire.ClientAnswer)) {
		if !hasArrived || !a.ask.arrivesOnce {
			to.obey(a.ask.call, answer)
		}
		hasArrived = true
	}
	call(a.from, to, attempt.Timeout, serve,
		func(answer wire.ClientAnswer, err error) {
			if err != nil {
				// A second copy of a message that finds the process gone is no connection that was refused.
				a.attempts.HandleFailure(errors.Is(err, errRefused) && !hasArrived)
			} else if a.attempts.HandleAnswer(&answer) {
				a.end()
				return
			}
			a.pause()
		})
}

func (a *attempt) end() { a.done(a.ask.reply(a.attempts.Outcome())) }

func (a *attempt) pause() {
	incarnation := a.from.incarnation
	a.from.cluster.after(a.attempts.Pause(a.from.cluster.now), func() { a.from.enter(incarnation, a.next) })
}

// view is what a machine's membership tells its operator's path.
func (n *simNode) view() *membership.View {
	n.hearsay()
	view := &membership.View{Stewards: n.members(), Leaders: map[string]wire.KeyLeader{}}
	if n.hint.node != nil {
		key := n.cluster.service.key()
		view.Leaders[key] = wire.KeyLeader{Key: key, Epoch: n.hint.epoch, Name: n.hint.node.name}
	}
	return view
}

func (w *simCluster) byName(name string) *simNode {
	for _, node := range w.nodes {
		if node.name == name {
			return node
		}
	}
	return nil
}

// finalReads reads through every machine, and sends the newest confirmed order once more.
func (t *traffic) finalReads(w *simCluster) {
	for index := range w.slots {
		w.read(index, func(isRead bool) {
			if !isRead && len(t.confirmed) > 0 {
				w.violated("settled", "machine %d does not answer a read once all is settled", index)
			}
		})
	}
	if len(t.confirmed) > 0 {
		last := t.confirmed[len(t.confirmed)-1]
		last.attempts = 0
		w.send(last, 0)
	}
}

func versionOf(body easyjson.RawMessage) (int64, string) {
	plan, err := configuration.Read(body)
	if err != nil {
		return 0, ""
	}
	return plan.Version, digestOf(body)
}
