package coordination

import (
	"net/http"

	"github.com/mailru/easyjson"

	"gannetline/internal/cluster/peerapi/wire"
)

// retryAfterS is the number of seconds after which a caller may retry a call that was refused because of overload.
const retryAfterS = 1

// answerClient receives the answer to a call. It is called exactly once.
type answerClient = func(wire.ClientAnswer)

// notLeader tells the caller to ask the next leader. The call granted, released and wrote nothing here and never will. It may have
// skipped a number or extended the hold of a lock.
var notLeader = wire.ClientAnswer{NotLeader: true}

// outcomeUnknown tells the caller to ask the next leader. The change of the call was proposed, and may or may not be committed.
var outcomeUnknown = wire.ClientAnswer{NotLeader: true, OutcomeUnknown: true}

// refusal returns an answer that states why a call was refused.
func refusal(status int, reason string) wire.ClientAnswer {
	return wire.ClientAnswer{Status: status, Reason: reason}
}

// overload returns a refusal for lack of capacity. It must only be used for a call that had no effect.
func overload(status int, reason string) wire.ClientAnswer {
	return wire.ClientAnswer{Status: status, Reason: reason, RetryAfterS: retryAfterS}
}

// success returns an answer with status 200 and the JSON of a body.
func (p *Part) success(body easyjson.Marshaler) wire.ClientAnswer {
	return p.answerWithBody(http.StatusOK, body)
}

// answerWithBody returns an answer with a status and the JSON of a body.
func (p *Part) answerWithBody(status int, body easyjson.Marshaler) wire.ClientAnswer {
	text, err := easyjson.Marshal(body)
	if err != nil {
		p.Log.Error(err, "answer not written", "key", p.key)
		return refusal(http.StatusInternalServerError, "the answer can't be written")
	}
	return wire.ClientAnswer{Status: status, Body: text}
}

// commitAndAnswer proposes a change and sends the response once the change is durable. Such a response stays true after the end of
// this leadership.
func (p *Part) commitAndAnswer(ops []wire.Op, response wire.ClientAnswer, answer answerClient) {
	p.commit(ops, func(err error) {
		if err != nil {
			answer(outcomeUnknown)
			return
		}
		answer(response)
	})
}

// answerUnderLease sends a response that depends on every change proposed so far and is only true while no other process leads the
// key. It waits for the pending commits and checks the lease after them, since the process may have been frozen in between. If a commit
// fails or the lease is lost, it sends notLeader.
func (p *Part) answerUnderLease(response wire.ClientAnswer, answer answerClient) {
	p.commits.AfterAll(func(err error) {
		if err != nil {
			answer(notLeader)
			return
		}
		p.answerIfLeased(response, answer)
	})
}

// answerIfLeased sends a response that is only true while no other process leads the key, or notLeader without the lease. It does not
// wait for pending commits.
func (p *Part) answerIfLeased(response wire.ClientAnswer, answer answerClient) {
	if p.leadership == nil || !p.leadership.HasLease() {
		answer(notLeader)
		return
	}
	answer(response)
}
