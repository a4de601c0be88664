package controlkeys

import (
	"context"
	"time"

	"gannetline/internal/cluster/leaderclient"
	"gannetline/internal/cluster/peerapi/wire"
)

// AskLeader sends a call to the leader of the call's key and returns within the timeout. The leader may delay its answer by up to wait.
// AskLeader tries this process first, because that needs no network message.
func (m *Manager) AskLeader(ctx context.Context, call *wire.ClientCall, timeout, wait time.Duration) leaderclient.Outcome {
	deadline := m.Clock.Monotonic() + timeout
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answer, err := m.ExecuteLocally(ctx, call)
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
