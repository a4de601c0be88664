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
	"gannetline/internal/control/rollouts"
	"gannetline/internal/platform/mailbox"
	"gannetline/internal/scheduling/scheduler"
)

const (
	// transferTimeout is how long a pool waits for the answer to a job that it sends to another pool.
	transferTimeout = time.Second
	// reportTimeout is how long a pool may take to tell what it has counted.
	reportTimeout = 400 * time.Millisecond
)

// newRollouts makes the controller of the rollouts, which works while the configuration is led here.
func (m *Manager) newRollouts() *rollouts.Controller {
	return rollouts.New(rollouts.Dependencies{Clock: m.Clock, Log: m.Log, HasRollouts: m.hasRollouts, Report: m.rolloutReport,
		Execute: func(ctx context.Context, call *wire.ClientCall) (*wire.ClientAnswer, error) {
			call.Key = configleader.Key
			return m.Client(ctx, call)
		}})
}

// hasRollouts tells whether the newest configuration known here names rollouts.
func (m *Manager) hasRollouts() bool {
	snapshot := m.Configurations.Current()
	return snapshot != nil && len(snapshot.Matcher.Configuration().Rollouts) > 0
}

// rolloutReport asks the pool of a service what it has counted; nil if nobody answers in time.
func (m *Manager) rolloutReport(ctx context.Context, service string) *wire.RolloutReport {
	outcome := m.AskLeader(ctx, &wire.ClientCall{Key: wire.PoolKey(service), Verb: wire.VerbRollouts}, reportTimeout, 0)
	if outcome.Answer == nil || outcome.Answer.Status != http.StatusOK {
		return nil
	}
	report := &wire.RolloutReport{}
	if err := easyjson.Unmarshal(outcome.Answer.Body, report); err != nil {
		m.Log.Error(err, "answer not read", "service", service)
		return nil
	}
	return report
}

// rolloutPolicy gives what the configuration in force says of the rollouts in which a pool's service is a version. The function that it
// returns belongs to the pool's goroutine.
func (m *Manager) rolloutPolicy(key string) func() scheduler.RolloutPolicy {
	service := strings.TrimPrefix(key, wire.PoolPrefix)
	var known *configcache.Snapshot
	var policy scheduler.RolloutPolicy
	return func() scheduler.RolloutPolicy {
		if snapshot := m.Configurations.Current(); snapshot != nil && snapshot != known {
			known, policy = snapshot, rollouts.PolicyFor(snapshot.Committed.Version, snapshot.Matcher, service)
		}
		return policy
	}
}

// transferSender carries the jobs of a pool to other pools, and the answers to the pool's goroutine.
type transferSender struct {
	manager *Manager
	mailbox *mailbox.Mailbox
	ctx     context.Context
}

// Send gives a job to the leader of a service's pool; answer runs later on the sending pool's goroutine.
func (s *transferSender) Send(service string, call *wire.ClientCall, answer func(*wire.ClientAnswer)) {
	call.Key = wire.PoolKey(service)
	go func() {
		outcome := s.manager.AskLeader(s.ctx, call, transferTimeout, 0)
		s.mailbox.Post(func() { answer(outcome.Answer) })
	}()
}
