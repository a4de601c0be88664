package controlkeys

import (
	"context"
	"slices"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/replication/quorum"
	"gannetline/internal/platform/mailbox"
)

const (
	// releaseNoticeTime is the minimum time between releasing the leases and the end of the process, so that the peers receive the release.
	releaseNoticeTime = 400 * time.Millisecond
	// votingKeysTimeout limits the query for the keys of which this disk is a voter.
	votingKeysTimeout = time.Second
)

// Leave transfers the keys that this process leads and asks the leaders to replace this disk as a voter. It returns once IsReplaceable is
// false for all keys of which this disk is still a voter, or after the timeout, and logs the keys of which it is still a voter. It also
// returns, without logging them, if the replicas don't name these keys within votingKeysTimeout. It takes at least releaseNoticeTime.
func (m *Manager) Leave(timeout time.Duration) {
	if !m.hasDisk() {
		<-m.Clock.After(releaseNoticeTime)
		return
	}
	deadline := m.Clock.Monotonic() + timeout
	m.startLeaving()
	<-m.Clock.After(releaseNoticeTime)
	for {
		replaceable, others := m.listVotingKeys()
		if len(replaceable) == 0 || m.Clock.Monotonic() >= deadline {
			m.logRemainingVotes(replaceable, others)
			return
		}
		<-m.Clock.After(tickInterval)
	}
}

// startLeaving transfers the keys that this process leads to other voters. From then on each answer of the replicas to a leader asks for the
// replacement of this disk, and reconcile starts no more runners.
func (m *Manager) startLeaving() {
	m.Replicas.Mailbox().Post(m.Replicas.Leave)
	m.mailbox.Post(func() {
		m.isLeaving = true
		for _, runner := range m.runners {
			runner.engineMailbox.Post(runner.engine.Leave)
		}
	})
}

// listVotingKeys returns the keys of which this disk is still a voter: those for which IsReplaceable is true, and the others. Both lists
// are sorted. They are nil if the replicas do not answer within votingKeysTimeout.
func (m *Manager) listVotingKeys() (replaceable, others []string) {
	ctx, cancel := context.WithTimeout(context.Background(), votingKeysTimeout)
	defer cancel()
	sets, err := mailbox.Ask(ctx, m.Replicas.Mailbox(), func(answer func(map[string]wire.VoterSet)) { answer(m.Replicas.VotingKeys()) })
	if err != nil {
		return nil, nil
	}
	members := m.listVoterCandidates()
	for key, set := range sets {
		if IsReplaceable(members, m.disk, set) {
			replaceable = append(replaceable, key)
		} else {
			others = append(others, key)
		}
	}
	slices.Sort(replaceable)
	slices.Sort(others)
	return replaceable, others
}

// hasNoVotes reports whether this disk is a voter of no key, according to its own replicas. It returns an error if the replicas do not
// answer within votingKeysTimeout.
func (m *Manager) hasNoVotes() (bool, error) {
	ctx, cancel := context.WithTimeout(context.Background(), votingKeysTimeout)
	defer cancel()
	sets, err := mailbox.Ask(ctx, m.Replicas.Mailbox(), func(answer func(map[string]wire.VoterSet)) { answer(m.Replicas.VotingKeys()) })
	return err == nil && len(sets) == 0, err
}

// IsReplaceable reports whether a leaving voter of a key should wait for its replacement. It should wait if a live disk that is no voter
// could replace it, or if a change to voters without it is in progress, because that change still needs its vote.
func IsReplaceable(members []wire.Member, leavingDisk string, set wire.VoterSet) bool {
	if slices.Contains(set.Old, leavingDisk) && !slices.Contains(set.Current, leavingDisk) {
		return true
	}
	return slices.ContainsFunc(members, func(member wire.Member) bool {
		isCandidate := member.Disk != "" && member.Disk != leavingDisk && member.State == wire.StateAlive
		return isCandidate && !quorum.Contains(set, member.Disk)
	})
}

func (m *Manager) logRemainingVotes(replaceable, others []string) {
	if len(replaceable) > 0 {
		m.Log.Info("leaving while still a voter", "keys", replaceable)
	}
	if len(others) > 0 {
		m.Log.Info("leaving as a voter without a replacement", "keys", others)
	}
}
