package controlkeys

import (
	"context"
	"net/http"

	"gannetline/internal/cluster/peerapi"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/mailbox"
)

// Handle serves what other processes ask of the keys on this machine.
func (m *Manager) Handle(mux *http.ServeMux) {
	if m.hasDisk() {
		m.serveReplicas(mux)
	}
	peerapi.Serve(mux, peerapi.ProcedureIdentify, func(context.Context, *wire.IdentifyCall) (*wire.IdentifyAnswer, error) {
		return m.identity(), nil
	})
	peerapi.Serve(mux, peerapi.ProcedureClient, m.Client)
	peerapi.Serve(mux, peerapi.ProcedureExchange, m.Exchange)
	peerapi.Serve(mux, peerapi.ProcedureTenants, m.Tenants)
	peerapi.Serve(mux, peerapi.ProcedureCoordination, m.CoordinationReports)
	if m.Lots != nil {
		peerapi.Serve(mux, peerapi.ProcedureRetire, m.Retire)
	}
}

// identity names this steward's disk.
func (m *Manager) identity() *wire.IdentifyAnswer {
	switch {
	case !m.hasDisk():
		return &wire.IdentifyAnswer{}
	case m.IsDiskTemporary:
		return &wire.IdentifyAnswer{TemporaryDisk: m.disk, IsNew: true}
	}
	return &wire.IdentifyAnswer{Disk: m.disk, IsNew: m.Store.IsNew()}
}

// serveReplicas serves the calls of the replication protocol to the other stewards.
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

// Client runs a client's or operator's command on the key that it names, if that is led here; else the answer names the leader
// as far as it is known. The error says that ctx was done first, with the outcome unknown.
func (m *Manager) Client(ctx context.Context, call *wire.ClientCall) (*wire.ClientAnswer, error) {
	runner := m.runnerOf(ctx, call.Key)
	if runner == nil {
		return m.notLeader(call.Key), nil
	}
	answer, err := mailbox.Ask(ctx, runner.stateMailbox, func(answer func(wire.ClientAnswer)) { runner.execute(call, answer) })
	if err != nil {
		return nil, err
	}
	if answer.NotLeader {
		redirection := m.notLeader(call.Key)
		redirection.OutcomeUnknown = answer.OutcomeUnknown
		return redirection, nil
	}
	return &answer, nil
}

// Exchange serves a local-proxy, if the pool is led here.
func (m *Manager) Exchange(ctx context.Context, call *wire.ExchangeCall) (*wire.ExchangeAnswer, error) {
	runner := m.runnerOf(ctx, call.Key)
	if runner == nil || runner.pool == nil {
		return &wire.ExchangeAnswer{NotLeader: true, Leader: m.otherLeader(call.Key)}, nil
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
		return &wire.ExchangeAnswer{NotLeader: true, Leader: m.otherLeader(call.Key)}, nil
	}
	return &answer, nil
}

func (m *Manager) notLeader(key string) *wire.ClientAnswer {
	return &wire.ClientAnswer{NotLeader: true, Leader: m.otherLeader(key)}
}

// otherLeader is the name of the leader as the members know it, or empty if that is this process, which does not lead.
func (m *Manager) otherLeader(key string) string {
	if leader := m.Node.View().Leaders[key].Name; leader != m.Name {
		return leader
	}
	return ""
}
