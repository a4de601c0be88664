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

// maxConfirmed is how many confirmed changes the leader remembers. A repeated change that is older may be refused: the guarantee is only
// that a confirmed change is not refused while no other change was made since.
const maxConfirmed = 2048

// maxOperations is the longest history, in calls, that is checked for linearizability. The cost of a check rises steeply with the length.
const maxOperations = 64

// observation is a call of an operator and its answer. change is nil for a read.
type observation struct {
	change    *configurationChange
	version   int64
	digest    string
	kind      answerKind
	startedAt time.Duration
	endedAt   time.Duration
}

// oracleState is what the oracles of the configuration have recorded in the run so far.
type oracleState struct {
	byDigest map[string]*configurationChange
	// confirmed is the digest of the body of each confirmed version.
	confirmed        map[int64]string
	highestConfirmed int64
	// inForce are the digests of the bodies that some leader has had committed.
	inForce     map[string]bool
	history     []*observation
	epochs      map[uint64]string
	evacuations evacuationHistory
	// bulk is the state of the large pairs after each change, by the digest of the change's body.
	bulk map[string]bulkState
}

func newOracleState() oracleState {
	return oracleState{byDigest: map[string]*configurationChange{}, confirmed: map[int64]string{}, inForce: map[string]bool{}, epochs: map[uint64]string{},
		bulk: map[string]bulkState{}, evacuations: evacuationHistory{byNumber: map[int64]string{}}}
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
		w.reportViolation("one leader", "%v hold a lease at once", holders)
	}
}

// checkOpened is an oracle: each epoch has one leader, and a new leader has all that was confirmed or acknowledged.
func (w *simCluster) checkOpened(n *simNode, pairs []wire.Op) {
	epoch := n.leadership.Epoch()
	if other, exists := w.oracleState.epochs[epoch]; exists {
		w.reportViolation("one leader", "epoch %d belongs to %s and to %s", epoch, other, n.name)
	}
	w.oracleState.epochs[epoch] = n.name
	committed, confirmed := configurationOf(pairs), confirmedOf(pairs)
	for _, record := range confirmed {
		w.recordInForce(record.Digest)
	}
	w.checkBulk(n, pairs, committed)
	w.checkEvacuations(n, pairs)
	if !n.leadership.HasLease() || w.oracleState.highestConfirmed == 0 {
		return
	}
	want := wire.ConfirmedVersion{Version: w.oracleState.highestConfirmed, Digest: w.oracleState.confirmed[w.oracleState.highestConfirmed]}
	switch {
	case committed == nil:
		w.reportViolation("acknowledged is kept", "%s leads epoch %d with no configuration, version %d was confirmed", n.name, epoch, w.oracleState.highestConfirmed)
	case committed.Version < w.oracleState.highestConfirmed || !slices.Contains(confirmed, want):
		w.reportViolation("acknowledged is kept", "%s leads epoch %d with version %d, version %d was confirmed and is not in it",
			n.name, epoch, committed.Version, w.oracleState.highestConfirmed)
	}
}

// recordInForce is an oracle: a change that was refused never comes into force.
func (w *simCluster) recordInForce(digest string) {
	if w.oracleState.inForce[digest] {
		return
	}
	w.oracleState.inForce[digest] = true
	if change := w.oracleState.byDigest[digest]; change != nil && change.isRefused {
		w.reportViolation("refused is never in force", "version %d on base %d was refused and is in force", change.version, change.base)
	}
}

// checkConfirmed is an oracle: all changes that are confirmed under the same version have the same body.
func (w *simCluster) checkConfirmed(change *configurationChange) {
	w.recordInForce(change.digest)
	if other, exists := w.oracleState.confirmed[change.version]; exists && other != change.digest {
		w.reportViolation("one body under a number", "version %d is confirmed for %s and for %s", change.version, other, change.digest)
	}
	w.oracleState.confirmed[change.version] = change.digest
	w.oracleState.highestConfirmed = max(w.oracleState.highestConfirmed, change.version)
}

// checkRefused is an oracle: a change that was confirmed or is in force is not refused, as long as the leader remembers it.
func (w *simCluster) checkRefused(change *configurationChange, answer *response.Reply) {
	if change.confirmedAfter > 0 && len(w.operators.confirmed)-change.confirmedAfter < maxConfirmed/2 {
		w.reportViolation("confirmed is confirmed again", "version %d was confirmed and is refused with %d: %s", change.version, answer.Status, answer.Body)
	}
	if w.oracleState.inForce[change.digest] && change.confirmedAfter == 0 && len(w.oracleState.inForce) < maxConfirmed {
		w.reportViolation("refused is never in force", "version %d is in force and is refused with %d: %s", change.version, answer.Status, answer.Body)
	}
}

// recordCall records the start of a call. change is nil for a read. Until the call has a clear answer it may take effect at any time.
func (w *simCluster) recordCall(change *configurationChange) *observation {
	observed := &observation{change: change, startedAt: w.now, endedAt: math.MaxInt64}
	w.oracleState.history = append(w.oracleState.history, observed)
	return observed
}

func (w *simCluster) recordEnd(observed *observation, kind answerKind) {
	if kind != unclear {
		observed.kind, observed.endedAt = kind, w.now
	}
}

// checkRead is an oracle: a read returns no version below minVersion, which was confirmed before the read began, and the body that
// was confirmed under its version.
func (w *simCluster) checkRead(observed *observation, minVersion int64, body []byte) {
	observed.version, observed.digest = versionOf(body)
	w.recordEnd(observed, confirmed)
	w.recordInForce(observed.digest)
	if observed.version < minVersion {
		w.reportViolation("no stale read", "version %d was read, version %d was confirmed before the read began", observed.version, minVersion)
	}
	if digest, exists := w.oracleState.confirmed[observed.version]; exists && digest != observed.digest {
		w.reportViolation("one body under a number", "version %d reads as %s, %s was confirmed", observed.version, observed.digest, digest)
	}
}

// unsettledReason returns why the system has not settled yet: no leader, too few or dead voters, or replicas that are behind.
// It is empty for a settled system.
func (w *simCluster) unsettledReason() string {
	leader := w.leader()
	if leader == nil {
		return "no machine holds a lease"
	}
	state := leader.disk.model.Heads[w.service.key()]
	belief := leader.engine.Belief()
	if len(belief.Voters.Old) > 0 {
		return "a change of voters is under way"
	}
	upToDate := 0
	for _, node := range w.slots {
		if node.isUp && lastPositionOf(node.disk) == belief.Last {
			upToDate++
		}
	}
	if upToDate <= w.schedule.Losses {
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
		if lastPositionOf(w.slots[index].disk) != state.Last || state.Last != belief.Last {
			return "a voter does not hold the newest state"
		}
	}
	return ""
}

// checkReplicas is an oracle: in a settled system, replicas at the leader's log position have the same pairs as the leader's replica.
func (w *simCluster) checkReplicas() {
	leader := w.leader()
	if leader == nil {
		return
	}
	want, _ := leader.disk.Read(w.service.key())
	for _, node := range w.slots {
		state, _ := node.disk.Read(w.service.key())
		if state.Last == want.Last && !slices.EqualFunc(state.Pairs, want.Pairs, equalPairs) {
			w.reportViolation("same place, same state", "%s and %s differ at %v", node.name, leader.name, state.Last)
		}
	}
}

func equalPairs(a, b wire.Op) bool {
	return a.Name == b.Name && bytes.Equal(a.Value, b.Value)
}

// modelChain is the state of the sequential model: a list of the configurations so far, the newest first. nil is the empty list.
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

var sequentialModel = porcupine.Model{
	Init: func() any { return (*modelChain)(nil) },
	Step: func(state, _, output any) (bool, any) {
		chain, observed := state.(*modelChain), output.(*observation)
		if observed.change == nil {
			return chain.top() == observed.version && (chain == nil || chain.digest == observed.digest), chain
		}
		return changeStep(chain, observed)
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

// changeStep applies a change in the sequential model. It returns whether the answer is possible in that state, and the state after it.
// A repeated change must not be refused, and a change on an old base must not be confirmed.
func changeStep(chain *modelChain, observed *observation) (bool, any) {
	isApplied := chain.has(observed.change.digest)
	isApplicable := observed.change.base == chain.top() && observed.change.version > chain.top()
	switch {
	case isApplied:
		return observed.kind != refused, chain
	case isApplicable:
		return observed.kind != refused, &modelChain{observed.change.version, observed.change.digest, chain}
	}
	return observed.kind != confirmed, chain
}

// checkHistory is an oracle: the operators' calls are linearizable. A call without a clear answer may take effect at any time or never.
func (w *simCluster) checkHistory() {
	var operations []porcupine.Operation
	for _, observed := range w.oracleState.history {
		if observed.kind == unclear && (observed.change == nil || !w.oracleState.inForce[observed.change.digest]) {
			continue
		}
		operations = append(operations, porcupine.Operation{ClientId: len(operations), Input: nil, Output: observed, Call: int64(observed.startedAt), Return: int64(observed.endedAt)})
	}
	if len(operations) > maxOperations {
		operations = operations[:0]
		w.countCoverage("history too long for porcupine")
	}
	switch porcupine.CheckOperationsTimeout(sequentialModel, operations, 2*time.Second) {
	case porcupine.Illegal:
		w.traceHistory()
		w.reportViolation("linearizable", "%d calls of the operators fit no order", len(operations))
	case porcupine.Unknown:
		w.countCoverage("history left undecided")
	default:
		w.countCoverage("history linearizable")
	}
}

// traceHistory writes the operators' calls into the trace.
func (w *simCluster) traceHistory() {
	names := map[answerKind]string{unclear: "unclear", confirmed: "ok", refused: "refused"}
	for _, observed := range w.oracleState.history {
		if observed.change == nil {
			w.tracef("call from %v to %v: read %s, version %d %.6s", observed.startedAt, observed.endedAt, names[observed.kind], observed.version, observed.digest)
			continue
		}
		w.tracef("call from %v to %v: order %s, version %d on %d %.6s, in force %v", observed.startedAt, observed.endedAt, names[observed.kind],
			observed.change.version, observed.change.base, observed.change.digest, w.oracleState.inForce[observed.change.digest])
	}
}
