package roles

import (
	"os"
	"slices"

	"github.com/juju/errors"

	"gannetline/internal/keyowner"
	"gannetline/internal/keystore"
	"gannetline/internal/mailbox"
	"gannetline/internal/siblingwire"
)

// storage is where a steward keeps its replicas; it has no store on a machine without a disk, unless that is a seed.
type storage struct {
	folder      string
	isMakeshift bool
	store       *keystore.Store
	replicas    *keyowner.Replicas
}

func openStorage(b *base) (*storage, error) {
	kept := &storage{folder: b.settings.DataDirectory}
	if kept.folder == "" {
		if !slices.Contains(b.settings.Seeds, b.settings.Listen.Control) {
			return kept, nil
		}
		var err error
		if kept.folder, err = os.MkdirTemp("", "gannetline"); err != nil {
			return nil, errors.Annotate(err, "field data-directory is empty, and no other folder can be made")
		}
		kept.isMakeshift = true
	}
	var err error
	if kept.store, err = keystore.Open(kept.folder); err != nil {
		return nil, errors.Annotate(err, "field data-directory")
	}
	kept.replicas, err = keyowner.NewReplicas(mailbox.New(4096), kept.store, b.clock, keyowner.DefaultTiming.Lease)
	return kept, err
}

func (s *storage) member(control string) siblingwire.Member {
	self := siblingwire.Member{Role: "steward", Control: control}
	switch {
	case s.isMakeshift:
		self.Makeshift = s.store.Disk()
	case s.store != nil:
		self.Disk = s.store.Disk()
	}
	return self
}

func (s *storage) close() {
	if s.store != nil {
		s.store.Close()
	}
}
