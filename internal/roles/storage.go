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

// durableState is where a steward keeps its replicas; it has no store on a machine without a disk, unless that is a seed.
type durableState struct {
	folder      string
	isTemporary bool
	store       *storage.Store
	replicas    *replication.Replicas
}

// openStorage opens the data directory of a steward. Without one a seed gets a temporary folder, and any other steward
// has no replicas.
func openStorage(b *base) (*durableState, error) {
	kept := &durableState{folder: b.settings.DataDirectory}
	if kept.folder == "" {
		kept.openTemporary(b)
	} else {
		var err error
		if kept.store, err = storage.Open(kept.folder); err != nil {
			return nil, errors.Annotate(err, "field data-directory")
		}
	}
	if kept.store == nil {
		return kept, nil
	}
	var err error
	kept.replicas, err = replication.NewReplicas(mailbox.New(4096), kept.store, b.clock, replication.DefaultTiming.Lease, replication.WithReplicasLog(b.log))
	return kept, err
}

// openTemporary gives a seed without a disk a folder that does not outlive it; where none can be had, the steward
// goes on without, as any other that has no disk.
func (s *durableState) openTemporary(b *base) {
	if !slices.Contains(b.settings.Seeds, b.settings.Listen.Control) {
		return
	}
	folder, err := os.MkdirTemp("", "gannetline")
	if err == nil {
		s.store, err = storage.Open(folder)
	}
	if err != nil {
		b.log.Error(err, "seed without a disk: field data-directory is empty, and no other folder can be used")
		return
	}
	s.folder, s.isTemporary = folder, true
}

// member describes the steward for membership, with its disk if it has one.
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

// peers are the addresses that an earlier run saved.
func (s *durableState) peers(log logging.Logger) []string {
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
