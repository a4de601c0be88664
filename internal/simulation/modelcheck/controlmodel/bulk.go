package controlmodel

import (
	"bytes"
	"fmt"
	"slices"

	"gannetline/internal/cluster/peerapi/wire"
)

// In a schedule with the step "bulk" each change also writes one of a few large pairs, or of many if the schedule is a
// large one, so that whole states are sent in several chunks, and replicas keep only the last few changes.
const (
	bulkPairs    = 5
	maxBulkPairs = 40
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
type bulkState [maxBulkPairs]byte

func bulkName(index int) string { return fmt.Sprintf("bulk-%d", index) }

// bulkOf reads the first byte of each bulk pair.
func bulkOf(pairs []wire.Op) bulkState {
	var state bulkState
	for index := range state {
		at := slices.IndexFunc(pairs, func(pair wire.Op) bool { return pair.Name == bulkName(index) })
		if at >= 0 {
			state[index] = pairs[at].Value[0]
		}
	}
	return state
}

// bulkLeadership adds a large pair to each change, and notes what the snapshot is then.
type bulkLeadership struct {
	keyLeadership
	cluster *simCluster
	state   bulkState
}

// Commit proposes the change with the large pair that belongs to it.
func (t *bulkLeadership) Commit(ops []wire.Op, done func(error)) {
	committed := configurationOf(ops)
	if committed == nil {
		t.keyLeadership.Commit(ops, done)
		return
	}
	// The pair follows from the body, so that a change proposed again by another leader leads to the same state.
	digest := digestOf(committed.Body)
	index, value := int(digest[0])%t.cluster.bulkPairs, bulkValues[int(digest[1])%bulkVariants]
	next := t.state
	next[index] = value[0]
	t.cluster.oracleState.bulk[digest] = next
	ops = append(slices.Clone(ops), wire.Op{Name: bulkName(index), Value: value})
	t.keyLeadership.Commit(ops, func(err error) {
		if err == nil {
			t.state = next
		}
		done(err)
	})
}

// checkBulk looks whether the large pairs are those that the newest change left behind.
func (w *simCluster) checkBulk(n *simNode, pairs []wire.Op, committed *wire.Configuration) {
	if !w.isBulk || committed == nil {
		return
	}
	if want, state := w.oracleState.bulk[digestOf(committed.Body)], bulkOf(pairs); want != state {
		w.reportViolation("a state is whole", "%s opens version %d with large pairs %v, not %v", n.name, committed.Version, state, want)
	}
}
