package stage

import (
	"maps"
	"slices"
	"time"

	"gannetline/internal/keystore"
	"gannetline/internal/siblingwire"
)

// Disk keeps what was synced; a loss of power takes away what was not.
type Disk struct {
	line     *Line
	name     string
	isBare   bool
	heads    map[string]keystore.Head
	pairs    map[string]map[string][]byte
	waiting  []func()
	life     int
	isBusy   bool
	SyncTime time.Duration
	Stalled  bool
	settled  func()
}

func NewDisk(line *Line, name string, syncTime time.Duration) *Disk {
	return &Disk{line: line, name: name, isBare: true, heads: map[string]keystore.Head{}, pairs: map[string]map[string][]byte{}, SyncTime: syncTime}
}

func (d *Disk) Disk() string { return d.name }
func (d *Disk) Bare() bool   { return d.isBare }

func (d *Disk) Heads() (map[string]keystore.Head, error) { return maps.Clone(d.heads), nil }

func (d *Disk) Read(key string) (siblingwire.Snapshot, error) {
	whole := siblingwire.Snapshot{Last: d.heads[key].Last, Set: d.heads[key].Set}
	for _, name := range slices.Sorted(maps.Keys(d.pairs[key])) {
		whole.Pairs = append(whole.Pairs, siblingwire.Op{Name: name, Value: d.pairs[key][name]})
	}
	return whole, nil
}

func (d *Disk) Submit(write keystore.Write, done func(keystore.Outcome)) {
	d.waiting = append(d.waiting, func() { done(d.apply(write)) })
	d.sync()
}

// sync writes all that waits together, as the real store does.
func (d *Disk) sync() {
	if d.isBusy || d.Stalled || len(d.waiting) == 0 {
		return
	}
	d.isBusy = true
	life, batch := d.life, d.waiting
	d.waiting = nil
	d.line.After(d.SyncTime, func() {
		if d.life != life {
			return
		}
		d.isBusy = false
		for _, one := range batch {
			one()
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
	d.life++
	d.isBusy, d.waiting, d.isBare = false, nil, false
}

func (d *Disk) apply(write keystore.Write) keystore.Outcome {
	head := d.heads[write.Key]
	isStale := write.Epoch < head.Promised || write.Promise && write.Epoch == head.Promised
	isGap := !write.Promise && write.Snapshot == nil && write.Prev != head.Last
	if isStale || isGap {
		return keystore.Outcome{Head: head}
	}
	if write.Snapshot != nil {
		if write.Snapshot.Last.Below(head.Last) && head.Last.Epoch == write.Epoch {
			return keystore.Outcome{Head: head}
		}
		d.pairs[write.Key] = nil
		d.put(write.Key, write.Snapshot.Pairs)
		head.Last, head.Set = write.Snapshot.Last, write.Snapshot.Set
	}
	for _, change := range write.Changes {
		d.put(write.Key, change.Ops)
		head.Last = change.Stamp
		if change.Set != nil {
			head.Set = *change.Set
		}
	}
	head.Promised = write.Epoch
	d.heads[write.Key] = head
	return keystore.Outcome{Taken: true, Head: head}
}

func (d *Disk) put(key string, ops []siblingwire.Op) {
	if d.pairs[key] == nil {
		d.pairs[key] = map[string][]byte{}
	}
	for _, op := range ops {
		if len(op.Value) == 0 {
			delete(d.pairs[key], op.Name)
			continue
		}
		d.pairs[key][op.Name] = op.Value
	}
}
