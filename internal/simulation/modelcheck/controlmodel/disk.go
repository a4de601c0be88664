package controlmodel

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/storage"
	"gannetline/internal/simulation/simcluster"
)

const (
	shortestSync = 2 * time.Millisecond
	longestSync  = 12 * time.Millisecond
	slowedSync   = 150 * time.Millisecond
	mostPerSync  = 64
)

var errFull = errors.New("no space left on the disk")

type pendingWrite struct {
	write storage.Write
	done  func(storage.Outcome)
}

// disk is the disk of a machine: what was synced stays, what was not is kept or lost as the seed decides.
type disk struct {
	world     *world
	name      string
	shelf     *simcluster.Shelf
	isBare    bool
	isStalled bool
	isSlow    bool
	isFull    bool
	// isFileSafe tells whether the file and its folders have been synced; the real store does so before it answers.
	isFileSafe bool
	waiting    []pendingWrite
	syncing    []pendingWrite
	life       int
	// told is called after each transaction, so that the process takes note.
	told func()
}

func (w *world) newDisk() *disk {
	w.disks++
	return &disk{world: w, name: fmt.Sprintf("disk-%d", w.disks), shelf: simcluster.NewShelf(), isBare: true, isFileSafe: !w.plant.isFileUnsafe}
}

// Disk is the name that an empty disk gave itself.
func (d *disk) Disk() string { return d.name }

// IsNew tells whether nothing was ever kept here.
func (d *disk) IsNew() bool { return d.isBare }

// ReplicaStates are the states of the replicas that were synced.
func (d *disk) ReplicaStates() (map[string]storage.ReplicaState, error) {
	return maps.Clone(d.shelf.Heads), nil
}

// Read gives the synced state of a key.
func (d *disk) Read(key string) (wire.Snapshot, error) { return d.shelf.Read(key) }

// Submit queues a write; done is told what became of it once it was synced.
func (d *disk) Submit(write storage.Write, done func(storage.Outcome)) {
	d.waiting = append(d.waiting, pendingWrite{write, done})
	d.sync()
}

func (d *disk) syncTime() time.Duration {
	wait := shortestSync + time.Duration(d.world.draw.Int64N(int64(longestSync-shortestSync)))
	if d.isSlow {
		wait += slowedSync
	}
	return wait
}

// sync makes all that waits durable in one transaction, as the real store does.
func (d *disk) sync() {
	if d.syncing != nil || d.isStalled || len(d.waiting) == 0 {
		return
	}
	count := min(mostPerSync, len(d.waiting))
	d.syncing, d.waiting = d.waiting[:count:count], d.waiting[count:]
	life := d.life
	d.world.after(d.syncTime(), func() { d.endSync(life) })
}

func (d *disk) endSync(life int) {
	if d.life != life {
		return
	}
	if d.isStalled {
		d.world.after(20*time.Millisecond, func() { d.endSync(life) })
		return
	}
	batch := d.syncing
	d.syncing = nil
	for _, one := range batch {
		one.done(d.commit(one.write))
	}
	d.told()
	d.sync()
}

func (d *disk) commit(write storage.Write) storage.Outcome {
	if d.isFull {
		return storage.Outcome{Err: errFull}
	}
	return d.shelf.Apply(write)
}

// stop ends what the process had under way: a transaction counts as a whole or not at all.
func (d *disk) stop(draw *rand.Rand) {
	d.life++
	if len(d.syncing) > 0 && !d.isFull && draw.IntN(2) == 0 {
		d.world.cover("transaction kept without an answer")
		for _, one := range d.syncing {
			d.shelf.Apply(one.write)
		}
	}
	d.syncing, d.waiting = nil, nil
}
