package controlkeys

import (
	"context"

	"gannetline/internal/cluster/peerapi/wire"
)

// Retire starts to empty this storage machine if call.Begin is set, and returns the progress. The start is durable before the answer, so
// that the machine is still being emptied after a restart. The machine is empty once its disk is a voter of no key. By then the replacement
// disk of each key has caught up and the change of voters is committed.
func (m *Manager) Retire(_ context.Context, call *wire.RetireCall) (*wire.RetireAnswer, error) {
	isRetiring, err := m.Store.IsRetiring()
	if err != nil {
		return nil, err
	}
	if call.Begin && !isRetiring {
		if err := m.Store.SetRetiring(); err != nil {
			return nil, err
		}
		m.startRetiring()
		isRetiring = true
	}
	if !isRetiring {
		return &wire.RetireAnswer{}, nil
	}
	isEmpty, err := m.hasNoVotes()
	return &wire.RetireAnswer{IsRetiring: true, IsEmpty: isEmpty}, err
}

// resumeRetiring continues to empty this machine if Retire started that in an earlier process.
func (m *Manager) resumeRetiring() {
	isRetiring, err := m.Store.IsRetiring()
	if err != nil {
		m.Log.Error(err, "reading from the disk whether this machine is retiring failed")
		return
	}
	if isRetiring {
		m.Log.Info("this storage machine is still being emptied")
		m.startRetiring()
	}
}

// startRetiring makes the leaders replace this disk as a voter, as startLeaving does. The runners go on, since the keys need leaders until
// other disks have replaced this one, and reconcile starts those that are missing after a restart.
func (m *Manager) startRetiring() {
	m.Replicas.Mailbox().Post(m.Replicas.Leave)
	m.mailbox.Post(func() {
		m.isRetiring = true
		for _, runner := range m.runners {
			runner.engineMailbox.Post(runner.engine.Retire)
		}
	})
}
