package leaderclient

import (
	"time"

	"gannetline/internal/membership"
	"gannetline/internal/peerapi"
)

// Outcome says what is known after asking: MaySee is set while some steward may have taken the call.
type Outcome struct {
	Answer *peerapi.ClientAnswer
	MaySee bool
}

// Attempts decides where a call is sent next and what is known of it; it knows neither goroutines nor sockets.
type Attempts struct {
	key     string
	end     time.Duration
	hint    string
	tries   int
	pick    func(count int) int
	outcome Outcome
}

// NewAttempts begins a call that may take until end; pick draws a number below the count that it is given.
func NewAttempts(key string, end time.Duration, pick func(count int) int) *Attempts {
	return &Attempts{key: key, end: end, pick: pick}
}

// Try is one sending of the call. Address is empty while nobody is known who could take it.
type Try struct {
	Address string
	Limit   time.Duration
}

// Next gives the next try, or false once the time is over.
func (a *Attempts) Next(view *membership.View, now time.Duration) (Try, bool) {
	left := a.end - now
	if left <= 0 {
		return Try{}, false
	}
	try := Try{Address: address(view, a.key, a.hint, a.tries, a.pick), Limit: min(perTry, left)}
	a.hint = ""
	a.tries++
	return try, true
}

// Answered takes a steward's answer and tells whether it is the last word. A leader that lost the key before its change
// was committed can't tell what became of it: the next one may have it.
func (a *Attempts) Answered(answer *peerapi.ClientAnswer) bool {
	if answer.Elsewhere {
		a.hint = answer.Owner
		a.outcome.MaySee = a.outcome.MaySee || answer.Unclear
		return false
	}
	a.outcome.Answer = answer
	return true
}

// Failed takes a try without an answer; neverSent says that it certainly reached nobody.
func (a *Attempts) Failed(neverSent bool) {
	a.outcome.MaySee = a.outcome.MaySee || !neverSent
}

// Pause is how long to wait before the next try.
func (a *Attempts) Pause(now time.Duration) time.Duration {
	wait := pauseShort
	if a.tries > quickTries {
		wait = pauseLong
	}
	return min(wait, a.end-now)
}

// Outcome is what is known by now.
func (a *Attempts) Outcome() Outcome { return a.outcome }

// address prefers the hint, then the known leader, then any steward that may lead keys.
func address(view *membership.View, key, hint string, try int, pick func(count int) int) string {
	if hinted, isThere := view.Steward(hint); isThere {
		return hinted.Address
	}
	known, isThere := view.Steward(view.Owners[key].Name)
	if isThere && try%3 != 2 {
		return known.Address
	}
	var others []string
	for _, member := range view.Stewards {
		if member.MayLead() && member.State == peerapi.StateAlive {
			others = append(others, member.Address)
		}
	}
	if len(others) > 0 {
		return others[pick(len(others))]
	}
	return known.Address
}
