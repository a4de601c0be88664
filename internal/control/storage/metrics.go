package storage

import (
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/metrics"
)

var (
	transactions     = metrics.NewCounter("gannetline_store_transactions_total")
	writes           = metrics.NewCounter("gannetline_store_writes_total")
	recordBytesTotal = metrics.NewCounter("gannetline_store_record_bytes_total")
	pageBytesTotal   = metrics.NewCounter("gannetline_store_page_bytes_total")
	commitSeconds    = metrics.NewHistogram("gannetline_store_commit_seconds")
)

// recordBytes are those of names and values, before the store makes pages of them.
func (w Write) recordBytes() int {
	var all int
	for _, change := range w.Changes {
		all += sizeOf(change.Ops)
	}
	if w.Snapshot != nil {
		all += sizeOf(w.Snapshot.Pairs)
	}
	return all
}

func sizeOf(ops []wire.Op) int {
	var all int
	for _, op := range ops {
		all += len(op.Name) + len(op.Value)
	}
	return all
}
