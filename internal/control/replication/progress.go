package replication

import (
	"slices"
	"time"
)

// progressPoint is the index that a leader had reached by some moment.
type progressPoint struct {
	at    time.Duration
	index uint64
}

// progressHistory tell how far a leader had come at each of its recent heartbeats, in the order of time.
type progressHistory []progressPoint

// record adds where the leader stands now, and lets go of what is older than the given age, but for the newest such mark.
func (m *progressHistory) record(now time.Duration, index uint64, age time.Duration) {
	*m = append(*m, progressPoint{now, index})
	drop := 0
	for drop+1 < len(*m) && (*m)[drop+1].at <= now-age {
		drop++
	}
	*m = slices.Delete(*m, 0, drop)
}

// hadReached tells whether an index is at least as far as the leader was at that moment; it is false for a moment before the
// first mark.
func (m progressHistory) hadReached(index uint64, moment time.Duration) bool {
	for _, point := range slices.Backward(m) {
		if point.at <= moment {
			return index >= point.index
		}
	}
	return false
}
