package controlmodel

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"gannetline/internal/cluster/configuration"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/replication"
	"gannetline/internal/control/storage"
)

// injectedFaults are the faults that can be injected into the model of the configuration leader, by name.
var injectedFaults = map[string]injectedFault{
	"promise-before-sync": {about: "A replica answers a promise or a change before its disk has synced it.",
		disk: func(_ *simNode, inner *disk) replication.Disk { return &earlyAnswerDisk{inner} }},
	"lease-forgotten": {about: "A voter that is restarted does not wait out the lease it may have granted.",
		disk: func(_ *simNode, inner *disk) replication.Disk { return &alwaysNewDisk{inner} }},
	"lease-too-long": {about: "A leader counts its lease longer than its replicas do, as if from the answer and not from the call.",
		lease: 500 * time.Millisecond},
	"lease-of-another-call": {about: "A leader takes the answer to an earlier heartbeat for that to a later one.",
		links: func(_ *simNode, inner *links) replication.Transport {
			return &staleHeartbeatLinks{inner, map[string]wire.AppendAnswer{}}
		}},
	"evacuations-forgotten": {about: "A new leader opens without the zones that were ordered to be emptied.",
		machine: func(_ *simNode, inner replication.StateMachine) replication.StateMachine {
			return machineWithoutEvacuations{inner}
		}},
	"lease-not-looked-at": {about: "A leader answers without looking whether it still has its lease.",
		leadership: func(_ *simNode, inner keyLeadership) keyLeadership {
			return alwaysLeasedLeadership{inner}
		}},
	"commit-before-majority": {about: "A leader acknowledges a change before a majority holds it.",
		leadership: func(_ *simNode, inner keyLeadership) keyLeadership { return earlyCommitLeadership{inner} }},
	"commit-in-new-voters-only": {about: "While voters change, a change is committed once a majority of the new ones holds it.",
		links: func(_ *simNode, inner *links) replication.Transport {
			return &newVotersLinks{links: inner}
		}},
	"voter-change-forgotten": {about: "A replica forgets that a change of voters is under way, so that the next leader begins another.",
		disk: func(_ *simNode, inner *disk) replication.Disk { return &singleSetDisk{inner} }},
	"learner-counted-early": {about: "A learner that holds nothing says that it has caught up.",
		links: func(_ *simNode, inner *links) replication.Transport { return &earlyLearnerLinks{inner} }},
	"learner-counted-between-chunks": {about: "A learner that has some chunks of a state is counted as if it held the state, and what follows it.",
		links: func(_ *simNode, inner *links) replication.Transport {
			return &unfinishedLearnerLinks{inner, map[string]bool{}}
		}},
	"old-snapshot-installed": {about: "A replica installs the pairs of an older snapshot at the place of a newer one.",
		disk: func(_ *simNode, inner *disk) replication.Disk { return &oldSnapshotDisk{disk: inner} }},
	"chunk-of-another-snapshot": {about: "A chunk of an earlier snapshot is taken in with those of a newer one.",
		links: func(_ *simNode, inner *links) replication.Transport {
			return &mixedChunkLinks{inner, map[int][]wire.Op{}}
		}},
	"folder-not-synced":        {about: "A folder is not synced after the replica's file was made in it.", isFileUnsafe: true},
	"replaced-disk-keeps-name": {about: "An empty disk answers under the name of the disk it replaces.", keepsDiskName: true},
	"leaves-at-once":           {about: "A machine that is replaced goes before its successor holds all that it held.", leavesAtOnce: true},
	"retires-as-leaving":       {about: "A machine that is being emptied gives up leading, as one does that is shut down.", retiresAsLeaving: true},
	"confirmed-list-lost": {about: "A new leader forgets which changes were confirmed.",
		machine: func(_ *simNode, inner replication.StateMachine) replication.StateMachine {
			return machineWithoutConfirmed{inner}
		}},
	"two-bodies-under-a-number": {about: "A leader confirms a change whose number is the current one, whatever its body.", answer: confirmSameNumber},
	"unreachable-voters-left-out": {about: "A leader counts only the voters that it reaches, so that each half of a split has a quorum of its own.",
		links: func(_ *simNode, inner *links) replication.Transport { return &reachableOnlyLinks{inner} }},
	"election-needs-all": {about: "A candidate is elected only while it reaches all other machines.",
		links: func(_ *simNode, inner *links) replication.Transport { return &unanimousLinks{inner} }},
	"follower-counted-early": {about: "A leader counts one follower before that has answered, so that a change is committed on one disk too few.",
		links: func(_ *simNode, inner *links) replication.Transport { return &earlyFollowerLinks{inner} }},
	"confirmed-called-refused": {about: "A leader refuses a change that it has just committed.", answer: refuseCommitted},
}

// earlyAnswerDisk answers a write before it is synced.
type earlyAnswerDisk struct{ *disk }

// Submit answers at once with the outcome that the write will have if nothing fails.
func (d *earlyAnswerDisk) Submit(write storage.Write, done func(storage.Outcome)) {
	head := d.model.Heads[write.Key]
	for _, write := range append(slices.Clone(d.syncing), d.waiting...) {
		outcome, _ := storage.Decide(head, write.write)
		head = outcome.State
	}
	outcome, _ := storage.Decide(head, write)
	d.disk.Submit(write, func(storage.Outcome) {})
	incarnation := d.incarnation
	d.cluster.after(0, func() {
		if d.incarnation == incarnation {
			done(outcome)
			d.afterTransaction()
		}
	})
}

// alwaysNewDisk reports at each start that it is new, as if it had granted no lease before.
type alwaysNewDisk struct{ *disk }

// IsNew is always true.
func (alwaysNewDisk) IsNew() bool { return true }

// singleSetDisk writes a change of voters as if it were complete.
type singleSetDisk struct{ *disk }

// Submit writes each set of voters without the old set that it replaces.
func (d *singleSetDisk) Submit(write storage.Write, done func(storage.Outcome)) {
	write.Changes = slices.Clone(write.Changes)
	for index, change := range write.Changes {
		if change.Voters != nil {
			write.Changes[index].Voters = &wire.VoterSet{Current: change.Voters.Current}
		}
	}
	d.disk.Submit(write, done)
}

// oldSnapshotDisk installs the pairs of the previous snapshot in place of those of a new one.
type oldSnapshotDisk struct {
	*disk
	previous *wire.Snapshot
}

// Submit replaces the pairs of a snapshot by those of the previous one, and keeps its log position. The first snapshot gets the pairs that
// are on the disk, if there are any.
func (d *oldSnapshotDisk) Submit(write storage.Write, done func(storage.Outcome)) {
	if write.Snapshot != nil {
		newest := write.Snapshot
		old, _ := d.model.Read(write.Key)
		if d.previous == nil && len(old.Pairs) > 0 {
			d.previous = &old
		}
		if d.previous != nil {
			write.Snapshot = &wire.Snapshot{Last: newest.Last, Voters: newest.Voters, Pairs: d.previous.Pairs}
		}
		d.previous = newest
	}
	d.disk.Submit(write, done)
}

// staleHeartbeatLinks answers a heartbeat at once with the answer to the previous one.
type staleHeartbeatLinks struct {
	*links
	previousAnswers map[string]wire.AppendAnswer
}

// Append answers a heartbeat with the previous answer, if that fits the heartbeat's epoch and position.
func (l *staleHeartbeatLinks) Append(disk string, call wire.AppendCall, done func(wire.AppendAnswer, error)) {
	earlier, exists := l.previousAnswers[disk]
	isHeartbeat := len(call.Changes) == 0 && call.Snapshot == nil && call.Chunk == nil && !call.Release
	if !exists || !isHeartbeat || earlier.Promised != call.Epoch || earlier.Last != call.Prev {
		l.links.Append(disk, call, l.recordingAnswer(disk, done))
		return
	}
	delete(l.previousAnswers, disk)
	l.node.post(func() { done(earlier, nil) })
	l.links.Append(disk, call, l.recordingAnswer(disk, func(wire.AppendAnswer, error) {}))
}

func (l *staleHeartbeatLinks) recordingAnswer(disk string, done func(wire.AppendAnswer, error)) func(wire.AppendAnswer, error) {
	return func(answer wire.AppendAnswer, err error) {
		if err == nil && answer.Taken {
			l.previousAnswers[disk] = answer
		}
		done(answer, err)
	}
}

// newVotersLinks acknowledges changes on behalf of the old voters, except for the leader's own disk, while the voters change.
type newVotersLinks struct {
	*links
	set wire.VoterSet
}

// Append acknowledges changes on behalf of an old voter without sending them.
func (l *newVotersLinks) Append(disk string, call wire.AppendCall, done func(wire.AppendAnswer, error)) {
	l.set = l.node.engine.Belief().Voters
	isOldVoter := len(l.set.Old) > 0 && slices.Contains(l.set.Old, disk)
	count := len(call.Changes)
	if !isOldVoter || count == 0 || call.Snapshot != nil || disk == l.node.disk.name {
		l.links.Append(disk, call, done)
		return
	}
	l.node.post(func() {
		done(wire.AppendAnswer{Taken: true, Promised: call.Epoch, Last: call.Changes[count-1].Position, Disk: disk}, nil)
	})
}

// earlyLearnerLinks reports that an empty learner has caught up.
type earlyLearnerLinks struct{ *links }

// Append answers on behalf of an empty disk that it has all changes.
func (l *earlyLearnerLinks) Append(disk string, call wire.AppendCall, done func(wire.AppendAnswer, error)) {
	l.links.Append(disk, call, func(answer wire.AppendAnswer, err error) {
		belief := l.node.engine.Belief()
		if err == nil && !answer.Taken && answer.Last == (wire.LogPosition{}) && answer.Promised <= call.Epoch && !slices.Contains(belief.Voters.Old, disk) {
			answer.Taken, answer.Last = true, belief.Last
		}
		done(answer, err)
	})
}

// unfinishedLearnerLinks reports that a learner that has only some chunks of a snapshot has caught up.
type unfinishedLearnerLinks struct {
	*links
	// unfinished has the disks that lacked a part of the snapshot when they answered a chunk.
	unfinished map[string]bool
}

// Append answers on behalf of a disk between two chunks that it has all changes.
func (l *unfinishedLearnerLinks) Append(disk string, call wire.AppendCall, done func(wire.AppendAnswer, error)) {
	l.links.Append(disk, call, func(answer wire.AppendAnswer, err error) {
		isPart := err == nil && !answer.Taken && answer.Promised <= call.Epoch && (call.Chunk != nil || l.unfinished[disk])
		if isPart {
			l.unfinished[disk] = true
			answer.Taken, answer.Last = true, l.node.engine.Belief().Last
		}
		done(answer, err)
	})
}

// mixedChunkLinks replaces the pairs of a snapshot's chunk by those of an earlier snapshot's chunk.
type mixedChunkLinks struct {
	*links
	// firstPairs are the pairs that were first sent under each chunk number.
	firstPairs map[int][]wire.Op
}

// Append sends, for each chunk number, the pairs that were first sent under that number.
func (l *mixedChunkLinks) Append(disk string, call wire.AppendCall, done func(wire.AppendAnswer, error)) {
	if call.Chunk != nil {
		if pairs, exists := l.firstPairs[call.Chunk.Number]; exists {
			mixed := *call.Chunk
			mixed.Pairs = pairs
			call.Chunk = &mixed
		} else {
			l.firstPairs[call.Chunk.Number] = call.Chunk.Pairs
		}
	}
	l.links.Append(disk, call, done)
}

type alwaysLeasedLeadership struct{ keyLeadership }

// HasLease is always true.
func (alwaysLeasedLeadership) HasLease() bool { return true }

// earlyCommitLeadership reports a change as committed as soon as it is proposed.
type earlyCommitLeadership struct{ keyLeadership }

// Commit reports success before the change is committed.
func (l earlyCommitLeadership) Commit(ops []wire.Op, done func(error)) {
	l.keyLeadership.Commit(ops, func(error) {})
	done(nil)
}

// machineWithoutConfirmed opens without the records of confirmed changes.
type machineWithoutConfirmed struct{ replication.StateMachine }

// Open opens without the records of confirmed changes.
func (m machineWithoutConfirmed) Open(leadership *replication.Leadership, pairs []wire.Op) error {
	isRecord := func(pair wire.Op) bool { return strings.HasPrefix(pair.Name, confirmedPrefix) }
	pairs = slices.DeleteFunc(slices.Clone(pairs), isRecord)
	return m.StateMachine.Open(leadership, pairs)
}

// machineWithoutEvacuations opens without the record of evacuations.
type machineWithoutEvacuations struct{ replication.StateMachine }

// Open opens without the record of evacuations.
func (m machineWithoutEvacuations) Open(leadership *replication.Leadership, pairs []wire.Op) error {
	isRecord := func(pair wire.Op) bool { return pair.Name == recordEvacuations }
	return m.StateMachine.Open(leadership, slices.DeleteFunc(slices.Clone(pairs), isRecord))
}

// confirmSameNumber confirms a refused change whose version is the highest confirmed one.
func confirmSameNumber(n *simNode, call *wire.ClientCall, answer wire.ClientAnswer) wire.ClientAnswer {
	plan, err := configuration.Read(call.Body)
	if call.Verb == verbReplace && answer.Status == http.StatusPreconditionFailed && err == nil && plan.Version == n.cluster.oracleState.highestConfirmed {
		return wire.ClientAnswer{Status: http.StatusOK}
	}
	return answer
}

// refuseCommitted refuses one of 50 confirmed changes.
func refuseCommitted(n *simNode, call *wire.ClientCall, answer wire.ClientAnswer) wire.ClientAnswer {
	if call.Verb == verbReplace && answer.Status == http.StatusOK && n.cluster.random.IntN(50) == 0 {
		return wire.ClientAnswer{Status: http.StatusPreconditionFailed, Reason: "injected"}
	}
	return answer
}
