package localproxy

import "time"

// evacuationGrace is for how long after this process has learned of an evacuation a launch is still carried out: gangs and others that
// were placed before may complete their start. It is well within the time in which an evacuation must be in force.
const evacuationGrace = 2 * time.Second

// WithEvacuation names the function that tells whether the zone of this machine is to be emptied, and since when this process knows that,
// on the table's clock.
func WithEvacuation(isOrdered func() (since time.Duration, isOrdered bool)) TableOption {
	return func(t *Table) { t.evacuation = isOrdered }
}

func noEvacuation() (time.Duration, bool) { return 0, false }

// isEvacuated tells whether a launch that was placed before the zone was evacuated comes too late by now, as one that was sent again and
// again.
func (t *Table) isEvacuated() bool {
	since, isOrdered := t.evacuation()
	return isOrdered && t.now()-since >= evacuationGrace
}
