package simcluster

import (
	"maps"
	"slices"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/storage"
)

// DiskModel is what lies on a disk; it takes writes as the real store does.
type DiskModel struct {
	Heads map[string]storage.ReplicaState
	pairs map[string]map[string][]byte
}

// NewDiskModel makes an empty disk content.
func NewDiskModel() *DiskModel {
	return &DiskModel{Heads: map[string]storage.ReplicaState{}, pairs: map[string]map[string][]byte{}}
}

// Read gives back the snapshot of a key.
func (s *DiskModel) Read(key string) (wire.Snapshot, error) {
	snapshot := wire.Snapshot{Last: s.Heads[key].Last, Voters: s.Heads[key].Voters}
	for _, name := range slices.Sorted(maps.Keys(s.pairs[key])) {
		snapshot.Pairs = append(snapshot.Pairs, wire.Op{Name: name, Value: s.pairs[key][name]})
	}
	return snapshot, nil
}

// Apply carries out what the store decides on a write.
func (s *DiskModel) Apply(write storage.Write) storage.Outcome {
	outcome, update := storage.Decide(s.Heads[write.Key], write)
	if !outcome.Taken {
		return outcome
	}
	if update.Clear {
		s.pairs[write.Key] = nil
	}
	if len(update.Ops) > 0 {
		s.put(write.Key, update.Ops)
	}
	s.Heads[write.Key] = outcome.State
	return outcome
}

// put writes pairs; one with an empty value is deleted.
func (s *DiskModel) put(key string, ops []wire.Op) {
	if s.pairs[key] == nil {
		s.pairs[key] = map[string][]byte{}
	}
	for _, op := range ops {
		if len(op.Value) == 0 {
			delete(s.pairs[key], op.Name)
			continue
		}
		s.pairs[key][op.Name] = op.Value
	}
}

// Disk keeps what was synced; a loss of power takes away what was not.
type Disk struct {
	*DiskModel
	pendingWrites *EventQueue
	name          string
	isBare        bool
	waiting       []func()
	incarnation   int
	isBusy        bool
	SyncTime      time.Duration
	Stalled       bool
	settled       func()
}

// NewDisk makes an empty disk whose syncs take so long.
func NewDisk(events *EventQueue, name string, syncTime time.Duration) *Disk {
	return &Disk{DiskModel: NewDiskModel(), pendingWrites: events, name: name, isBare: true, SyncTime: syncTime}
}

// Disk is the name of the disk.
func (d *Disk) Disk() string { return d.name }

// IsNew says whether the disk held nothing when its process started.
func (d *Disk) IsNew() bool { return d.isBare }

// ReplicaStates are copies of the states of all replicas on the disk.
func (d *Disk) ReplicaStates() (map[string]storage.ReplicaState, error) {
	return maps.Clone(d.DiskModel.Heads), nil
}

// Submit queues a write; done is called with its outcome once it has been synced, and never if the power goes first.
func (d *Disk) Submit(write storage.Write, done func(storage.Outcome)) {
	d.waiting = append(d.waiting, func() { done(d.Apply(write)) })
	d.sync()
}

// sync writes all that waits together, as the real store does.
func (d *Disk) sync() {
	if d.isBusy || d.Stalled || len(d.waiting) == 0 {
		return
	}
	d.isBusy = true
	incarnation, batch := d.incarnation, d.waiting
	d.waiting = nil
	d.pendingWrites.After(d.SyncTime, func() {
		if d.incarnation != incarnation {
			return
		}
		d.isBusy = false
		for _, task := range batch {
			task()
		}
		d.settled()
		d.sync()
	})
}

// Stall makes the disk hang, or go on.
func (d *Disk) Stall(isStalled bool) {
	d.Stalled = isStalled
	d.sync()
}

func (d *Disk) losePower() {
	d.incarnation++
	d.isBusy, d.waiting, d.isBare = false, nil, false
}
