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
	// releaseNoticeTime is how long the peers have to learn of a release before the process ends.
	releaseNoticeTime = 400 * time.Millisecond
	// votingKeysTimeout is how long the table of replicas may take to name the keys in which this disk votes.
	votingKeysTimeout = time.Second
)

// Leave hands over the keys that are led here, and asks the leaders to replace this disk as a voter. It returns once all
// that can be replaced is, or after the limit; what could not be done is logged. It takes releaseNoticeTime at least.
func (m *Manager) Leave(limit time.Duration) {
	if !m.hasDisk() {
		<-m.Clock.After(releaseNoticeTime)
		return
	}
	deadline := m.Clock.Monotonic() + limit
	m.beginLeave()
	<-m.Clock.After(releaseNoticeTime)
	for {
		replaceable, others := m.votingKeys()
		if len(replaceable) == 0 || m.Clock.Monotonic() >= deadline {
			m.logStillVoting(replaceable, others)
			return
		}
		<-m.Clock.After(tickInterval)
	}
}

// beginLeave hands over the keys that are led here, and has each answer to a leader say that this disk should be replaced.
func (m *Manager) beginLeave() {
	m.Replicas.Mailbox().Post(m.Replicas.Leave)
	m.mailbox.Post(func() {
		m.isLeaving = true
		for _, runner := range m.runners {
			runner.engineMailbox.Post(runner.engine.Leave)
		}
	})
}

// votingKeys lists the keys in which this disk is still a voter: those for which another live disk could take its place, and
// the others.
func (m *Manager) votingKeys() (replaceable, others []string) {
	ctx, cancel := context.WithTimeout(context.Background(), votingKeysTimeout)
	defer cancel()
	sets, err := mailbox.Ask(ctx, m.Replicas.Mailbox(), func(answer func(map[string]wire.VoterSet)) { answer(m.Replicas.VotingKeys()) })
	if err != nil {
		return nil, nil
	}
	members := m.disksInCluster()
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

// votesOnNothing tells whether this disk is a voter of no key, as far as it knows.
func (m *Manager) votesOnNothing() (bool, error) {
	ctx, cancel := context.WithTimeout(context.Background(), votingKeysTimeout)
	defer cancel()
	sets, err := mailbox.Ask(ctx, m.Replicas.Mailbox(), func(answer func(map[string]wire.VoterSet)) { answer(m.Replicas.VotingKeys()) })
	return err == nil && len(sets) == 0, err
}

// IsReplaceable tells whether a voter that leaves should wait: a live disk could take its place, or one is about to and
// the change still needs the leaving voter's agreement.
func IsReplaceable(members []wire.Member, leaving string, set wire.VoterSet) bool {
	if slices.Contains(set.Old, leaving) && !slices.Contains(set.Current, leaving) {
		return true
	}
	return slices.ContainsFunc(members, func(member wire.Member) bool {
		isCandidate := member.Disk != "" && member.Disk != leaving && member.State == wire.StateAlive
		return isCandidate && !quorum.Contains(set, member.Disk)
	})
}

func (m *Manager) logStillVoting(replaceable, others []string) {
	if len(replaceable) > 0 {
		m.Log.Info("leaving while still a voter", "keys", replaceable)
	}
	if len(others) > 0 {
		m.Log.Info("leaving as a voter without a replacement", "keys", others)
	}
}
