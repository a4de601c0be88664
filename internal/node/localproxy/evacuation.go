package localproxy

import "time"

const (
	// maxEvacuationGrace is how long, at most, launches are still carried out after this process was informed of an evacuation. Gangs and
	// other jobs that were placed before it can then complete their start.
	maxEvacuationGrace = 2 * time.Second
	// evacuationGraceShare is the share of the time until an evacuation must be in force that launches may use. The rest is for the
	// order to reach all nodes.
	evacuationGraceShare = 0.4
)

// evacuationGraceOf returns how long launches are still carried out if an evacuation must be in force after the given time.
func evacuationGraceOf(inForceAfter time.Duration) time.Duration {
	return min(maxEvacuationGrace, time.Duration(evacuationGraceShare*float64(inForceAfter)))
}

// WithEvacuation sets the time after which an evacuation must be in force, and the function that reports whether one is ordered for
// this machine's zone, and when this process was informed of it, on the table's clock.
func WithEvacuation(inForceAfter time.Duration, isOrdered func() (since time.Duration, isOrdered bool)) TableOption {
	return func(t *Table) { t.evacuation, t.evacuationGrace = isOrdered, evacuationGraceOf(inForceAfter) }
}

func noEvacuation() (time.Duration, bool) { return 0, false }

// isEvacuated reports whether the grace for launches is over. A launch that was placed before the evacuation and retried for long is
// then refused.
func (t *Table) isEvacuated() bool {
	since, isOrdered := t.evacuation()
	return isOrdered && t.now()-since >= t.evacuationGrace
}
