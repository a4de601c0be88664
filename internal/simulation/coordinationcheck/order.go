package coordinationcheck

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
)

const (
	// maxOperations is the highest number of calls to a cell that are checked for an order, as the cost rises steeply with it.
	maxOperations = 64
	// orderTimeout is how long the check may take for one cell.
	orderTimeout = 2 * time.Second
)

// cellState is the state of the sequential model of one cell.
type cellState struct {
	value    string
	revision uint64
}

// sequentialPut is a put in the sequential model: accepted with a revision, or refused because the cell was at the revision refusedAt.
type sequentialPut struct {
	value               string
	expected            uint64
	isTaken             bool
	revision, refusedAt uint64
}

// sequentialCell is the sequential model of a cell, a register with compare-and-put. The output of an operation is a sequentialPut, or the
// cellState that was read.
var sequentialCell = porcupine.Model{
	Init: func() any { return cellState{} },
	Step: func(state, _, output any) (bool, any) {
		current := state.(cellState)
		switch observed := output.(type) {
		case cellState:
			return current == observed, current
		case sequentialPut:
			if observed.isTaken {
				return current.revision == observed.expected, cellState{observed.value, observed.revision}
			}
			return current.revision == observed.refusedAt && current.revision != observed.expected, current
		}
		return false, current
	},
}

// checkOrder checks that the calls to each cell fit a sequential order. A put without a definite answer may take effect at any later
// time, or never, so it is left out if no answer ever showed it. checkOrder returns the number of cells that could not be decided.
func (c *checker) checkOrder() (undecided int) {
	histories, isAmbiguous := map[string][]porcupine.Operation{}, map[string]bool{}
	add := func(name string, output any, from, to time.Duration) {
		histories[name] = append(histories[name], porcupine.Operation{ClientId: len(histories[name]), Output: output, Call: int64(from), Return: int64(to)})
	}
	for _, group := range c.groups {
		maps.Copy(isAmbiguous, group.attributeRevisions())
		for _, put := range group.puts {
			revision := group.revisions[put]
			switch {
			case len(put.Answers) > 0:
				first := put.Answers[0]
				add(put.Name, sequentialPut{put.Value, put.Expected, first.IsTaken, revision, first.Revision}, put.SentAt, first.At)
			case revision > 0:
				add(put.Name, sequentialPut{put.Value, put.Expected, true, revision, 0}, put.SentAt, math.MaxInt64)
			}
		}
	}
	for _, read := range c.history.Reads {
		add(read.Name, cellState{read.Value, read.Revision}, read.SentAt, read.At)
	}
	for _, name := range slices.Sorted(maps.Keys(histories)) {
		operations := histories[name]
		if isAmbiguous[name] || len(operations) > maxOperations {
			undecided++
			continue
		}
		switch porcupine.CheckOperationsTimeout(sequentialCell, operations, orderTimeout) {
		case porcupine.Illegal:
			c.addViolation(OracleLinearizable, time.Duration(operations[0].Call), "%d calls about %s fit no order", len(operations), name)
		case porcupine.Unknown:
			undecided++
		}
	}
	return undecided
}

// attributeRevisions finds the puts of revisions that are known only from refusals. Such a revision belongs to a put without a definite
// answer. A cell is returned as ambiguous if such a revision can belong to no put or to several.
func (g *group) attributeRevisions() (ambiguous map[string]bool) {
	ambiguous = map[string]bool{}
	for _, refused := range g.puts {
		if len(refused.Answers) == 0 || refused.Answers[0].IsTaken {
			continue
		}
		revision := refused.Answers[0].Revision
		if revision == 0 || g.shown[revision] != nil {
			continue
		}
		var candidates []*Put
		for _, put := range g.puts {
			if put.Name == refused.Name && put.IsOpen && len(put.Answers) == 0 && g.revisions[put] == 0 {
				candidates = append(candidates, put)
			}
		}
		if len(candidates) != 1 {
			ambiguous[refused.Name] = true
			continue
		}
		g.revisions[candidates[0]], g.shown[revision] = revision, candidates[0]
	}
	return ambiguous
}
