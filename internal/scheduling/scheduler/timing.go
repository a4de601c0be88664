package scheduler

import (
	"time"

	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/settings"
)

// Timing is how long the pool waits for what. Grant is how long an exchange lets an executor's runs go on, MaxHold
// the longest that they can go on without one. An order without an answer is sent again after Resend, then ever
// later up to MaxResend. An executor is left out of placement after SilentAfter without an exchange, and after a
// lease renewal older than HoldStale. A stopped run may take StopTimeout, a launch that has not begun by StuckAfter is
// stopped, and an ended job is kept for KeepEnded.
type Timing struct {
	Grant       time.Duration
	MaxHold     time.Duration
	Resend      time.Duration
	MaxResend   time.Duration
	HoldStale   time.Duration
	SilentAfter time.Duration
	StopTimeout time.Duration
	StuckAfter  time.Duration
	KeepEnded   time.Duration
	// RateWindow is the time over which it is counted what a tenant sends.
	RateWindow time.Duration
	// RemoteFactor is how many times as long a task takes away from its data.
	RemoteFactor     float64
	ReservedCapacity ReservedCapacity
}

// TimingFrom is the timing that the bounds of a deployment ask for.
func TimingFrom(nodeSettings *settings.Settings) Timing {
	hold := nodeSettings.MaxHold()
	return Timing{Grant: min(hold*8/10, 5*time.Second), MaxHold: hold, Resend: 200 * time.Millisecond,
		MaxResend: time.Second, HoldStale: 2500 * time.Millisecond, SilentAfter: 900 * time.Millisecond,
		StopTimeout: clock.Milliseconds(nodeSettings.Bounds.StopTimeoutMs), StuckAfter: 2 * time.Second,
		RateWindow:       time.Duration(nodeSettings.Bounds.QuotaWindowS * float64(time.Second)),
		KeepEnded:        time.Duration(nodeSettings.Bounds.StatusS*float64(time.Second)) + 30*time.Second,
		ReservedCapacity: DefaultReservedCapacity, RemoteFactor: nodeSettings.Bounds.RemoteFactor}
}
