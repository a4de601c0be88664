package scheduler

import (
	"time"

	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/settings"
)

// Timing holds the timeouts and intervals of a pool, and its scheduling parameters.
type Timing struct {
	// Grant is the duration of the lease that each exchange grants an executor. Its runs stop when the lease expires.
	Grant time.Duration
	// MaxHold is the longest time that an executor's runs can go on without an exchange.
	MaxHold time.Duration
	// Resend is the first backoff before an unanswered order is sent again, and MaxResend the longest.
	Resend    time.Duration
	MaxResend time.Duration
	// HoldStale is the age of an executor's last lease renewal above which placement leaves the executor out.
	HoldStale time.Duration
	// SilentAfter is the time without an exchange after which placement leaves an executor out.
	SilentAfter time.Duration
	// StopTimeout is how long a stopped run may take to end.
	StopTimeout time.Duration
	// StuckAfter is the time after which a launch that has not started is stopped.
	StuckAfter time.Duration
	// KeepEnded is the retention period of ended jobs.
	KeepEnded time.Duration
	// RateWindow is the time window over which tenants' submission rates are measured.
	RateWindow time.Duration
	// RemoteFactor is a task's run time on an executor that doesn't have its data, as a multiple of the run time near the data.
	RemoteFactor     float64
	ReservedCapacity ReservedCapacity
}

// TimingFrom derives the timing from the protocol bounds of a deployment.
func TimingFrom(nodeSettings *settings.Settings) Timing {
	hold := nodeSettings.MaxHold()
	return Timing{Grant: min(hold*8/10, 5*time.Second), MaxHold: hold, Resend: 200 * time.Millisecond,
		MaxResend: time.Second, HoldStale: 2500 * time.Millisecond, SilentAfter: 900 * time.Millisecond,
		StopTimeout: clock.Milliseconds(nodeSettings.Bounds.StopTimeoutMs), StuckAfter: 2 * time.Second,
		RateWindow:       time.Duration(nodeSettings.Bounds.QuotaWindowS * float64(time.Second)),
		KeepEnded:        time.Duration(nodeSettings.Bounds.StatusS*float64(time.Second)) + 30*time.Second,
		ReservedCapacity: DefaultReservedCapacity, RemoteFactor: nodeSettings.Bounds.RemoteFactor}
}
