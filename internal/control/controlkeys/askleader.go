package controlkeys

import (
	"context"
	"time"

	"gannetline/internal/cluster/leaderclient"
	"gannetline/internal/cluster/peerapi/wire"
)

// AskLeader asks the leader of a key within the limit; the leader may keep its answer back for a wait. This process is asked first, as
// that costs no message.
func (m *Manager) AskLeader(ctx context.Context, call *wire.ClientCall, limit, wait time.Duration) leaderclient.Outcome {
	deadline := m.Clock.Monotonic() + limit
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	answer, err := m.Client(ctx, call)
	switch {
	case err != nil:
		return leaderclient.Outcome{MayHaveRun: true}
	case !answer.NotLeader:
		return leaderclient.Outcome{Answer: answer}
	case m.LeaderClient == nil:
		return leaderclient.Outcome{MayHaveRun: answer.OutcomeUnknown}
	}
	outcome := m.LeaderClient.AskWaiting(ctx, call, deadline-m.Clock.Monotonic(), wait)
	outcome.MayHaveRun = outcome.MayHaveRun || answer.OutcomeUnknown
	return outcome
}
