package replication

import (
	"slices"
	"time"
)

// progressMark is the index that a leader had reached by some moment.
type progressMark struct {
	at    time.Duration
	index uint64
}

// progressMarks tell how far a leader had come at each of its recent heartbeats, in the order of time.
type progressMarks []progressMark

// note adds where the leader stands now, and lets go of what is older than the given age, but for the newest such mark.
func (m *progressMarks) note(now time.Duration, index uint64, age time.Duration) {
	*m = append(*m, progressMark{now, index})
	drop := 0
	for drop+1 < len(*m) && (*m)[drop+1].at <= now-age {
		drop++
	}
	*m = slices.Delete(*m, 0, drop)
}

// isPast tells whether an index is at least as far as the leader was at that moment; it is false for a moment before the
// first mark.
func (m progressMarks) isPast(index uint64, moment time.Duration) bool {
	for _, mark := range slices.Backward(m) {
		if mark.at <= moment {
			return index >= mark.index
		}
	}
	return false
}
