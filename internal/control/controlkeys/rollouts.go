package controlkeys

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/mailru/easyjson"

	"gannetline/internal/cluster/configcache"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/configleader"
	"gannetline/internal/control/queuemoves"
	"gannetline/internal/control/rollouts"
	"gannetline/internal/platform/mailbox"
	"gannetline/internal/scheduling/scheduler"
)

const (
	// transferTimeout limits a call that transfers a job to another pool.
	transferTimeout = time.Second
	// reportTimeout limits a call that reads the rollout counts of a pool.
	reportTimeout = 400 * time.Millisecond
)

// newRolloutController creates the controller of the rollouts, which is active while this process leads the configuration's key.
func (m *Manager) newRolloutController() *rollouts.Controller {
	return rollouts.New(rollouts.Dependencies{Clock: m.Clock, Log: m.Log, HasRollouts: m.hasRollouts, Report: m.fetchRolloutReport,
		Execute: func(ctx context.Context, call *wire.ClientCall) (*wire.ClientAnswer, error) {
			call.Key = configleader.Key
			return m.ExecuteLocally(ctx, call)
		}})
}

// hasRollouts reports whether the newest configuration known to this process has rollouts.
func (m *Manager) hasRollouts() bool {
	snapshot := m.Configurations.Current()
	return snapshot != nil && len(snapshot.Matcher.Configuration().Rollouts) > 0
}

// fetchRolloutReport returns the rollout counts of a service's pool, nil if the pool's leader does not return them within reportTimeout.
func (m *Manager) fetchRolloutReport(ctx context.Context, service string) *wire.RolloutReport {
	outcome := m.AskLeader(ctx, &wire.ClientCall{Key: wire.PoolKey(service), Verb: wire.VerbRollouts}, reportTimeout, 0)
	if outcome.Answer == nil || outcome.Answer.Status != http.StatusOK {
		return nil
	}
	report := &wire.RolloutReport{}
	if err := easyjson.Unmarshal(outcome.Answer.Body, report); err != nil {
		m.Log.Error(err, "decoding the rollout report of a pool failed", "service", service)
		return nil
	}
	return report
}

// newRolloutPolicySource returns a function that returns the rollout policy of a pool according to the configuration in force. The policy
// covers the rollouts in which the pool's service is the old or the new version. The function must run on the pool's goroutine.
func (m *Manager) newRolloutPolicySource(key string) func() scheduler.RolloutPolicy {
	service := strings.TrimPrefix(key, wire.PoolPrefix)
	var lastSnapshot *configcache.Snapshot
	var policy scheduler.RolloutPolicy
	return func() scheduler.RolloutPolicy {
		if snapshot := m.Configurations.Current(); snapshot != nil && snapshot != lastSnapshot {
			lastSnapshot, policy = snapshot, rollouts.PolicyFor(snapshot, service)
		}
		return policy
	}
}

// newQueueRoutingSource returns a function that returns the queue routing of a pool according to the configuration in force, nil if there is
// none. The function must run on the pool's goroutine.
func (m *Manager) newQueueRoutingSource(key string) func() scheduler.QueueRouting {
	service := strings.TrimPrefix(key, wire.PoolPrefix)
	var lastSnapshot *configcache.Snapshot
	var routing scheduler.QueueRouting
	return func() scheduler.QueueRouting {
		if snapshot := m.Configurations.Current(); snapshot != nil && snapshot != lastSnapshot {
			lastSnapshot, routing = snapshot, queuemoves.NewRouting(snapshot, service)
		}
		return routing
	}
}

// transferSender sends jobs of a pool to other pools and passes the answers to the pool's goroutine.
type transferSender struct {
	manager *Manager
	mailbox *mailbox.Mailbox
	ctx     context.Context
}

// Send sends a job to the leader of a service's pool. The function answer runs later on the goroutine of the sending pool, with nil if no
// leader has answered.
func (s *transferSender) Send(service string, call *wire.ClientCall, answer func(*wire.ClientAnswer)) {
	call.Key = wire.PoolKey(service)
	go func() {
		outcome := s.manager.AskLeader(s.ctx, call, transferTimeout, 0)
		s.mailbox.Post(func() { answer(outcome.Answer) })
	}()
}
