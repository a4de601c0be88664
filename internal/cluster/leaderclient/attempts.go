package leaderclient

import (
	"time"

	"gannetline/internal/cluster/membership"
	"gannetline/internal/cluster/peerapi/wire"
)

// Outcome says what is known after asking: MayHaveRun is set while some steward may have taken the call.
type Outcome struct {
	Answer     *wire.ClientAnswer
	MayHaveRun bool
}

// Attempts decides where a call is sent next and what is known of it; it knows neither goroutines nor sockets.
type Attempts struct {
	key      string
	deadline time.Duration
	hint     string
	count    int
	pick     func(count int) int
	// wait is how long a leader may keep its answer back beyond what an attempt may take.
	wait time.Duration
	// lastAddress is the address of the latest try.
	lastAddress string
	// silent counts, for each address, the tries of this call that it left unanswered.
	silent map[string]int
	// confirmed counts the answers of others that name a leader which was silent.
	confirmed int
	outcome   Outcome
}

// NewAttempts begins a call that may take until end; pick draws a number below the count that it is given.
func NewAttempts(key string, end time.Duration, pick func(count int) int) *Attempts {
	return &Attempts{key: key, deadline: end, pick: pick, silent: map[string]int{}}
}

// AllowWait has a leader keep its answer back for a wait, beyond what an attempt may take.
func (a *Attempts) AllowWait(wait time.Duration) { a.wait = wait }

// Attempt is one sending of the call. Address is empty while nobody is known who could take it.
type Attempt struct {
	Address string
	Limit   time.Duration
}

// Next gives the next try, or false once the time is over. A leader that was silent is given twice the time when it is
// asked again, as it may be slow.
func (a *Attempts) Next(view *membership.View, now time.Duration) (Attempt, bool) {
	remaining := a.deadline - now
	if remaining <= 0 {
		return Attempt{}, false
	}
	a.lastAddress = a.address(view)
	limit := attemptTimeout
	if a.silent[a.lastAddress] > 0 {
		limit = 2 * attemptTimeout
	}
	a.hint = ""
	a.count++
	return Attempt{Address: a.lastAddress, Limit: min(limit+a.wait, remaining)}, true
}

// HandleAnswer takes a steward's answer and tells whether it is the last word. A leader that lost the key before its change
// was committed can't tell what became of it: the next one may have it.
func (a *Attempts) HandleAnswer(answer *wire.ClientAnswer) bool {
	if answer.NotLeader {
		a.hint = answer.Leader
		a.outcome.MayHaveRun = a.outcome.MayHaveRun || answer.OutcomeUnknown
		return false
	}
	a.outcome.Answer = answer
	return true
}

// HandleFailure takes a try without an answer; neverSent says that it certainly reached nobody.
func (a *Attempts) HandleFailure(neverSent bool) {
	a.silent[a.lastAddress]++
	a.HandleInterruption(neverSent)
}

// HandleInterruption takes a try that was given up because the leaders have changed; it says nothing against its steward.
func (a *Attempts) HandleInterruption(neverSent bool) {
	a.outcome.MayHaveRun = a.outcome.MayHaveRun || !neverSent
}

// Pause is how long to wait before the next try.
func (a *Attempts) Pause(now time.Duration) time.Duration {
	wait := maxPause
	switch {
	case a.count <= quickAttempts:
		wait = pauseAfterRedirect
	case a.count <= 2*quickAttempts:
		wait = pauseBetweenAttempts
	}
	return min(wait, a.deadline-now)
}

// Outcome is what is known by now.
func (a *Attempts) Outcome() Outcome { return a.outcome }

// address prefers the hint, then the known leader, then any steward that may lead keys and has not been silent.
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

// mayAsk tells whether it is the turn of the leader that the view names. One that was silent is asked once more, when
// others still take it for the leader.
func (a *Attempts) mayAsk(leader string) bool {
	if a.silent[leader] > 0 {
		return a.silent[leader] == 1 && a.confirmed >= confirmations
	}
	return a.count%3 != 2
}

// others are the stewards that may lead keys, but those that were silent, unless all were.
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
