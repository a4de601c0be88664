// Package leaderclient finds a key's owner and asks it, again and elsewhere until there is no time left.
package leaderclient

import (
	"math/rand/v2"
	"time"

	"gannetline/internal/membership"
	"gannetline/internal/peerapi"
	"gannetline/internal/pulse"
	"gannetline/internal/span"
)

const (
	pauseShort = 30 * time.Millisecond
	pauseLong  = 120 * time.Millisecond
)

type Asker struct {
	caller *peerapi.Caller
	clock  pulse.Pulse
	view   func() *membership.View
	perTry time.Duration
}

func New(caller *peerapi.Caller, clock pulse.Pulse, view func() *membership.View) *Asker {
	return &Asker{caller: caller, clock: clock, view: view, perTry: 450 * time.Millisecond}
}

// Outcome says what is known after asking: MaySee is set while some steward may have taken the call.
type Outcome struct {
	Answer *peerapi.ClientAnswer
	MaySee bool
}

// Ask returns an answer of the owner, or none once the time is over.
func (a *Asker) Ask(life span.Span, call *peerapi.ClientCall, limit time.Duration) Outcome {
	var outcome Outcome
	end := a.clock.Steady() + limit
	hint := ""
	for try := 0; ; try++ {
		left := end - a.clock.Steady()
		if left <= 0 || life.Err() != nil {
			return outcome
		}
		view := a.view()
		address := address(view, call.Key, hint, try)
		hint = ""
		if address != "" {
			answer, err := a.askOnce(life, view, address, min(a.perTry, left), call)
			switch {
			case err == nil && !answer.Elsewhere:
				outcome.Answer = answer
				return outcome
			case err == nil:
				hint = answer.Owner
				outcome.MaySee = outcome.MaySee || answer.Unclear
			case !peerapi.NeverSent(err):
				outcome.MaySee = true
			}
		}
		wait := pauseShort
		if try > 2 {
			wait = pauseLong
		}
		select {
		case <-life.Done():
			return outcome
		case <-a.clock.After(min(wait, left)):
		}
	}
}

// askOnce gives up early if the key is heard to have another owner.
func (a *Asker) askOnce(life span.Span, view *membership.View, address string, limit time.Duration, call *peerapi.ClientCall) (*peerapi.ClientAnswer, error) {
	patience, release := membership.UntilMoved(life, view)
	defer release()
	return peerapi.Call[peerapi.ClientCall, peerapi.ClientAnswer](a.caller, patience, address, peerapi.ProcedureClient, limit, call)
}

// address prefers the hint, then the known owner, then any steward that may own keys.
func address(view *membership.View, key, hint string, try int) string {
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
		return others[rand.IntN(len(others))]
	}
	return known.Address
}
