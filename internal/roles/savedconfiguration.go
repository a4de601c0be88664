package roles

import (
	"context"
	"time"

	"gannetline/internal/cluster/configcache"
	"gannetline/internal/cluster/peerapi/wire"
)

// configurationSaveEvery is how often a newer configuration is saved; versions between are left out.
const configurationSaveEvery = time.Second

// configurationStore keeps a configuration on disk.
type configurationStore interface {
	SaveConfiguration(committed *wire.Configuration) error
	Configuration() (*wire.Configuration, error)
}

// restoreConfiguration gives the process the configuration that was last in force here, so that after a loss of all power gates serve by it
// while the leader is still being elected. It may be older than the newest, which then comes as any newer version does; it was committed,
// as only what was in force is saved. It gives the version, 0 if none was saved.
func (b *base) restoreConfiguration(store configurationStore, configurations *configcache.Cache) int64 {
	saved, err := store.Configuration()
	switch {
	case err != nil:
		b.log.Error(err, "saved configuration not used")
	case saved != nil:
		configurations.Hold(saved)
		return saved.Version
	}
	return 0
}

// saveConfiguration keeps the configuration in force on disk, from the version on that is there already. Failures are logged and tried again.
func (b *base) saveConfiguration(store configurationStore, configurations *configcache.Cache, saved int64) func(context.Context) error {
	return func(ctx context.Context) error {
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-b.clock.After(configurationSaveEvery):
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
