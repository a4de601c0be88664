package controlmodel

import (
	"bytes"
	"fmt"
	"slices"

	"gannetline/internal/cluster/peerapi/wire"
)

// In a schedule with the step "bulk" each change also writes one of bulkPairs large pairs, in large schedules one of maxBulkPairs. Snapshots
// are then sent in several chunks, and replicas keep only the last few changes. bulkSize is the size of a large pair's value in bytes,
// bulkVariants the number of different values.
const (
	bulkPairs    = 5
	maxBulkPairs = 40
	bulkSize     = 90 << 10
	bulkVariants = 32
)

// bulkValues are the values that large pairs may have. They are shared and must not be modified.
var bulkValues = makeBulkValues()

func makeBulkValues() [][]byte {
	values := make([][]byte, bulkVariants)
	for variant := range values {
		values[variant] = bytes.Repeat([]byte{byte('A' + variant)}, bulkSize)
	}
	return values
}

// bulkState is the first byte of each large pair's value, which identifies the value. It is 0 for a pair that does not exist.
type bulkState [maxBulkPairs]byte

func bulkName(index int) string { return fmt.Sprintf("bulk-%d", index) }

// bulkOf returns the state of the large pairs among the pairs of the key.
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

// bulkLeadership adds a large pair to each change of the configuration, and records the state of the large pairs after it.
type bulkLeadership struct {
	keyLeadership
	cluster *simCluster
	// state is the state of the large pairs after the last committed change.
	state bulkState
}

// Commit proposes a change of the configuration together with its large pair. Other changes get none.
func (l *bulkLeadership) Commit(ops []wire.Op, done func(error)) {
	committed := configurationOf(ops)
	if committed == nil {
		l.keyLeadership.Commit(ops, done)
		return
	}
	// The pair is derived from the body, so that a change that another leader proposes again leads to the same state.
	digest := digestOf(committed.Body)
	index, value := int(digest[0])%l.cluster.bulkPairs, bulkValues[int(digest[1])%bulkVariants]
	next := l.state
	next[index] = value[0]
	l.cluster.oracleState.bulk[digest] = next
	ops = append(slices.Clone(ops), wire.Op{Name: bulkName(index), Value: value})
	l.keyLeadership.Commit(ops, func(err error) {
		if err == nil {
			l.state = next
		}
		done(err)
	})
}

// checkBulk is an oracle: the large pairs of a new leader are in the state that its newest change of the configuration leads to.
func (sim *simCluster) checkBulk(n *simNode, pairs []wire.Op, committed *wire.Configuration) {
	if !sim.isBulk || committed == nil {
		return
	}
	if want, state := sim.oracleState.bulk[digestOf(committed.Body)], bulkOf(pairs); want != state {
		sim.reportViolation("a state is whole", "%s opens version %d with large pairs %v, not %v", n.name, committed.Version, state, want)
	}
}
