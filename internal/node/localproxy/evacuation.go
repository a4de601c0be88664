package localproxy

import "time"

const (
	// maxEvacuationGrace is the longest grace period, in which launch orders are still carried out after this process was informed of an
	// evacuation. Gangs and other jobs that were placed before the evacuation can then complete their launch.
	maxEvacuationGrace = 2 * time.Second
	// evacuationGraceShare is the grace period as a share of the time until an evacuation must be in force. The rest of that time is for
	// the evacuation order to reach all nodes.
	evacuationGraceShare = 0.4
)

// evacuationGraceOf returns the grace period if an evacuation must be in force after the given time.
func evacuationGraceOf(inForceAfter time.Duration) time.Duration {
	return min(maxEvacuationGrace, time.Duration(evacuationGraceShare*float64(inForceAfter)))
}

// WithEvacuation sets the time after which an evacuation must be in force, and the function that reports whether an evacuation of this
// machine's zone is ordered, and when this process was informed of it, on the table's clock.
func WithEvacuation(inForceAfter time.Duration, isOrdered func() (since time.Duration, isOrdered bool)) TableOption {
	return func(t *Table) { t.evacuation, t.evacuationGrace = isOrdered, evacuationGraceOf(inForceAfter) }
}

// noEvacuation reports that no evacuation is ordered.
func noEvacuation() (time.Duration, bool) { return 0, false }

// isEvacuated reports whether an evacuation is ordered and its grace period is over. Launch orders are then refused, also those of runs that
// were placed before the evacuation.
func (t *Table) isEvacuated() bool {
	since, isOrdered := t.evacuation()
	return isOrdered && t.now()-since >= t.evacuationGrace
}
