package lots

import "time"

const (
	// failuresToEject is how many failed runs in a row take an executor out for ejectionTime; one that broke off takes it out for
	// brokenEjection.
	failuresToEject = 2
	ejectionTime    = 2 * time.Second
	brokenEjection  = 700 * time.Millisecond
)

// executorHealth is what runs have shown of an executor.
type executorHealth struct {
	// running counts the runs under way; failures those in a row that failed.
	running      int
	failures     int
	ejectedUntil time.Duration
}

// note takes how a run ended.
func (h *executorHealth) note(outcome Outcome, now time.Duration) {
	switch outcome {
	case OutcomeCompleted, OutcomeImpossible:
		h.failures = 0
	case OutcomeFailed:
		if h.failures++; h.failures >= failuresToEject {
			h.ejectedUntil = max(h.ejectedUntil, now+ejectionTime)
			h.failures = failuresToEject - 1
		}
	case OutcomeBroken, OutcomeTimedOut:
		h.ejectedUntil = max(h.ejectedUntil, now+brokenEjection)
	}
}
