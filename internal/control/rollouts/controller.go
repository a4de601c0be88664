// Package rollouts carries out the rollouts that the configuration names. It runs on each steward, and does something only where the
// configuration is led: it asks the pools of both versions what they have counted, has package scheduling/rollout decide, and makes each
// step an ordinary change of the configuration on the version that it was decided on. So a change by an operator in between wins, a step is
// never taken twice, and a new leader goes on from what is committed.
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
	// reconcileInterval is how often rollouts under way are judged.
	reconcileInterval = 500 * time.Millisecond
	// changeTimeout is how long a change of the configuration may take before its outcome counts as unknown; the next judgement sees what came of it.
	changeTimeout = 2 * time.Second
)

// Surroundings are what a controller stands on.
type Surroundings struct {
	Clock clock.Clock
	Log   logging.Logger
	// HasRollouts tells whether the newest configuration that this process knows names any.
	HasRollouts func() bool
	// Execute runs a command on the key of the configuration; its answer says so if that is not led here.
	Execute func(ctx context.Context, call *wire.ClientCall) (*wire.ClientAnswer, error)
	// Report asks the pool of a service for its counts; nil stands for no answer.
	Report func(ctx context.Context, service string) *wire.RolloutReport
}

// Controller carries out rollouts while the configuration is led here.
type Controller struct {
	Surroundings
	// judges watch the rollouts under way, by name; they belong to the goroutine of Run.
	judges map[string]*watchedRollout
	// known is the configuration that was read last, of the text knownBody; both belong to the goroutine of Run.
	known     *configuration.Configuration
	knownBody []byte
	status    atomic.Pointer[wire.RolloutsStatus]
}

// watchedRollout is the judge of one rollout; one that begins anew under the same name gets another.
type watchedRollout struct {
	judge   *rollout.Judge
	begunMs int64
	// reason is the last that was logged.
	reason rollout.Reason
}

// New makes a controller.
func New(surroundings Surroundings) *Controller {
	return &Controller{Surroundings: surroundings, judges: map[string]*watchedRollout{}}
}

// Run judges the rollouts again and again until ctx is done.
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

// Status is how the rollouts stand, nil where the configuration is not led here or was not judged yet. Any goroutine may ask.
func (c *Controller) Status() *wire.RolloutsStatus { return c.status.Load() }

// Reconcile judges all rollouts once, and makes at most one change.
func (c *Controller) Reconcile(ctx context.Context) {
	if !c.HasRollouts() {
		c.forget()
		return
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	current, err := c.Execute(ctx, &wire.ClientCall{Verb: wire.VerbRetrieve})
	if err != nil || current.NotLeader || current.Status != http.StatusOK {
		c.forget()
		return
	}
	if err := c.read(current.Body); err != nil {
		c.Log.Error(err, "configuration not read")
		return
	}
	c.judgeAll(ctx, c.known, current)
}

// read reads the text of a configuration, unless it is the one that was read last.
func (c *Controller) read(body []byte) error {
	if c.known != nil && bytes.Equal(c.knownBody, body) {
		return nil
	}
	decoded, err := configuration.Read(body)
	if err != nil {
		return err
	}
	c.known, c.knownBody = decoded, body
	return nil
}

// forget drops all judges: the next leader of the configuration has its own, and this one begins anew if it leads again.
func (c *Controller) forget() {
	c.judges = map[string]*watchedRollout{}
	c.status.Store(nil)
}

// judgeAll judges the rollouts of the configuration in force.
func (c *Controller) judgeAll(ctx context.Context, decoded *configuration.Configuration, current *wire.ClientAnswer) {
	reports := map[string]*wire.RolloutReport{}
	report := func(service string) *wire.RolloutReport {
		if _, isKnown := reports[service]; !isKnown {
			reports[service] = c.Report(ctx, service)
		}
		return reports[service]
	}
	status := &wire.RolloutsStatus{Version: decoded.Version}
	isChanged := false
	for index := range decoded.Rollouts {
		configured := &decoded.Rollouts[index]
		if configured.IsOver() {
			status.Rollouts = append(status.Rollouts, statusOf(configured, rollout.Evidence{}, rollout.Decision{}))
			continue
		}
		evidence := rollout.Evidence{Old: versionOf(report(configured.From), configured), New: versionOf(report(configured.To), configured)}
		watched := c.watched(configured)
		decision := watched.judge.Decide(configured, evidence, current.WallMs)
		c.logDecision(configured, watched, decision)
		status.Rollouts = append(status.Rollouts, statusOf(configured, evidence, decision))
		if !isChanged && decision.Action != rollout.Hold {
			isChanged = true
			c.change(ctx, configured, evidence, decision, current)
		}
	}
	c.status.Store(status)
	showMetrics(status)
}

// watched gives the judge of a rollout.
func (c *Controller) watched(configured *configuration.Rollout) *watchedRollout {
	watched := c.judges[configured.Name]
	if watched == nil || watched.begunMs != configured.BegunMs {
		watched = &watchedRollout{judge: &rollout.Judge{}, begunMs: configured.BegunMs}
		c.judges[configured.Name] = watched
	}
	return watched
}

func versionOf(report *wire.RolloutReport, configured *configuration.Rollout) rollout.Version {
	if report == nil {
		return rollout.Version{}
	}
	return rollout.VersionFrom(report, configured.Name, configured.BegunMs)
}

// logDecision logs a decision with its figures, once for each reason.
func (c *Controller) logDecision(configured *configuration.Rollout, watched *watchedRollout, decision rollout.Decision) {
	if decision.Reason == watched.reason && decision.Action == rollout.Hold {
		return
	}
	watched.reason = decision.Reason
	fields := []any{"rollout", configured.Name, "route", configured.Route, "action", decision.Action, "reason", decision.Reason, "step", configured.Step, "share", configured.Share()}
	if decision.Decisive != nil {
		fields = append(fields, "verdict", decision.Decisive.String())
	}
	c.Log.Info("rollout judged", fields...)
}

// change makes a decision a change of the configuration. What came of it, if that is not clear, the next judgement sees.
func (c *Controller) change(ctx context.Context, configured *configuration.Rollout, evidence rollout.Evidence, decision rollout.Decision, current *wire.ClientAnswer) {
	amendment := configuration.AmendDecoded(c.known, current.Body).SetProgress(configured.Name, rollout.ProgressAfter(configured, evidence, decision, current.WallMs))
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

// StatusAnswer is the answer to a question how the rollouts stand.
func (c *Controller) StatusAnswer() wire.ClientAnswer {
	status := c.Status()
	if status == nil {
		status = &wire.RolloutsStatus{Rollouts: []wire.RolloutStatus{}}
	}
	body, err := easyjson.Marshal(status)
	if err != nil {
		c.Log.Error(err, "answer not written")
		return wire.ClientAnswer{Status: http.StatusInternalServerError, Reason: "the answer could not be written"}
	}
	return wire.ClientAnswer{Status: http.StatusOK, Body: body}
}
