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
	minSyncTime   = 2 * time.Millisecond
	maxSyncTime   = 12 * time.Millisecond
	slowSyncDelay = 150 * time.Millisecond
	maxPerSync    = 64
)

var errFull = errors.New("no space left on the disk")

type pendingWrite struct {
	write storage.Write
	done  func(storage.Outcome)
}

// disk is the disk of a machine: what was synced stays, what was not is kept or lost as the seed decides.
type disk struct {
	cluster *simCluster
	// number counts the disks of a run from 1; name is made of it.
	number    int
	name      string
	model     *simcluster.DiskModel
	isNew     bool
	isStalled bool
	isSlow    bool
	isFull    bool
	// isFileSafe tells whether the file and its folders have been synced; the real store does so before it answers.
	isFileSafe  bool
	waiting     []pendingWrite
	syncing     []pendingWrite
	incarnation int
	// answered is called after each transaction, so that the process takes note.
	afterTransaction func()
}

func (w *simCluster) newDisk() *disk {
	w.disks++
	return &disk{cluster: w, number: w.disks, name: fmt.Sprintf("disk-%d", w.disks), model: simcluster.NewDiskModel(), isNew: true, isFileSafe: !w.fault.isFileUnsafe}
}

// Disk is the name that an empty disk gave itself.
func (d *disk) Disk() string { return d.name }

// IsNew tells whether nothing was ever kept here.
func (d *disk) IsNew() bool { return d.isNew }

// ReplicaStates are the states of the replicas that were synced.
func (d *disk) ReplicaStates() (map[string]storage.ReplicaState, error) {
	return maps.Clone(d.model.Heads), nil
}

// Read gives the synced state of a key.
func (d *disk) Read(key string) (wire.Snapshot, error) { return d.model.Read(key) }

// Submit queues a write; done is told what became of it once it was synced.
func (d *disk) Submit(write storage.Write, done func(storage.Outcome)) {
	d.waiting = append(d.waiting, pendingWrite{write, done})
	d.sync()
}

func (d *disk) syncTime() time.Duration {
	wait := minSyncTime + time.Duration(d.cluster.random.Int64N(int64(maxSyncTime-minSyncTime)))
	if d.isSlow {
		wait += slowSyncDelay
	}
	return wait
}

// sync makes all that waits durable in one transaction, as the real store does.
func (d *disk) sync() {
	if d.syncing != nil || d.isStalled || len(d.waiting) == 0 {
		return
	}
	count := min(maxPerSync, len(d.waiting))
	d.syncing, d.waiting = d.waiting[:count:count], d.waiting[count:]
	incarnation := d.incarnation
	d.cluster.after(d.syncTime(), func() { d.endSync(incarnation) })
}

// endSync commits what was being synced and begins the next batch; a stalled disk tries again later.
func (d *disk) endSync(incarnation int) {
	if d.incarnation != incarnation {
		return
	}
	if d.isStalled {
		d.cluster.after(20*time.Millisecond, func() { d.endSync(incarnation) })
		return
	}
	batch := d.syncing
	d.syncing = nil
	for _, write := range batch {
		write.done(d.commit(write.write))
	}
	d.afterTransaction()
	d.sync()
}

func (d *disk) commit(write storage.Write) storage.Outcome {
	if d.isFull {
		return storage.Outcome{Err: errFull}
	}
	return d.model.Apply(write)
}

// stop ends what the process had under way: a transaction counts as a whole or not at all.
func (d *disk) stop(random *rand.Rand) {
	d.incarnation++
	if len(d.syncing) > 0 && !d.isFull && random.IntN(2) == 0 {
		d.cluster.countCoverage("transaction kept without an answer")
		for _, write := range d.syncing {
			d.model.Apply(write.write)
		}
	}
	d.syncing, d.waiting = nil, nil
}
