package replication

import (
	"slices"
	"time"
)

// progressPoint is the last index of a leader's log at one moment.
type progressPoint struct {
	at    time.Duration
	index uint64
}

// progressHistory holds the last index of a leader's log at each recent heartbeat, oldest first.
type progressHistory []progressPoint

// record adds the leader's current index. It drops the points that are older than age, except the newest of them.
func (h *progressHistory) record(now time.Duration, index uint64, age time.Duration) {
	*h = append(*h, progressPoint{now, index})
	dropped := 0
	for dropped+1 < len(*h) && (*h)[dropped+1].at <= now-age {
		dropped++
	}
	*h = slices.Delete(*h, 0, dropped)
}

// hadReached reports whether index is at least the leader's last index at that moment. It is false for a moment before the
// first point.
func (h progressHistory) hadReached(index uint64, moment time.Duration) bool {
	for _, point := range slices.Backward(h) {
		if point.at <= moment {
			return index >= point.index
		}
	}
	return false
}
