package lots

import "time"

const (
	// failuresToEject is the number of failed runs (see executorHealth.failures) after which an executor gets no items for
	// ejectionTime. A single run that broke off or timed out ejects the executor for brokenEjectionTime.
	failuresToEject    = 2
	ejectionTime       = 2 * time.Second
	brokenEjectionTime = 700 * time.Millisecond
)

// executorHealth tracks the runs of items at an executor and their outcomes.
type executorHealth struct {
	// running is the number of runs in progress.
	running int
	// failures is the number of failed runs since the last run that ended with OutcomeCompleted or OutcomeImpossible. It stays below
	// failuresToEject, see recordOutcome.
	failures int
	// ejectedUntil is when the executor may get items again, on the monotonic clock.
	ejectedUntil time.Duration
}

// recordOutcome updates the health of the executor with the outcome of a run. After an ejection for failures, a single further failure
// ejects the executor again, unless a run ends with OutcomeCompleted or OutcomeImpossible before.
func (h *executorHealth) recordOutcome(outcome Outcome, now time.Duration) {
	switch outcome {
	case OutcomeCompleted, OutcomeImpossible:
		h.failures = 0
	case OutcomeFailed:
		if h.failures++; h.failures >= failuresToEject {
			h.ejectedUntil = max(h.ejectedUntil, now+ejectionTime)
			h.failures = failuresToEject - 1
		}
	case OutcomeBroken, OutcomeTimedOut:
		h.ejectedUntil = max(h.ejectedUntil, now+brokenEjectionTime)
	}
}
