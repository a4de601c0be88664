package roles

import (
	"context"
	"slices"
	"time"

	"gannetline/internal/cluster/membership"
	"gannetline/internal/cluster/peerapi/wire"
)

const (
	peersSaveEvery = 10 * time.Second
	maxKnownPeers  = 16
)

// peerStore keeps addresses of peers on disk.
type peerStore interface {
	SavePeers(addresses []string) error
}

// savePeers keeps the control addresses of live stewards on disk, so that a steward that restarts finds the others
// even where its settings name only seeds that are down, cut off or gone. It begins with the addresses
// that are saved already. Failures are logged and tried again.
func (b *base) savePeers(store peerStore, saved []string) func(context.Context) error {
	return func(ctx context.Context) error {
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-b.clock.After(peersSaveEvery):
			}
			next, hasChanged := withPeers(saved, b.node.View())
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

// withPeers puts the live stewards of a view before the addresses that were saved; it tells whether any is new.
// Addresses are dropped, the oldest first, only for new ones, so that a member that flaps costs no writes.
func withPeers(saved []string, view *membership.View) (next []string, hasChanged bool) {
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
