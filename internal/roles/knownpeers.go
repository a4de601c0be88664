package roles

import (
	"context"
	"slices"
	"time"

	"gannetline/internal/cluster/membership"
	"gannetline/internal/cluster/peerapi/wire"
)

const (
	peerSaveInterval = 10 * time.Second
	maxKnownPeers    = 16
)

// peerStore stores addresses of peers on disk.
type peerStore interface {
	SavePeers(addresses []string) error
}

// savePeers returns a part that saves the control addresses of live stewards to disk. With them a restarted steward finds the others even
// if all seeds of its settings are down, partitioned or removed. saved holds the addresses that are on disk already. A failed write is logged
// and retried at the next interval.
func (b *base) savePeers(store peerStore, saved []string) func(context.Context) error {
	return func(ctx context.Context) error {
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-b.clock.After(peerSaveInterval):
			}
			next, hasChanged := mergePeers(saved, b.node.View())
			if !hasChanged {
				continue
			}
			if err := store.SavePeers(next); err != nil {
				b.log.Error(err, "peer addresses not saved")
				continue
			}
			saved = next
		}
	}
}

// mergePeers returns the control addresses of a view's other live stewards with a disk, followed by the saved addresses. hasChanged reports
// whether the address of one of them is not saved yet. Addresses of other stewards stay saved until there are more than maxKnownPeers
// addresses. Then the oldest are dropped. So a flapping member causes no writes unless more than maxKnownPeers other stewards are alive.
func mergePeers(saved []string, view *membership.View) (next []string, hasChanged bool) {
	for _, member := range view.Stewards {
		isOther := membership.Name(member) != membership.Name(view.Self)
		if !isOther || !member.MayLead() || member.State != wire.StateAlive || member.Control == "" {
			continue
		}
		next = append(next, member.Control)
		hasChanged = hasChanged || !slices.Contains(saved, member.Control)
	}
	for _, address := range saved {
		if !slices.Contains(next, address) {
			next = append(next, address)
		}
	}
	return next[:min(len(next), maxKnownPeers)], hasChanged
}
