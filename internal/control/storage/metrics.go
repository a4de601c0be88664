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

// sumAcceptedBytes returns the record bytes of the writes that were not refused.
func sumAcceptedBytes(batch []queuedWrite, outcomes []Outcome) int {
	total := 0
	for index, queued := range batch {
		if outcomes[index].Taken {
			total += queued.recordBytes
		}
	}
	return total
}

// recordBytes returns the size of the names and values of a write. The pages that the store writes for them are larger.
func (w Write) recordBytes() int {
	total := 0
	for _, change := range w.Changes {
		total += countBytes(change.Ops)
	}
	if w.Snapshot != nil {
		total += countBytes(w.Snapshot.Pairs)
	}
	return total
}

func countBytes(ops []wire.Op) int {
	total := 0
	for _, op := range ops {
		total += len(op.Name) + len(op.Value)
	}
	return total
}
