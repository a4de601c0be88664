package mailbox

import (
	"time"

	"gannetline/internal/platform/clock"
)

// pacing keeps the bursts of an owner apart by a pause.
type pacing struct {
	clock     clock.Clock
	pause     time.Duration
	settledAt time.Duration
	// over ends the wait for the next burst; it is nil outside a wait.
	over <-chan time.Time
}

// mustWait tells whether the last Settle was less than a pause ago, so that what has just run waits for the next one. Only then is a
// timer needed, so that a quiet owner has none.
func (p *pacing) mustWait() bool {
	if p.pause == 0 || p.over != nil {
		return p.over != nil
	}
	remaining := p.settledAt + p.pause - p.clock.Monotonic()
	if remaining <= 0 {
		return false
	}
	p.over = p.clock.After(remaining)
	return true
}

// noteSettled takes note of a Settle; one in the midst of a wait, as after a tick, leaves the wait as it is.
func (p *pacing) noteSettled() {
	if p.pause > 0 {
		p.settledAt = p.clock.Monotonic()
	}
}

// open gives the messages that may run now: none in a wait.
func (p *pacing) open(messages chan func()) chan func() {
	if p.over != nil {
		return nil
	}
	return messages
}
