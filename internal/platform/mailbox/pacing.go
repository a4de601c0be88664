package mailbox

import (
	"time"

	"gannetline/internal/platform/clock"
)

// pacing ensures a minimum pause between the bursts of an owner.
type pacing struct {
	clock clock.Clock
	pause time.Duration
	// settledAt is the time of the last Settle on the monotonic clock.
	settledAt time.Duration
	// pauseEnd receives a value at the end of the current pause. It is nil outside a pause.
	pauseEnd <-chan time.Time
}

// mustWait reports whether the owner must call Settle only at the end of a pause, because the last call was less than a pause ago. It starts
// the timer of that pause if it isn't running yet. An owner that is not busy needs no timer.
func (p *pacing) mustWait() bool {
	if p.pause == 0 || p.pauseEnd != nil {
		return p.pauseEnd != nil
	}
	remaining := p.settledAt + p.pause - p.clock.Monotonic()
	if remaining <= 0 {
		return false
	}
	p.pauseEnd = p.clock.After(remaining)
	return true
}

// recordSettled records the time of a Settle. A Settle during a pause, as after a tick, doesn't change that pause.
func (p *pacing) recordSettled() {
	if p.pause > 0 {
		p.settledAt = p.clock.Monotonic()
	}
}

// availableMessages returns the channel of the functions that may run now. It returns nil, from which nothing is received, during a pause.
func (p *pacing) availableMessages(messages chan func()) chan func() {
	if p.pauseEnd != nil {
		return nil
	}
	return messages
}
