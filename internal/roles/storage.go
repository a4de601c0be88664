package roles

import (
	"os"
	"slices"

	"github.com/juju/errors"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/replication"
	"gannetline/internal/control/storage"
	"gannetline/internal/platform/logging"
	"gannetline/internal/platform/mailbox"
)

// durableState holds the store and the replicas of a steward. Both are nil if it has no data directory, unless it is a seed, which then uses a
// temporary folder.
type durableState struct {
	folder      string
	isTemporary bool
	store       *storage.Store
	replicas    *replication.Replicas
}

// openStorage opens the data directory of a steward. If the settings name none, a seed uses a temporary folder, and any other steward keeps no
// replicas.
func openStorage(b *base) (*durableState, error) {
	state := &durableState{folder: b.settings.DataDirectory}
	if state.folder == "" {
		state.openTemporary(b)
	} else {
		var err error
		if state.store, err = storage.Open(state.folder); err != nil {
			return nil, errors.Annotate(err, "field data-directory")
		}
	}
	if state.store == nil {
		return state, nil
	}
	var err error
	state.replicas, err = replication.NewReplicas(mailbox.New(4096), state.store, b.clock, replication.DefaultTiming.Lease, replication.WithReplicasLog(b.log))
	return state, err
}

// openTemporary creates a temporary store for a seed without a data directory; the next start creates another. If that fails, the seed
// continues without a store, like any other steward that has no data directory.
func (s *durableState) openTemporary(b *base) {
	if !slices.Contains(b.settings.Seeds, b.settings.Listen.Control) {
		return
	}
	folder, err := os.MkdirTemp("", "gannetline")
	if err == nil {
		s.store, err = storage.Open(folder)
	}
	if err != nil {
		b.log.Error(err, "seed without a disk: field data-directory is empty and no temporary folder can be used")
		return
	}
	s.folder, s.isTemporary = folder, true
}

// member returns the steward's entry for membership, with the identifier of its disk if it has one.
func (s *durableState) member(control string) wire.Member {
	self := wire.Member{Role: "steward", Control: control}
	switch {
	case s.isTemporary:
		self.TemporaryDisk = s.store.Disk()
	case s.store != nil:
		self.Disk = s.store.Disk()
	}
	return self
}

// loadPeers returns the peer addresses that were saved before the last restart, or nil if they can't be read.
func (s *durableState) loadPeers(log logging.Logger) []string {
	if s.store == nil {
		return nil
	}
	addresses, err := s.store.Peers()
	if err != nil {
		log.Error(err, "peer addresses not read")
	}
	return addresses
}

func (s *durableState) close() {
	if s.store != nil {
		s.store.Close()
	}
}
