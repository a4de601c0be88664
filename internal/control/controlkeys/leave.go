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
	// votingKeysTimeout limits the query for the keys in which this disk votes.
	votingKeysTimeout = time.Second
)

// Leave hands over the keys that this process leads and asks the leaders to replace this disk as a voter. It returns once this disk is no
// longer a voter of any key with a possible replacement, or after the timeout, and logs the keys in which the disk still votes. It
// also returns, without such a log, if the replicas don't name those keys within votingKeysTimeout. It takes at least releaseNoticeTime.
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

// startLeaving hands over the keys that this process leads. From then on each answer of the replicas to a leader asks for the replacement
// of this disk, and reconcile starts no more runners.
func (m *Manager) startLeaving() {
	m.Replicas.Mailbox().Post(m.Replicas.Leave)
	m.mailbox.Post(func() {
		m.isLeaving = true
		for _, runner := range m.runners {
			runner.engineMailbox.Post(runner.engine.Leave)
		}
	})
}

// listVotingKeys returns the keys in which this disk is still a voter: those for which another live disk could replace it, and the
// others. Both lists are sorted. They are nil if the replicas do not answer in time.
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

// hasNoVotes reports whether this disk is a voter of no key, according to its own replicas.
func (m *Manager) hasNoVotes() (bool, error) {
	ctx, cancel := context.WithTimeout(context.Background(), votingKeysTimeout)
	defer cancel()
	sets, err := mailbox.Ask(ctx, m.Replicas.Mailbox(), func(answer func(map[string]wire.VoterSet)) { answer(m.Replicas.VotingKeys()) })
	return err == nil && len(sets) == 0, err
}

// IsReplaceable reports whether a leaving voter should wait for its replacement: either a live disk that is no voter could replace it, or
// a change of voters without it is in progress, which still needs its vote.
func IsReplaceable(members []wire.Member, leaving string, set wire.VoterSet) bool {
	if slices.Contains(set.Old, leaving) && !slices.Contains(set.Current, leaving) {
		return true
	}
	return slices.ContainsFunc(members, func(member wire.Member) bool {
		isCandidate := member.Disk != "" && member.Disk != leaving && member.State == wire.StateAlive
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
