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

// maxConfirmed is how many confirmed changes the leader remembers. An older one may be refused when it is sent again. The guarantee is only
// that a confirmed change is not refused as long as no other change was made since.
const maxConfirmed = 2048

// maxOperations is the longest history, in calls, that is checked for linearizability. The cost of a check rises steeply with the length.
const maxOperations = 64

// observation is a call of an operator and its answer. change is nil for a read, and version and digest are those that a read returned.
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
	// byDigest are all changes that operators have sent, by the digest of the body.
	byDigest map[string]*configurationChange
	// confirmed is the digest of the body of each confirmed version.
	confirmed        map[int64]string
	highestConfirmed int64
	// inForce are the digests of the bodies that are known to have been committed.
	inForce map[string]bool
	history []*observation
	// epochs are the names of the leaders by epoch.
	epochs      map[uint64]string
	evacuations evacuationHistory
	// bulk is the state of the large pairs after each change, by the digest of the change's body.
	bulk map[string]bulkState
}

func newOracleState() oracleState {
	return oracleState{byDigest: map[string]*configurationChange{}, confirmed: map[int64]string{}, inForce: map[string]bool{}, epochs: map[uint64]string{},
		bulk: map[string]bulkState{}, evacuations: evacuationHistory{byNumber: map[int64]string{}}}
}

// checkLeases is an oracle: at most one machine holds a lease at any moment.
func (sim *simCluster) checkLeases() {
	var holders []string
	for _, node := range sim.nodes {
		if node.isUp && node.leadership != nil && node.leadership.HasLease() {
			holders = append(holders, node.name)
		}
	}
	if len(holders) > 1 {
		sim.reportViolation("one leader", "%v hold a lease at once", holders)
	}
}

// checkOpened is an oracle: each epoch has one leader, and a new leader with a lease has everything that was confirmed to operators.
func (sim *simCluster) checkOpened(n *simNode, pairs []wire.Op) {
	epoch := n.leadership.Epoch()
	if other, exists := sim.oracleState.epochs[epoch]; exists {
		sim.reportViolation("one leader", "epoch %d belongs to %s and to %s", epoch, other, n.name)
	}
	sim.oracleState.epochs[epoch] = n.name
	committed, confirmed := configurationOf(pairs), confirmedOf(pairs)
	for _, record := range confirmed {
		sim.recordInForce(record.Digest)
	}
	sim.checkBulk(n, pairs, committed)
	sim.checkEvacuations(n, pairs)
	if !n.leadership.HasLease() || sim.oracleState.highestConfirmed == 0 {
		return
	}
	want := wire.ConfirmedVersion{Version: sim.oracleState.highestConfirmed, Digest: sim.oracleState.confirmed[sim.oracleState.highestConfirmed]}
	switch {
	case committed == nil:
		sim.reportViolation("acknowledged is kept", "%s leads epoch %d with no configuration, version %d was confirmed", n.name, epoch, sim.oracleState.highestConfirmed)
	case committed.Version < sim.oracleState.highestConfirmed || !slices.Contains(confirmed, want):
		sim.reportViolation("acknowledged is kept", "%s leads epoch %d with version %d, version %d was confirmed and is not in it",
			n.name, epoch, committed.Version, sim.oracleState.highestConfirmed)
	}
}

// recordInForce records that the configuration with a digest was committed. It is an oracle: a change that was refused is never in force.
func (sim *simCluster) recordInForce(digest string) {
	if sim.oracleState.inForce[digest] {
		return
	}
	sim.oracleState.inForce[digest] = true
	if change := sim.oracleState.byDigest[digest]; change != nil && change.isRefused {
		sim.reportViolation("refused is never in force", "version %d on base %d was refused and is in force", change.version, change.base)
	}
}

// checkConfirmed is an oracle: all changes that are confirmed under the same version have the same body.
func (sim *simCluster) checkConfirmed(change *configurationChange) {
	sim.recordInForce(change.digest)
	if other, exists := sim.oracleState.confirmed[change.version]; exists && other != change.digest {
		sim.reportViolation("one body under a number", "version %d is confirmed for %s and for %s", change.version, other, change.digest)
	}
	sim.oracleState.confirmed[change.version] = change.digest
	sim.oracleState.highestConfirmed = max(sim.oracleState.highestConfirmed, change.version)
}

// checkRefused is an oracle: a change that was confirmed or is in force is not refused, as long as the leader surely remembers it.
func (sim *simCluster) checkRefused(change *configurationChange, answer *response.Reply) {
	if change.confirmedPosition > 0 && len(sim.operators.confirmed)-change.confirmedPosition < maxConfirmed/2 {
		sim.reportViolation("confirmed is confirmed again", "version %d was confirmed and is refused with %d: %s", change.version, answer.Status, answer.Body)
	}
	if sim.oracleState.inForce[change.digest] && change.confirmedPosition == 0 && len(sim.oracleState.inForce) < maxConfirmed {
		sim.reportViolation("refused is never in force", "version %d is in force and is refused with %d: %s", change.version, answer.Status, answer.Body)
	}
}

// recordCall records the start of a call. change is nil for a read. A call without a clear answer may take effect at any later time, so its
// end is set to the maximum.
func (sim *simCluster) recordCall(change *configurationChange) *observation {
	observed := &observation{change: change, startedAt: sim.now, endedAt: math.MaxInt64}
	sim.oracleState.history = append(sim.oracleState.history, observed)
	return observed
}

// recordEnd records the answer to a call, if the answer is clear.
func (sim *simCluster) recordEnd(observed *observation, kind answerKind) {
	if kind != unclear {
		observed.kind, observed.endedAt = kind, sim.now
	}
}

// checkRead is an oracle: a read returns no version below minVersion, the highest one that was confirmed before the read began. If the
// returned version was confirmed, its body is the confirmed one.
func (sim *simCluster) checkRead(observed *observation, minVersion int64, body []byte) {
	observed.version, observed.digest = versionOf(body)
	sim.recordEnd(observed, confirmed)
	sim.recordInForce(observed.digest)
	if observed.version < minVersion {
		sim.reportViolation("no stale read", "version %d was read, version %d was confirmed before the read began", observed.version, minVersion)
	}
	if digest, exists := sim.oracleState.confirmed[observed.version]; exists && digest != observed.digest {
		sim.reportViolation("one body under a number", "version %d reads as %s, %s was confirmed", observed.version, observed.digest, digest)
	}
}

// unsettledReason returns why the system has not settled yet: no leader, a change of voters, too few or dead voters, or replicas that are
// behind. It is empty for a settled system.
func (sim *simCluster) unsettledReason() string {
	leader := sim.leader()
	if leader == nil {
		return "no machine holds a lease"
	}
	state := leader.disk.model.Heads[sim.service.key()]
	belief := leader.engine.Belief()
	if len(belief.Voters.Old) > 0 {
		return "a change of voters is under way"
	}
	upToDate := 0
	for _, node := range sim.slots {
		if node.isUp && lastPositionOf(node.disk) == belief.Last {
			upToDate++
		}
	}
	if upToDate <= sim.schedule.Losses {
		return "the newest change is on too few disks"
	}
	if wanted := min(2*sim.schedule.Losses+1, len(sim.slots)-1+len(sim.slots)%2); len(belief.Voters.Current) < wanted {
		return "there are fewer voters than the losses ask for"
	}
	if sim.hasRetiringVoter(belief.Voters.Current) {
		return "a machine that is being emptied is still a voter"
	}
	for _, disk := range belief.Voters.Current {
		index := slices.IndexFunc(sim.slots, func(node *simNode) bool { return node.isUp && node.disk.name == disk })
		if index < 0 {
			return "a voter is gone and was not replaced"
		}
		if lastPositionOf(sim.slots[index].disk) != state.Last || state.Last != belief.Last {
			return "a voter does not hold the newest state"
		}
	}
	return ""
}

// checkReplicas is an oracle: in a settled system, replicas at the leader's log position have the same pairs as the leader's replica.
func (sim *simCluster) checkReplicas() {
	leader := sim.leader()
	if leader == nil {
		return
	}
	want, _ := leader.disk.Read(sim.service.key())
	for _, node := range sim.slots {
		state, _ := node.disk.Read(sim.service.key())
		if state.Last == want.Last && !slices.EqualFunc(state.Pairs, want.Pairs, equalPairs) {
			sim.reportViolation("same place, same state", "%s and %s differ at %v", node.name, leader.name, state.Last)
		}
	}
}

func equalPairs(a, b wire.Op) bool {
	return a.Name == b.Name && bytes.Equal(a.Value, b.Value)
}

// modelChain is the state of the sequential model: a linked list of all configurations so far, the newest first. nil is the empty list.
type modelChain struct {
	version  int64
	digest   string
	previous *modelChain
}

// contains reports whether the body of any configuration so far has a digest.
func (c *modelChain) contains(digest string) bool {
	for ; c != nil; c = c.previous {
		if c.digest == digest {
			return true
		}
	}
	return false
}

// newestVersion returns the version of the newest configuration, or 0 if there is none.
func (c *modelChain) newestVersion() int64 {
	if c == nil {
		return 0
	}
	return c.version
}

// sequentialModel is the configuration as if calls were made one after the other. A read returns the newest configuration.
var sequentialModel = porcupine.Model{
	Init: func() any { return (*modelChain)(nil) },
	Step: func(state, _, output any) (bool, any) {
		chain, observed := state.(*modelChain), output.(*observation)
		if observed.change == nil {
			return chain.newestVersion() == observed.version && (chain == nil || chain.digest == observed.digest), chain
		}
		return changeStep(chain, observed)
	},
	Equal: func(element, other any) bool {
		first, second := element.(*modelChain), other.(*modelChain)
		for first != second {
			if first == nil || second == nil || first.digest != second.digest {
				return false
			}
			first, second = first.previous, second.previous
		}
		return true
	},
}

// changeStep applies a change in the sequential model. It returns whether the answer is possible in that state, and the state after it. A
// repeated or applicable change must not be refused, and any other must not be confirmed. A change is applicable if its base is the newest
// version and its version is higher.
func changeStep(chain *modelChain, observed *observation) (bool, any) {
	isApplied := chain.contains(observed.change.digest)
	isApplicable := observed.change.base == chain.newestVersion() && observed.change.version > chain.newestVersion()
	switch {
	case isApplied:
		return observed.kind != refused, chain
	case isApplicable:
		return observed.kind != refused, &modelChain{observed.change.version, observed.change.digest, chain}
	}
	return observed.kind != confirmed, chain
}

// checkHistory is an oracle: the operators' calls are linearizable. A change without a clear answer takes effect at any time if it is known
// to be in force, and is left out otherwise, as is a read without an answer. Histories of more than maxOperations calls are not checked.
func (sim *simCluster) checkHistory() {
	var operations []porcupine.Operation
	for _, observed := range sim.oracleState.history {
		if observed.kind == unclear && (observed.change == nil || !sim.oracleState.inForce[observed.change.digest]) {
			continue
		}
		operations = append(operations, porcupine.Operation{ClientId: len(operations), Input: nil, Output: observed, Call: int64(observed.startedAt), Return: int64(observed.endedAt)})
	}
	if len(operations) > maxOperations {
		operations = operations[:0]
		sim.countCoverage("history too long for porcupine")
	}
	switch porcupine.CheckOperationsTimeout(sequentialModel, operations, 2*time.Second) {
	case porcupine.Illegal:
		sim.traceHistory()
		sim.reportViolation("linearizable", "%d calls of the operators fit no order", len(operations))
	case porcupine.Unknown:
		sim.countCoverage("history left undecided")
	default:
		sim.countCoverage("history linearizable")
	}
}

// traceHistory writes the operators' calls to the trace.
func (sim *simCluster) traceHistory() {
	names := map[answerKind]string{unclear: "unclear", confirmed: "ok", refused: "refused"}
	for _, observed := range sim.oracleState.history {
		if observed.change == nil {
			sim.tracef("call from %v to %v: read %s, version %d %.6s", observed.startedAt, observed.endedAt, names[observed.kind], observed.version, observed.digest)
			continue
		}
		sim.tracef("call from %v to %v: order %s, version %d on %d %.6s, in force %v", observed.startedAt, observed.endedAt, names[observed.kind],
			observed.change.version, observed.change.base, observed.change.digest, sim.oracleState.inForce[observed.change.digest])
	}
}
