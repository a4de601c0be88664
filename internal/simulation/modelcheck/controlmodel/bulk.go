package controlmodel

import (
	"bytes"
	"fmt"
	"slices"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/configleader"
)

// In a schedule with the step "bulk" each change also writes one of a few large pairs, or of many if the schedule is a
// large one, so that whole states are sent in several chunks, and replicas keep only the last few changes.
const (
	bulkPairs    = 5
	mostPairs    = 40
	bulkSize     = 90 << 10
	bulkVariants = 32
)

// bulkValues are the values that large pairs may have; they are shared and never changed.
var bulkValues = makeBulkValues()

func makeBulkValues() [][]byte {
	values := make([][]byte, bulkVariants)
	for variant := range values {
		values[variant] = bytes.Repeat([]byte{byte('A' + variant)}, bulkSize)
	}
	return values
}

// bulkState is the variant of each large pair; 0 where there is none.
type bulkState [mostPairs]byte

func bulkName(place int) string { return fmt.Sprintf("bulk-%d", place) }

func bulkOf(pairs []wire.Op) bulkState {
	var held bulkState
	for place := range held {
		at := slices.IndexFunc(pairs, func(pair wire.Op) bool { return pair.Name == bulkName(place) })
		if at >= 0 {
			held[place] = pairs[at].Value[0]
		}
	}
	return held
}

// bulkTenure adds a large pair to each change, and notes what the whole state is then.
type bulkTenure struct {
	configleader.Leadership
	world *world
	held  bulkState
}

// Commit proposes the change with the large pair that belongs to it.
func (t *bulkTenure) Commit(ops []wire.Op, done func(error)) {
	fact := factOf(ops)
	if fact == nil {
		t.Leadership.Commit(ops, done)
		return
	}
	// The pair follows from the body, so that a change proposed again by another leader leads to the same state.
	digest := digestOf(fact.Body)
	place, value := int(digest[0])%t.world.bulkPairs, bulkValues[int(digest[1])%bulkVariants]
	next := t.held
	next[place] = value[0]
	t.world.record.bulk[digest] = next
	ops = append(slices.Clone(ops), wire.Op{Name: bulkName(place), Value: value})
	t.Leadership.Commit(ops, func(err error) {
		if err == nil {
			t.held = next
		}
		done(err)
	})
}

// checkBulk looks whether the large pairs are those that the newest change left behind.
func (w *world) checkBulk(n *node, pairs []wire.Op, fact *wire.Configuration) {
	if !w.isBulk || fact == nil {
		return
	}
	if want, held := w.record.bulk[digestOf(fact.Body)], bulkOf(pairs); want != held {
		w.violated("a state is whole", "%s opens version %d with large pairs %v, not %v", n.name, fact.Version, held, want)
	}
}
