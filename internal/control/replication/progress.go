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

// progressHistory tells how far a leader had come at each of its recent heartbeats, in the order of time.
type progressHistory []progressPoint

// record adds where the leader stands now, and drops what is older than the given age, but for the newest such point.
func (h *progressHistory) record(now time.Duration, index uint64, age time.Duration) {
	*h = append(*h, progressPoint{now, index})
	dropped := 0
	for dropped+1 < len(*h) && (*h)[dropped+1].at <= now-age {
		dropped++
	}
	*h = slices.Delete(*h, 0, dropped)
}

// hadReached tells whether an index is at least as far as the leader was at that moment; it is false for a moment before the
// first point.
func (h progressHistory) hadReached(index uint64, moment time.Duration) bool {
	for _, point := range slices.Backward(h) {
		if point.at <= moment {
			return index >= point.index
		}
	}
	return false
}
