package leaderclient

import (
	"time"

	"gannetline/internal/cluster/membership"
	"gannetline/internal/cluster/peerapi/wire"
)

// Outcome is the result of a call. Answer is nil if no leader has answered. MayHaveRun is set if a leader may have executed the call
// in an attempt that brought no final answer.
type Outcome struct {
	Answer     *wire.ClientAnswer
	MayHaveRun bool
}

// Attempts chooses the steward for each attempt of one call and collects the outcome. It has no goroutines or sockets; its owner makes the
// attempts.
type Attempts struct {
	key string
	// deadline is the end of the whole call on the monotonic clock.
	deadline time.Duration
	// hint is the name of the leader according to the latest answer, or empty.
	hint string
	// count is the number of attempts so far.
	count int
	// pick chooses at random among a number of stewards.
	pick func(count int) int
	// wait is the time for which the leader may delay its answer. It is added to the timeout of each attempt.
	wait time.Duration
	// lastAddress is the address of the latest attempt.
	lastAddress string
	// silent counts, by the address of the steward, the attempts of this call that were not answered.
	silent map[string]int
	// confirmed counts the answers that name as leader a steward that has not answered an earlier attempt.
	confirmed int
	outcome   Outcome
}

// NewAttempts creates the attempts of one call to the leader of a key, until a deadline on the monotonic clock. pick returns a random number
// from 0 to below its argument.
func NewAttempts(key string, deadline time.Duration, pick func(count int) int) *Attempts {
	return &Attempts{key: key, deadline: deadline, pick: pick, silent: map[string]int{}}
}

// AllowWait lengthens the timeout of each attempt by the time for which the leader may delay its answer.
func (a *Attempts) AllowWait(wait time.Duration) { a.wait = wait }

// Attempt is one attempt of a call. Address is empty if no steward is known that could take the call. Timeout includes the time for which the
// leader may delay its answer.
type Attempt struct {
	Address string
	Timeout time.Duration
}

// Next returns the next attempt, or false once the deadline has passed. A steward that did not answer before is given twice the timeout,
// because it may be slow.
func (a *Attempts) Next(view *membership.View, now time.Duration) (Attempt, bool) {
	remaining := a.deadline - now
	if remaining <= 0 {
		return Attempt{}, false
	}
	a.lastAddress = a.address(view)
	timeout := attemptTimeout
	if a.silent[a.lastAddress] > 0 {
		timeout = 2 * attemptTimeout
	}
	a.hint = ""
	a.count++
	return Attempt{Address: a.lastAddress, Timeout: min(timeout+a.wait, remaining)}, true
}

// HandleAnswer records the answer of a steward, and reports whether it is final. The answer of a leader that lost the key before its change
// was committed is not final: the next leader may have the change or not.
func (a *Attempts) HandleAnswer(answer *wire.ClientAnswer) bool {
	if answer.NotLeader {
		a.hint = answer.Leader
		a.outcome.MayHaveRun = a.outcome.MayHaveRun || answer.OutcomeUnknown
		return false
	}
	a.outcome.Answer = answer
	return true
}

// HandleFailure records an attempt without an answer. neverSent is set if it certainly did not reach the steward.
func (a *Attempts) HandleFailure(neverSent bool) {
	a.silent[a.lastAddress]++
	a.HandleInterruption(neverSent)
}

// HandleInterruption records an attempt that was cancelled because a leader had changed. Its steward does not count as silent.
func (a *Attempts) HandleInterruption(neverSent bool) {
	a.outcome.MayHaveRun = a.outcome.MayHaveRun || !neverSent
}

// Pause returns the time to wait before the next attempt. It grows with the number of attempts, and ends at the deadline at the latest.
func (a *Attempts) Pause(now time.Duration) time.Duration {
	wait := maxPause
	switch {
	case a.count <= quickAttempts:
		wait = shortPause
	case a.count <= 2*quickAttempts:
		wait = mediumPause
	}
	return min(wait, a.deadline-now)
}

// Outcome returns the outcome so far.
func (a *Attempts) Outcome() Outcome { return a.outcome }

// address returns the address for the next attempt: that of the hinted leader, else of the leader in the view unless it is gone, else of a
// random live steward that may lead keys, else of the leader in the view after all. It is empty if no leader is known either. A steward that
// has been silent is used only if mayAsk or others allows it, or as the last resort.
func (a *Attempts) address(view *membership.View) string {
	hinted, isHinted := view.Steward(a.hint)
	if isHinted && a.silent[hinted.Address] == 0 {
		return hinted.Address
	}
	if isHinted {
		a.confirmed++
	}
	known, isKnown := view.Steward(view.Leaders[a.key].Name)
	if isKnown && known.State != wire.StateGone && a.mayAsk(known.Address) {
		return known.Address
	}
	others := a.others(view)
	if len(others) == 0 {
		return known.Address
	}
	return others[a.pick(len(others))]
}

// mayAsk reports whether the next attempt may go to the leader in the view. Every third attempt goes elsewhere. A leader that was silent
// once is asked once more after other stewards have named it as the leader in enough answers.
func (a *Attempts) mayAsk(leader string) bool {
	if a.silent[leader] > 0 {
		return a.silent[leader] == 1 && a.confirmed >= confirmations
	}
	return a.count%3 != 2
}

// others returns the addresses of the live stewards that may lead keys. Those that have been silent are left out unless all have been.
func (a *Attempts) others(view *membership.View) []string {
	var all, answering []string
	for _, member := range view.Stewards {
		if !member.MayLead() || member.State != wire.StateAlive {
			continue
		}
		all = append(all, member.Address)
		if a.silent[member.Address] == 0 {
			answering = append(answering, member.Address)
		}
	}
	if len(answering) > 0 {
		return answering
	}
	return all
}
