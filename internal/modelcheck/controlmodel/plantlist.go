package controlmodel

import (
	"maps"
	"slices"

	"gannetline/internal/replication"
	"gannetline/internal/storage"
)

var plants = map[string]plant{
	"promise-before-sync": {about: "A replica answers a promise or a change before its disk has synced it.",
		disk: func(_ *node, inner replication.Disk) replication.Disk { return &hastyDisk{inner.(*disk)} }},
}

func plantNames() []string { return slices.Sorted(maps.Keys(plants)) }

// hastyDisk answers at once, and writes later.
type hastyDisk struct{ *disk }

func (d *hastyDisk) Submit(write storage.Write, done func(storage.Outcome)) {
	head := d.shelf.Heads[write.Key]
	for _, one := range append(slices.Clone(d.syncing), d.waiting...) {
		outcome, _ := storage.Decide(head, one.write)
		head = outcome.Head
	}
	outcome, _ := storage.Decide(head, write)
	d.disk.Submit(write, func(storage.Outcome) {})
	d.world.after(0, func() {
		done(outcome)
		d.told()
	})
}
