package coordinationcheck

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
)

const (
	// maxOperations is how many calls about a cell are put in order; what that costs rises steeply.
	maxOperations = 64
	// orderLimit is how long that may take for a cell.
	orderLimit = 2 * time.Second
)

// cellState is the state of the sequential model of one cell.
type cellState struct {
	value    string
	revision uint64
}

// sequentialPut is a put as the sequential model sees it: taken under a revision, or refused as the cell had one.
type sequentialPut struct {
	value                string
	expected             uint64
	isTaken              bool
	revision, refusedFor uint64
}

// sequentialCell is a register with compare-and-put. The outputs are a sequentialPut, or the cellState that was read.
var sequentialCell = porcupine.Model{
	Init: func() any { return cellState{} },
	Step: func(state, _, output any) (bool, any) {
		held := state.(cellState)
		switch seen := output.(type) {
		case cellState:
			return held == seen, held
		case sequentialPut:
			if seen.isTaken {
				return held.revision == seen.expected, cellState{seen.value, seen.revision}
			}
			return held.revision == seen.refusedFor && held.revision != seen.expected, held
		}
		return false, held
	},
}

// judgeOrder looks whether the calls about each cell fit an order. A put without a clear answer may take effect at any later time, or
// never: one that nobody ever saw is left out. It gives the number of cells that were not decided.
func (j *judge) judgeOrder() (undecided int) {
	histories, isUnsure := map[string][]porcupine.Operation{}, map[string]bool{}
	add := func(name string, output any, from, to time.Duration) {
		histories[name] = append(histories[name], porcupine.Operation{ClientId: len(histories[name]), Output: output, Call: int64(from), Return: int64(to)})
	}
	for _, group := range j.groups {
		maps.Copy(isUnsure, group.attributeRevisions())
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
	for _, read := range j.history.Reads {
		add(read.Name, cellState{read.Value, read.Revision}, read.SentAt, read.At)
	}
	for _, name := range slices.Sorted(maps.Keys(histories)) {
		operations := histories[name]
		if isUnsure[name] || len(operations) > maxOperations {
			undecided++
			continue
		}
		switch porcupine.CheckOperationsTimeout(sequentialCell, operations, orderLimit) {
		case porcupine.Illegal:
			j.violated(OracleLinearizable, time.Duration(operations[0].Call), "%d calls about %s fit no order", len(operations), name)
		case porcupine.Unknown:
			undecided++
		}
	}
	return undecided
}

// attributeRevisions finds the puts of revisions that are known from refusals alone: such a revision belongs to a put without a clear
// answer. Where several may have it, the cell is unsure.
func (g *group) attributeRevisions() (unsure map[string]bool) {
	unsure = map[string]bool{}
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
			unsure[refused.Name] = true
			continue
		}
		g.revisions[candidates[0]], g.shown[revision] = revision, candidates[0]
	}
	return unsure
}
