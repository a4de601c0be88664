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
	minSyncTime = 2 * time.Millisecond
	maxSyncTime = 12 * time.Millisecond
	// slowSyncDelay is the additional time of each sync of a slow disk.
	slowSyncDelay = 150 * time.Millisecond
	// maxPerSync is the maximum number of writes in a transaction.
	maxPerSync = 64
)

var errFull = errors.New("no space left on the disk")

type pendingWrite struct {
	write storage.Write
	done  func(storage.Outcome)
}

// disk is the disk of a machine. Synced writes survive the end of the process. The writes of a transaction that is being synced at that time
// survive or get lost, as the seed decides.
type disk struct {
	cluster *simCluster
	// number counts the disks of a run from 1. name contains it.
	number    int
	name      string
	model     *simcluster.DiskModel
	isNew     bool
	isStalled bool
	isSlow    bool
	isFull    bool
	// isRetiring is set if the disk holds an order to empty its machine.
	isRetiring bool
	// isFileSafe is set if the replica file and its folders have been synced. The real store syncs them before it answers.
	isFileSafe bool
	// waiting are the writes of later transactions. syncing are those of the current one.
	waiting []pendingWrite
	syncing []pendingWrite
	// incarnation counts the processes that have ended on this disk.
	incarnation int
	// afterTransaction is called after the outcomes of a transaction were delivered, so that the process handles them.
	afterTransaction func()
}

func (sim *simCluster) newDisk() *disk {
	sim.diskCount++
	return &disk{cluster: sim, number: sim.diskCount, name: fmt.Sprintf("disk-%d", sim.diskCount), model: simcluster.NewDiskModel(), isNew: true, isFileSafe: !sim.fault.isFileUnsafe}
}

// Disk returns the name that the disk got when it was empty.
func (d *disk) Disk() string { return d.name }

// IsNew reports whether no process has started on this disk yet.
func (d *disk) IsNew() bool { return d.isNew }

// ReplicaStates returns the synced state of each replica, by key.
func (d *disk) ReplicaStates() (map[string]storage.ReplicaState, error) {
	return maps.Clone(d.model.Heads), nil
}

// Read returns the synced state of a key.
func (d *disk) Read(key string) (wire.Snapshot, error) { return d.model.Read(key) }

// Submit queues a write. done receives the outcome once the write is synced, or has failed because the disk is full.
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

// sync starts a transaction of up to maxPerSync waiting writes, unless one runs or the disk is stalled. The real store batches likewise.
func (d *disk) sync() {
	if d.syncing != nil || d.isStalled || len(d.waiting) == 0 {
		return
	}
	count := min(maxPerSync, len(d.waiting))
	d.syncing, d.waiting = d.waiting[:count:count], d.waiting[count:]
	incarnation := d.incarnation
	d.cluster.after(d.syncTime(), func() { d.endSync(incarnation) })
}

// endSync commits the current transaction and starts the next one. A stalled disk tries again after 20 ms.
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

// stop drops the pending writes of a process that ended. The transaction that is being synced is committed as a whole or not at all.
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
