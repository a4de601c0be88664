package localproxy

import "time"

const (
	// maxEvacuationGrace is for how long at most, after this process has learned of an evacuation, a launch is still carried out: gangs and
	// others that were placed before may complete their start.
	maxEvacuationGrace = 2 * time.Second
	// evacuationGraceShare is the part of the time in which an evacuation must be in force that launches may still take; the rest is for
	// the order to spread.
	evacuationGraceShare = 0.4
)

// evacuationGraceOf is for how long launches are still carried out where an evacuation must be in force after a time.
func evacuationGraceOf(inForceAfter time.Duration) time.Duration {
	return min(maxEvacuationGrace, time.Duration(evacuationGraceShare*float64(inForceAfter)))
}

// WithEvacuation names the time after which an evacuation must be in force, and the function that tells whether the zone of this machine is
// to be emptied, and since when this process knows that, on the table's clock.
func WithEvacuation(inForceAfter time.Duration, isOrdered func() (since time.Duration, isOrdered bool)) TableOption {
	return func(t *Table) { t.evacuation, t.evacuationGrace = isOrdered, evacuationGraceOf(inForceAfter) }
}

func noEvacuation() (time.Duration, bool) { return 0, false }

// isEvacuated tells whether a launch that was placed before the zone was evacuated comes too late by now, as one that was sent again and
// again.
func (t *Table) isEvacuated() bool {
	since, isOrdered := t.evacuation()
	return isOrdered && t.now()-since >= t.evacuationGrace
}
