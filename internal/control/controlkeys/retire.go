package controlkeys

import (
	"context"

	"gannetline/internal/cluster/peerapi/wire"
)

// Retire has this machine be emptied, if the call says so, and tells how far that is. That it is being emptied is durable before it is
// answered, so that it goes on after a restart. The machine is empty once its disk votes on no key: the disk that took its place had
// caught up by then, and the change is committed.
func (m *Manager) Retire(_ context.Context, call *wire.RetireCall) (*wire.RetireAnswer, error) {
	isRetiring, err := m.Store.IsRetiring()
	if err != nil {
		return nil, err
	}
	if call.Begin && !isRetiring {
		if err := m.Store.SetRetiring(); err != nil {
			return nil, err
		}
		m.beginLeave()
		isRetiring = true
	}
	if !isRetiring {
		return &wire.RetireAnswer{}, nil
	}
	isEmpty, err := m.votesOnNothing()
	return &wire.RetireAnswer{IsRetiring: true, IsEmpty: isEmpty}, err
}

// resumeRetiring goes on with what an earlier process began.
func (m *Manager) resumeRetiring() {
	isRetiring, err := m.Store.IsRetiring()
	if err != nil {
		m.Log.Error(err, "disk not read")
		return
	}
	if isRetiring {
		m.Log.Info("still being emptied")
		m.beginLeave()
	}
}
