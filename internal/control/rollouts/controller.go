// Package rollouts runs the rollouts in the configuration. A controller runs on each steward, but does something only on the leader of the
// configuration. It fetches the counts of both versions from their pools, package scheduling/rollout decides, and the controller commits each
// step as an ordinary change of the configuration. The change is rejected if the configuration has another version than the one that the
// decision was based on. So a concurrent change by an operator takes precedence, no step is taken twice, and a new leader continues from the
// committed state.
package rollouts

import (
	"bytes"
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/mailru/easyjson"

	"gannetline/internal/cluster/configuration"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/logging"
	"gannetline/internal/scheduling/rollout"
)

const (
	// reconcileInterval is the pause between two reconciliations.
	reconcileInterval = 500 * time.Millisecond
	// reconcileTimeout is the timeout of one reconciliation. The outcome of a change that times out is unknown until the next reconciliation
	// reads the configuration.
	reconcileTimeout = 2 * time.Second
)

// Dependencies are what a controller needs from the process that runs it.
type Dependencies struct {
	Clock clock.Clock
	Log   logging.Logger
	// HasRollouts reports whether the latest configuration known to this process contains rollouts.
	HasRollouts func() bool
	// Execute runs a command on the key of the configuration. The answer has NotLeader set if this process does not lead the key.
	Execute func(ctx context.Context, call *wire.ClientCall) (*wire.ClientAnswer, error)
	// Report fetches the counts of a service from its pool. It returns nil if the pool does not answer.
	Report func(ctx context.Context, service string) *wire.RolloutReport
}

// Controller runs rollouts while this process leads the configuration.
type Controller struct {
	Dependencies
	// tracked holds the rollouts in progress by name. Only the goroutine of Run uses it.
	tracked map[string]*trackedRollout
	// decoded is the last decoded configuration, and decodedBody its JSON. Only the goroutine of Run uses them.
	decoded     *configuration.Configuration
	decodedBody []byte
	// status is the result of Status.
	status atomic.Pointer[wire.RolloutsStatus]
}

// trackedRollout is the state of one rollout in progress. A rollout that begins again under the same name gets a new one.
type trackedRollout struct {
	judge   *rollout.Judge
	begunMs int64
	// reason is the reason that was logged last.
	reason rollout.Reason
}

// New creates a controller, which does nothing until Run or Reconcile is called.
func New(dependencies Dependencies) *Controller {
	return &Controller{Dependencies: dependencies, tracked: map[string]*trackedRollout{}}
}

// Run reconciles periodically until ctx is done.
func (c *Controller) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.Clock.After(reconcileInterval):
			c.Reconcile(ctx)
		}
	}
}

// Status returns the status of all rollouts after the last reconciliation. It is nil if this process does not lead the configuration, if
// the configuration has no rollouts, or before the first reconciliation. It may be called from any goroutine.
func (c *Controller) Status() *wire.RolloutsStatus { return c.status.Load() }

// Reconcile decides once on each rollout, and makes at most one change of the configuration.
func (c *Controller) Reconcile(ctx context.Context) {
	if !c.HasRollouts() {
		c.reset()
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reconcileTimeout)
	defer cancel()
	current, err := c.Execute(ctx, &wire.ClientCall{Verb: wire.VerbRetrieve})
	if err != nil || current.NotLeader || current.Status != http.StatusOK {
		c.reset()
		return
	}
	if err := c.decode(current.Body); err != nil {
		c.Log.Error(err, "configuration for rollouts not decoded")
		return
	}
	c.judgeAll(ctx, c.decoded, current)
}

// decode decodes a configuration into c.decoded. It does nothing if c.decoded is this configuration already.
func (c *Controller) decode(body []byte) error {
	if c.decoded != nil && bytes.Equal(c.decodedBody, body) {
		return nil
	}
	decoded, err := configuration.Read(body)
	if err != nil {
		return err
	}
	c.decoded, c.decodedBody = decoded, body
	return nil
}

// reset drops the state of all rollouts when this process does not lead the configuration, can't read it, or finds no rollouts in it. When
// this process leads again, it starts with new state.
func (c *Controller) reset() {
	c.tracked = map[string]*trackedRollout{}
	c.status.Store(nil)
}

// judgeAll decides on each rollout of the current configuration, applies the first decision that changes a rollout, and publishes the
// status. It fetches the report of each pool at most once.
func (c *Controller) judgeAll(ctx context.Context, decoded *configuration.Configuration, current *wire.ClientAnswer) {
	reports := map[string]*wire.RolloutReport{}
	report := func(service string) *wire.RolloutReport {
		if _, isKnown := reports[service]; !isKnown {
			reports[service] = c.Report(ctx, service)
		}
		return reports[service]
	}
	status := &wire.RolloutsStatus{Version: decoded.Version}
	hasChanged := false
	for index := range decoded.Rollouts {
		configured := &decoded.Rollouts[index]
		if configured.IsOver() {
			status.Rollouts = append(status.Rollouts, statusOf(configured, rollout.Evidence{}, rollout.Decision{}))
			continue
		}
		evidence := rollout.Evidence{Old: versionOf(report(configured.From), configured), New: versionOf(report(configured.To), configured)}
		tracked := c.track(configured)
		decision := tracked.judge.Decide(configured, evidence, current.WallMs)
		c.logDecision(configured, tracked, decision)
		status.Rollouts = append(status.Rollouts, statusOf(configured, evidence, decision))
		if !hasChanged && decision.Action != rollout.Hold {
			hasChanged = true
			c.change(ctx, configured, evidence, decision, current)
		}
	}
	c.status.Store(status)
	updateMetrics(status)
}

// track returns the state of a rollout, and creates it if the rollout is new or has begun again.
func (c *Controller) track(configured *configuration.Rollout) *trackedRollout {
	tracked := c.tracked[configured.Name]
	if tracked == nil || tracked.begunMs != configured.BegunMs {
		tracked = &trackedRollout{judge: &rollout.Judge{}, begunMs: configured.BegunMs}
		c.tracked[configured.Name] = tracked
	}
	return tracked
}

// versionOf returns a version of a rollout from the report of its pool. Without a report the version is not known.
func versionOf(report *wire.RolloutReport, configured *configuration.Rollout) rollout.Version {
	if report == nil {
		return rollout.Version{}
	}
	return rollout.VersionFrom(report, configured.Name, configured.BegunMs)
}

// logDecision logs a decision, unless it is a Hold with the same reason as the decision that was logged last.
func (c *Controller) logDecision(configured *configuration.Rollout, tracked *trackedRollout, decision rollout.Decision) {
	if decision.Reason == tracked.reason && decision.Action == rollout.Hold {
		return
	}
	tracked.reason = decision.Reason
	fields := []any{"rollout", configured.Name, "route", configured.Route, "action", decision.Action, "reason", decision.Reason, "step", configured.Step, "share", configured.Share()}
	if decision.Decisive != nil {
		fields = append(fields, "verdict", decision.Decisive.String())
	}
	c.Log.Info("rollout judged", fields...)
}

// change applies a decision by a change of the configuration. If the outcome is unknown, the next reconciliation finds it out.
func (c *Controller) change(ctx context.Context, configured *configuration.Rollout, evidence rollout.Evidence, decision rollout.Decision, current *wire.ClientAnswer) {
	amendment := configuration.AmendDecoded(c.decoded, current.Body).SetProgress(configured.Name, rollout.ProgressAfter(configured, evidence, decision, current.WallMs))
	body, err := amendment.Body()
	if err != nil {
		c.Log.Error(err, "rollout not changed", "rollout", configured.Name)
		return
	}
	answer, err := c.Execute(ctx, &wire.ClientCall{Verb: wire.VerbReplace, Base: amendment.Base(), Body: body})
	switch {
	case err != nil:
		c.Log.Error(errors.Annotate(err, "changing the configuration"), "rollout not changed", "rollout", configured.Name)
	case answer.NotLeader:
	case answer.Status != http.StatusOK:
		c.Log.Info("rollout not changed", "rollout", configured.Name, "status", answer.Status, "reason", answer.Reason)
	default:
		decisions.With(configured.Name, string(decision.Action)).Inc()
		c.Log.Info("rollout changed", "rollout", configured.Name, "route", configured.Route, "action", decision.Action, "reason", decision.Reason,
			"version", amendment.Base()+1)
	}
}

// StatusAnswer returns the status as the answer to a client's call.
func (c *Controller) StatusAnswer() wire.ClientAnswer {
	status := c.Status()
	if status == nil {
		status = &wire.RolloutsStatus{Rollouts: []wire.RolloutStatus{}}
	}
	body, err := easyjson.Marshal(status)
	if err != nil {
		c.Log.Error(err, "rollout status not encoded")
		return wire.ClientAnswer{Status: http.StatusInternalServerError, Reason: "the answer could not be written"}
	}
	return wire.ClientAnswer{Status: http.StatusOK, Body: body}
}
