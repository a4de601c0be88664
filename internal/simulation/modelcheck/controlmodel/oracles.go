package controlmodel

import (
	"bytes"
	"math"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/response"
)

// maxConfirmed is how many changes the leader remembers as confirmed. An order older than that may be refused:
// the pages forbid only that one is refused with no other change made since.
const maxConfirmed = 2048

// maxOperations is how many calls a history may have to be checked as a whole; what an order costs rises steeply.
const maxOperations = 64

// observation is a call of an operator and its answer.
type observation struct {
	order   *modelOrder
	version int64
	digest  string
	kind    answerKind
	begun   time.Duration
	ended   time.Duration
}

// record is what the oracles know of the run so far.
type record struct {
	byDigest map[string]*modelOrder
	// confirmed is the body under each confirmed number.
	confirmed map[int64]string
	top       int64
	// inForce are the bodies that some leader has held.
	inForce     map[string]bool
	history     []*observation
	epochs      map[uint64]string
	evacuations evacuationRecord
	// bulk is the large pairs' state after each change, by the digest of its body.
	bulk map[string]bulkState
}

func newRecord() record {
	return record{byDigest: map[string]*modelOrder{}, confirmed: map[int64]string{}, inForce: map[string]bool{}, epochs: map[uint64]string{},
		bulk: map[string]bulkState{}, evacuations: evacuationRecord{byNumber: map[int64]string{}}}
}

// checkLeases is an oracle: at most one node holds a lease at any moment.
func (w *simCluster) checkLeases() {
	var holders []string
	for _, node := range w.nodes {
		if node.isUp && node.leadership != nil && node.leadership.HasLease() {
			holders = append(holders, node.name)
		}
	}
	if len(holders) > 1 {
		w.violated("one leader", "%v hold a lease at once", holders)
	}
}

// checkOpened looks at what a new leader begins with.
func (w *simCluster) checkOpened(n *simNode, pairs []wire.Op) {
	epoch := n.leadership.Epoch()
	if other, isThere := w.record.epochs[epoch]; isThere {
		w.violated("one leader", "epoch %d belongs to %s and to %s", epoch, other, n.name)
	}
	w.record.epochs[epoch] = n.name
	committed, confirmed := configurationOf(pairs), confirmedOf(pairs)
	for _, record := range confirmed {
		w.noteInForce(record.Digest)
	}
	w.checkBulk(n, pairs, committed)
	w.checkEvacuations(n, pairs)
	if !n.leadership.HasLease() || w.record.top == 0 {
		return
	}
	want := wire.ConfirmedVersion{Version: w.record.top, Digest: w.record.confirmed[w.record.top]}
	switch {
	case committed == nil:
		w.violated("acknowledged is kept", "%s leads epoch %d with no configuration, version %d was confirmed", n.name, epoch, w.record.top)
	case committed.Version < w.record.top || !slices.Contains(confirmed, want):
		w.violated("acknowledged is kept", "%s leads epoch %d with version %d, version %d was confirmed and is not in it",
			n.name, epoch, committed.Version, w.record.top)
	}
}

// noteInForce is an oracle: a change that was refused never comes into force.
func (w *simCluster) noteInForce(digest string) {
	if w.record.inForce[digest] {
		return
	}
	w.record.inForce[digest] = true
	if order := w.record.byDigest[digest]; order != nil && order.isRefused {
		w.violated("refused is never in force", "version %d on base %d was refused and is in force", order.version, order.base)
	}
}

func (w *simCluster) checkConfirmed(order *modelOrder) {
	w.noteInForce(order.digest)
	if other, isThere := w.record.confirmed[order.version]; isThere && other != order.digest {
		w.violated("one body under a number", "version %d is confirmed for %s and for %s", order.version, other, order.digest)
	}
	w.record.confirmed[order.version] = order.digest
	w.record.top = max(w.record.top, order.version)
}

func (w *simCluster) checkRefused(order *modelOrder, answer *response.Reply) {
	if order.confirmedAfter > 0 && len(w.traffic.confirmed)-order.confirmedAfter < maxConfirmed/2 {
		w.violated("confirmed is confirmed again", "version %d was confirmed and is refused with %d: %s", order.version, answer.Status, answer.Body)
	}
	if w.record.inForce[order.digest] && order.confirmedAfter == 0 && len(w.record.inForce) < maxConfirmed {
		w.violated("refused is never in force", "version %d is in force and is refused with %d: %s", order.version, answer.Status, answer.Body)
	}
}

// begin notes a call; an order is nil for a read. Until its answer comes it may take effect at any time.
func (w *simCluster) begin(order *modelOrder) *observation {
	seen := &observation{order: order, begun: w.now, ended: math.MaxInt64}
	w.record.history = append(w.record.history, seen)
	return seen
}

func (w *simCluster) end(seen *observation, kind answerKind) {
	if kind != unclear {
		seen.kind, seen.ended = kind, w.now
	}
}

// checkRead is an oracle: a read returns no version below one confirmed before the read began, and the body that was
// confirmed.
func (w *simCluster) checkRead(seen *observation, floor int64, body []byte) {
	seen.version, seen.digest = versionOf(body)
	w.end(seen, confirmed)
	w.noteInForce(seen.digest)
	if seen.version < floor {
		w.violated("no stale read", "version %d was read, version %d was confirmed before the read began", seen.version, floor)
	}
	if digest, isThere := w.record.confirmed[seen.version]; isThere && digest != seen.digest {
		w.violated("one body under a number", "version %d reads as %s, %s was confirmed", seen.version, seen.digest, digest)
	}
}

// unsettled names what does not hold yet of all that must hold in a calm system.
func (w *simCluster) unsettled() string {
	leader := w.leader()
	if leader == nil {
		return "no machine holds a lease"
	}
	state := leader.disk.model.Heads[w.service.key()]
	belief := leader.engine.Belief()
	if len(belief.Voters.Old) > 0 {
		return "a change of voters is under way"
	}
	count := 0
	for _, node := range w.slots {
		if node.isUp && headOf(node.disk) == belief.Last {
			count++
		}
	}
	if count <= w.schedule.Losses {
		return "the newest change is on too few disks"
	}
	if wanted := min(2*w.schedule.Losses+1, len(w.slots)-1+len(w.slots)%2); len(belief.Voters.Current) < wanted {
		return "there are fewer voters than the losses ask for"
	}
	for _, disk := range belief.Voters.Current {
		index := slices.IndexFunc(w.slots, func(node *simNode) bool { return node.isUp && node.disk.name == disk })
		if index < 0 {
			return "a voter is gone and was not replaced"
		}
		if headOf(w.slots[index].disk) != state.Last || state.Last != belief.Last {
			return "a voter does not hold the newest state"
		}
	}
	return ""
}

// checkReplicas compares the replicas of a settled system pair by pair: at the same log position they must be alike.
func (w *simCluster) checkReplicas() {
	leader := w.leader()
	if leader == nil {
		return
	}
	want, _ := leader.disk.Read(w.service.key())
	for _, node := range w.slots {
		state, _ := node.disk.Read(w.service.key())
		if state.Last == want.Last && !slices.EqualFunc(state.Pairs, want.Pairs, isSamePair) {
			w.violated("same place, same state", "%s and %s differ at %v", node.name, leader.name, state.Last)
		}
	}
}

func isSamePair(a, b wire.Op) bool {
	return a.Name == b.Name && bytes.Equal(a.Value, b.Value)
}

// modelChain is the state of the sequential model: the configurations in force, the newest first.
type modelChain struct {
	version int64
	digest  string
	before  *modelChain
}

func (c *modelChain) has(digest string) bool {
	for ; c != nil; c = c.before {
		if c.digest == digest {
			return true
		}
	}
	return false
}

func (c *modelChain) top() int64 {
	if c == nil {
		return 0
	}
	return c.version
}

var sequential = porcupine.Model{
	Init: func() any { return (*modelChain)(nil) },
	Step: func(state, _, output any) (bool, any) {
		chain, seen := state.(*modelChain), output.(*observation)
		if seen.order == nil {
			return chain.top() == seen.version && (chain == nil || chain.digest == seen.digest), chain
		}
		return orderStep(chain, seen)
	},
	Equal: func(element, other any) bool {
		first, second := element.(*modelChain), other.(*modelChain)
		for first != second {
			if first == nil || second == nil || first.digest != second.digest {
				return false
			}
			first, second = first.before, second.before
		}
		return true
	},
}

// orderStep is the step of a change in the linearizability check: whether its answer fits the chain of versions, and
// the chain after it.
func orderStep(chain *modelChain, seen *observation) (bool, any) {
	isTaken := chain.has(seen.order.digest)
	fits := seen.order.base == chain.top() && seen.order.version > chain.top()
	switch {
	case isTaken:
		return seen.kind != refused, chain
	case fits:
		return seen.kind != refused, &modelChain{seen.order.version, seen.order.digest, chain}
	}
	return seen.kind != confirmed, chain
}

// checkHistory checks that the operators' calls are linearizable; an unclear call may take effect at any later time, or never.
func (w *simCluster) checkHistory() {
	var operations []porcupine.Operation
	for _, seen := range w.record.history {
		if seen.kind == unclear && (seen.order == nil || !w.record.inForce[seen.order.digest]) {
			continue
		}
		operations = append(operations, porcupine.Operation{ClientId: len(operations), Input: nil, Output: seen, Call: int64(seen.begun), Return: int64(seen.ended)})
	}
	if len(operations) > maxOperations {
		operations = operations[:0]
		w.cover("history too long for porcupine")
	}
	switch porcupine.CheckOperationsTimeout(sequential, operations, 2*time.Second) {
	case porcupine.Illegal:
		w.tellHistory()
		w.violated("linearizable", "%d calls of the operators fit no order", len(operations))
	case porcupine.Unknown:
		w.cover("history left undecided")
	default:
		w.cover("history linearizable")
	}
}

// tellHistory writes the operators' calls into the trace.
func (w *simCluster) tellHistory() {
	names := map[answerKind]string{unclear: "unclear", confirmed: "ok", refused: "refused"}
	for _, seen := range w.record.history {
		if seen.order == nil {
			w.tell("call from %v to %v: read %s, version %d %.6s", seen.begun, seen.ended, names[seen.kind], seen.version, seen.digest)
			continue
		}
		w.tell("call from %v to %v: order %s, version %d on %d %.6s, in force %v", seen.begun, seen.ended, names[seen.kind],
			seen.order.version, seen.order.base, seen.order.digest, w.record.inForce[seen.order.digest])
	}
}
