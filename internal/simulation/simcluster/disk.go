package simcluster

import (
	"maps"
	"slices"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/storage"
)

// DiskModel is the content of a disk by key: the replica states (Heads) and the pairs. It accepts and rejects writes as the real store does.
type DiskModel struct {
	Heads map[string]storage.ReplicaState
	pairs map[string]map[string][]byte
}

// NewDiskModel creates the content of an empty disk.
func NewDiskModel() *DiskModel {
	return &DiskModel{Heads: map[string]storage.ReplicaState{}, pairs: map[string]map[string][]byte{}}
}

// Read returns the snapshot of a key, with its pairs sorted by name.
func (m *DiskModel) Read(key string) (wire.Snapshot, error) {
	snapshot := wire.Snapshot{Last: m.Heads[key].Last, Voters: m.Heads[key].Voters}
	for _, name := range slices.Sorted(maps.Keys(m.pairs[key])) {
		snapshot.Pairs = append(snapshot.Pairs, wire.Op{Name: name, Value: m.pairs[key][name]})
	}
	return snapshot, nil
}

// Apply carries out a write as storage.Decide decides, and returns the outcome. A write that is not taken changes nothing.
func (m *DiskModel) Apply(write storage.Write) storage.Outcome {
	outcome, update := storage.Decide(m.Heads[write.Key], write)
	if !outcome.Taken {
		return outcome
	}
	if update.Clear {
		m.pairs[write.Key] = nil
	}
	if len(update.Ops) > 0 {
		m.put(write.Key, update.Ops)
	}
	m.Heads[write.Key] = outcome.State
	return outcome
}

// put writes pairs. A pair with an empty value is deleted.
func (m *DiskModel) put(key string, ops []wire.Op) {
	if m.pairs[key] == nil {
		m.pairs[key] = map[string][]byte{}
	}
	for _, op := range ops {
		if len(op.Value) == 0 {
			delete(m.pairs[key], op.Name)
			continue
		}
		m.pairs[key][op.Name] = op.Value
	}
}

// Disk is the simulated disk of a steward. Writes take effect when they are synced; a power loss discards writes that are not. afterSync is
// called after each sync. isBusy is set while a sync is in progress.
type Disk struct {
	*DiskModel
	events       *EventQueue
	name         string
	isNew        bool
	queuedWrites []func()
	incarnation  int
	isBusy       bool
	SyncTime     time.Duration
	Stalled      bool
	afterSync    func()
}

// NewDisk creates an empty disk. Each sync takes syncTime.
func NewDisk(events *EventQueue, name string, syncTime time.Duration) *Disk {
	return &Disk{DiskModel: NewDiskModel(), events: events, name: name, isNew: true, SyncTime: syncTime}
}

// Disk returns the name of the disk.
func (d *Disk) Disk() string { return d.name }

// IsNew reports whether the disk has had no power loss yet, and so was empty when its process started.
func (d *Disk) IsNew() bool { return d.isNew }

// ReplicaStates returns a copy of the states of all replicas on the disk.
func (d *Disk) ReplicaStates() (map[string]storage.ReplicaState, error) {
	return maps.Clone(d.DiskModel.Heads), nil
}

// Submit queues a write. done is called with its outcome after it has been synced, and never if the power fails before.
func (d *Disk) Submit(write storage.Write, done func(storage.Outcome)) {
	d.queuedWrites = append(d.queuedWrites, func() { done(d.Apply(write)) })
	d.sync()
}

// sync writes all queued writes in one batch, as the real store does.
func (d *Disk) sync() {
	if d.isBusy || d.Stalled || len(d.queuedWrites) == 0 {
		return
	}
	d.isBusy = true
	incarnation, batch := d.incarnation, d.queuedWrites
	d.queuedWrites = nil
	d.events.After(d.SyncTime, func() {
		if d.incarnation != incarnation {
			return
		}
		d.isBusy = false
		for _, apply := range batch {
			apply()
		}
		d.afterSync()
		d.sync()
	})
}

// Stall makes the disk hang, or resumes it. A sync in progress still completes. Writes that are queued meanwhile are synced after it resumes.
func (d *Disk) Stall(isStalled bool) {
	d.Stalled = isStalled
	d.sync()
}

func (d *Disk) losePower() {
	d.incarnation++
	d.isBusy, d.queuedWrites, d.isNew = false, nil, false
}
