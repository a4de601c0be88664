package storage

import (
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/metrics"
)

var (
	transactions     = metrics.NewCounter("gannetline_store_transactions_total")
	writes           = metrics.NewCounter("gannetline_store_writes_total")
	recordBytesTotal = metrics.NewCounter("gannetline_store_record_bytes_total")
	filePageBytes    = metrics.NewCounter("gannetline_store_page_bytes_total")
	commitSeconds    = metrics.NewHistogram("gannetline_store_commit_seconds")
)

// takenBytes sums up the writes that were not refused.
func takenBytes(batch []queuedWrite, outcomes []Outcome) int {
	total := 0
	for index, queued := range batch {
		if outcomes[index].Taken {
			total += queued.recordBytes
		}
	}
	return total
}

// recordBytes are those of names and values, before the store makes pages of them.
func (w Write) recordBytes() int {
	total := 0
	for _, change := range w.Changes {
		total += sizeOf(change.Ops)
	}
	if w.Snapshot != nil {
		total += sizeOf(w.Snapshot.Pairs)
	}
	return total
}

func sizeOf(ops []wire.Op) int {
	total := 0
	for _, op := range ops {
		total += len(op.Name) + len(op.Value)
	}
	return total
}
