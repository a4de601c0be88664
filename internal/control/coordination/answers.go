package coordination

import (
	"net/http"

	"github.com/mailru/easyjson"

	"gannetline/internal/cluster/peerapi/wire"
)

// retryAfterS is how many seconds a caller should wait that was refused for want of room.
const retryAfterS = 1

// answerClient takes the answer to a call, once.
type answerClient = func(wire.ClientAnswer)

// notLeader sends a call to the next leader; it had no effect here and never will.
var notLeader = wire.ClientAnswer{NotLeader: true}

// outcomeUnknown sends a call to the next leader, as its change was proposed and may be kept or not.
var outcomeUnknown = wire.ClientAnswer{NotLeader: true, OutcomeUnknown: true}

// refusal is an answer with a text for the caller.
func refusal(status int, reason string) wire.ClientAnswer {
	return wire.ClientAnswer{Status: status, Reason: reason}
}

// overload refuses a call that has taken nothing.
func overload(status int, reason string) wire.ClientAnswer {
	return wire.ClientAnswer{Status: status, Reason: reason, RetryAfterS: retryAfterS}
}

// success is an answer with status 200 and a body.
func (p *Part) success(body easyjson.Marshaler) wire.ClientAnswer {
	return p.withBody(http.StatusOK, body)
}

func (p *Part) withBody(status int, body easyjson.Marshaler) wire.ClientAnswer {
	text, err := easyjson.Marshal(body)
	if err != nil {
		p.Log.Error(err, "answer not written", "key", p.key)
		return refusal(http.StatusInternalServerError, "the answer can't be written")
	}
	return wire.ClientAnswer{Status: status, Body: text}
}

// commitAndAnswer proposes a change, and gives the response once that is durable. What the response says is true from then on, also
// after this leadership.
func (p *Part) commitAndAnswer(ops []wire.Op, response wire.ClientAnswer, answer answerClient) {
	p.commit(ops, func(err error) {
		if err != nil {
			answer(outcomeUnknown)
			return
		}
		answer(response)
	})
}

// answerUnderLease gives a response that rests on all that was proposed so far, and is only true while no other process leads the key.
// The lease is asked for at the end, since the process may have been frozen before.
func (p *Part) answerUnderLease(response wire.ClientAnswer, answer answerClient) {
	p.commits.AfterAll(func(err error) {
		if err != nil {
			answer(notLeader)
			return
		}
		p.answerIfLeased(response, answer)
	})
}

// answerIfLeased gives a response at once that is only true while no other process leads the key.
func (p *Part) answerIfLeased(response wire.ClientAnswer, answer answerClient) {
	if p.leadership == nil || !p.leadership.HasLease() {
		answer(notLeader)
		return
	}
	answer(response)
}
