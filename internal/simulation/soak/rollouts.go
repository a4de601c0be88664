package soak

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/dghubble/sling"

	"gannetline/internal/cluster/configuration"
)

// The services of a soak with rollouts. The jobs of clients go to the old version first. The bad version fails the first run of
// each task; the good version works.
const (
	badServiceName  = serviceName + "-bad"
	goodServiceName = serviceName + "-good"
)

// The names of the rollouts, in their order.
const (
	badRollout  = "bad"
	goodRollout = "good"
)

const (
	// firstRolloutAt is the time since the start at which the first rollout is requested.
	firstRolloutAt = 2 * time.Second
	// The shares of a rollout's first two steps, and the minimum time and number of jobs of each step. The share of the last step
	// is 1.
	firstShare, secondShare = 0.2, 0.5
	stepSeconds             = 2
	stepJobs                = 5
	// maxFailureShare is the tolerated share of failed runs, which the bad version exceeds by far.
	maxFailureShare = 0.1
	// rollBackTimeout is the time after its begin in which the rollout of the bad version must be rolled back. It includes delays
	// by faults.
	rollBackTimeout = 25 * time.Second
	// proxiesForRollouts is the minimum number of local proxies: two of the old version, and one of each new version.
	proxiesForRollouts = 4
)

// versionOf returns the service of a local proxy by its number, in a soak with rollouts. Half of the proxies serve the old
// version.
func versionOf(number int) string {
	switch number % proxiesForRollouts {
	case 2:
		return badServiceName
	case 3:
		return goodServiceName
	}
	return serviceName
}

// RolloutSeen is the state of a rollout in a configuration that the operator read.
type RolloutSeen struct {
	Name  string
	State configuration.RolloutState
	Share float64
	// BegunMs is the time of day of its begin; At is the time of the read, since the start.
	BegunMs int64
	At      time.Duration
	Reason  string
}

// rolloutTo returns a requested rollout of a new version of the service of the clients' queue.
func rolloutTo(name, service string) configuration.Rollout {
	step := func(share float64) configuration.RolloutStep {
		return configuration.RolloutStep{Share: share, MinTimeS: stepSeconds, MinJobs: stepJobs}
	}
	return configuration.Rollout{Name: name, Route: jobsRoute, From: serviceName, To: service, RequestedBy: "soak", OnRollback: configuration.RollbackStop,
		Steps: []configuration.RolloutStep{step(firstShare), step(secondShare), step(1)}, Bounds: configuration.RolloutBounds{Failures: maxFailureShare}}
}

// readCurrent reads the configuration in force and records its rollouts. It returns nil if the steward doesn't answer.
func (o *operator) readCurrent(ctx context.Context) *configuration.Configuration {
	var current configuration.Configuration
	sentAt := o.recorder.now()
	if o.call(ctx, sling.New().Get(o.stewardURL("/v1/configuration/retrieve")), &current) != http.StatusOK {
		return nil
	}
	o.recorder.write(func(h *History) {
		for _, rollout := range current.Rollouts {
			h.Rollouts = append(h.Rollouts, RolloutSeen{Name: rollout.Name, State: rollout.State, Share: rollout.Share(), BegunMs: rollout.BegunMs, At: sentAt,
				Reason: rollout.Reason})
		}
	})
	return &current
}

// nextConfiguration returns the operator's next change of the configuration in force. It keeps what the leader has set for
// rollouts, and requests the next rollout when it is due.
func (o *operator) nextConfiguration(current *configuration.Configuration) configuration.Configuration {
	next := o.newConfiguration(current.Version + 1)
	next.Rollouts = current.Rollouts
	for _, route := range current.Routes {
		if route.Name == jobsRoute {
			next.Routes[0].Service = route.Service
		}
	}
	switch {
	case o.recorder.now() < firstRolloutAt:
	case len(next.Rollouts) == 0:
		next.Rollouts = append(next.Rollouts, rolloutTo(badRollout, badServiceName))
	case len(next.Rollouts) == 1 && next.Rollouts[0].IsOver():
		next.Rollouts = append(next.Rollouts, rolloutTo(goodRollout, goodServiceName))
	}
	return next
}

// badRollouts is the oracle of rollouts: the bad version never gets all jobs, and its rollout is rolled back in time.
func badRollouts(h *History) []Violation {
	var violations []Violation
	startedAt, isRolledBack := time.Duration(0), false
	for _, seen := range h.Rollouts {
		if seen.Name != badRollout {
			continue
		}
		if seen.BegunMs > 0 && startedAt == 0 {
			startedAt = seen.At
		}
		isRolledBack = isRolledBack || seen.State == configuration.RolloutRolledBack
		isLate := startedAt > 0 && !isRolledBack && seen.At-startedAt > rollBackTimeout
		if seen.Share == 1 || isLate {
			return append(violations, Violation{OracleRollout, seen.At, fmt.Sprintf("the bad version has a share of %g, %v after it began", seen.Share, seen.At-startedAt)})
		}
	}
	return violations
}
