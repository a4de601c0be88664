package controlkeys

import (
	"context"
	"net/http"

	"gannetline/internal/cluster/peerapi"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/mailbox"
)

// Handle registers the handlers for calls of other processes to the keys of this process.
func (m *Manager) Handle(mux *http.ServeMux) {
	if m.hasDisk() {
		m.serveReplicas(mux)
	}
	peerapi.Serve(mux, peerapi.ProcedureIdentify, func(context.Context, *wire.IdentifyCall) (*wire.IdentifyAnswer, error) {
		return m.identifyDisk(), nil
	})
	peerapi.Serve(mux, peerapi.ProcedureClient, m.ExecuteLocally)
	peerapi.Serve(mux, peerapi.ProcedureExchange, m.Exchange)
	peerapi.Serve(mux, peerapi.ProcedureTenants, m.Tenants)
	peerapi.Serve(mux, peerapi.ProcedureCoordination, m.CoordinationReports)
	if m.Lots != nil {
		peerapi.Serve(mux, peerapi.ProcedureRetire, m.Retire)
	}
}

// identifyDisk returns the name of this steward's disk and whether it is new. A temporary disk always counts as new. The answer is empty on a
// machine without a disk.
func (m *Manager) identifyDisk() *wire.IdentifyAnswer {
	switch {
	case !m.hasDisk():
		return &wire.IdentifyAnswer{}
	case m.IsDiskTemporary:
		return &wire.IdentifyAnswer{TemporaryDisk: m.disk, IsNew: true}
	}
	return &wire.IdentifyAnswer{Disk: m.disk, IsNew: m.Store.IsNew()}
}

// serveReplicas registers the handlers for the replication calls of other stewards.
func (m *Manager) serveReplicas(mux *http.ServeMux) {
	peerapi.Serve(mux, peerapi.ProcedurePromise, func(ctx context.Context, call *wire.PromiseCall) (*wire.PromiseAnswer, error) {
		answer, err := m.Replicas.AskPromise(ctx, *call)
		return &answer, err
	})
	peerapi.Serve(mux, peerapi.ProcedureAppend, func(ctx context.Context, call *wire.AppendCall) (*wire.AppendAnswer, error) {
		answer, err := m.Replicas.AskAppend(ctx, *call)
		return &answer, err
	})
	peerapi.Serve(mux, peerapi.ProcedureFetch, func(ctx context.Context, call *wire.FetchCall) (*wire.FetchAnswer, error) {
		answer, err := m.Replicas.AskFetch(ctx, *call)
		return &answer, err
	})
}

// ExecuteLocally runs a command on the key that the call names if this process leads the key. Otherwise the answer has NotLeader set and
// names the leader, if that is known. An error means that ctx was done first and that the outcome is unknown.
func (m *Manager) ExecuteLocally(ctx context.Context, call *wire.ClientCall) (*wire.ClientAnswer, error) {
	runner := m.findRunner(ctx, call.Key)
	if runner == nil {
		return m.newNotLeaderAnswer(call.Key), nil
	}
	answer, err := mailbox.Ask(ctx, runner.stateMailbox, func(answer func(wire.ClientAnswer)) { runner.execute(call, answer) })
	if err != nil {
		return nil, err
	}
	if answer.NotLeader {
		redirection := m.newNotLeaderAnswer(call.Key)
		redirection.OutcomeUnknown = answer.OutcomeUnknown
		return redirection, nil
	}
	return &answer, nil
}

// Exchange serves a call of a local proxy to a pool. If this process does not lead the pool, the answer has NotLeader set and names the
// leader, if that is known.
func (m *Manager) Exchange(ctx context.Context, call *wire.ExchangeCall) (*wire.ExchangeAnswer, error) {
	runner := m.findRunner(ctx, call.Key)
	if runner == nil || runner.pool == nil {
		return &wire.ExchangeAnswer{NotLeader: true, Leader: m.findOtherLeader(call.Key)}, nil
	}
	answer, err := mailbox.Ask(ctx, runner.stateMailbox, func(answer func(wire.ExchangeAnswer)) {
		if !runner.pool.IsOpen() {
			answer(wire.ExchangeAnswer{NotLeader: true})
			return
		}
		runner.pool.Exchange(call, answer)
	})
	if err != nil {
		return nil, err
	}
	if answer.NotLeader {
		return &wire.ExchangeAnswer{NotLeader: true, Leader: m.findOtherLeader(call.Key)}, nil
	}
	return &answer, nil
}

// newNotLeaderAnswer returns an answer that redirects the caller to the leader of the key.
func (m *Manager) newNotLeaderAnswer(key string) *wire.ClientAnswer {
	return &wire.ClientAnswer{NotLeader: true, Leader: m.findOtherLeader(key)}
}

// findOtherLeader returns the name of the key's leader according to the membership view. It is empty if the leader is unknown, or if the
// view names this process, which does not lead the key.
func (m *Manager) findOtherLeader(key string) string {
	if leader := m.Node.View().Leaders[key].Name; leader != m.Name {
		return leader
	}
	return ""
}
