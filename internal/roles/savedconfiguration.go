package roles

import (
	"context"
	"time"

	"gannetline/internal/cluster/configcache"
	"gannetline/internal/cluster/peerapi/wire"
)

// configurationSaveInterval is the time between two checks for a newer configuration to save. Versions in between are not saved.
const configurationSaveInterval = time.Second

// configurationStore stores one configuration on disk. Configuration returns nil if none was saved.
type configurationStore interface {
	SaveConfiguration(committed *wire.Configuration) error
	Configuration() (*wire.Configuration, error)
}

// restoreConfiguration loads the configuration that was last in force in this process and returns its version, or 0 if none was saved. With it
// gates can serve clients after a power loss of the whole cluster while the leader is still being elected. The saved version was committed,
// since only configurations in force are saved. It may be outdated; newer versions then arrive in the usual way.
func (b *base) restoreConfiguration(store configurationStore, configurations *configcache.Cache) int64 {
	saved, err := store.Configuration()
	switch {
	case err != nil:
		b.log.Error(err, "saved configuration not used")
	case saved != nil:
		configurations.AdoptIfNewer(saved)
		return saved.Version
	}
	return 0
}

// saveConfiguration returns a part that saves the configuration in force to disk whenever its version is above saved, the version that is on
// disk already. A failed write is logged and retried at the next interval.
func (b *base) saveConfiguration(store configurationStore, configurations *configcache.Cache, saved int64) func(context.Context) error {
	return func(ctx context.Context) error {
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-b.clock.After(configurationSaveInterval):
			}
			current := configurations.Current()
			if current == nil || current.Committed.Version <= saved {
				continue
			}
			if err := store.SaveConfiguration(current.Committed); err != nil {
				b.log.Error(err, "configuration not saved")
				continue
			}
			saved = current.Committed.Version
		}
	}
}
