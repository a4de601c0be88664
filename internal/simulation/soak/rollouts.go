package soak

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/dghubble/sling"

	"gannetline/internal/cluster/configuration"
)

// The services of a soak with rollouts: clients' jobs go to the old version, a bad one fails each task's first run, a good one behaves.
const (
	badServiceName  = serviceName + "-bad"
	goodServiceName = serviceName + "-good"
)

// The rollouts of a soak, one after the other.
const (
	badRollout  = "bad"
	goodRollout = "good"
)

const (
	// rolloutsFrom is how long after the start of the clients the first rollout is asked for.
	rolloutsFrom = 2 * time.Second
	// The shares of a rollout, and how long and for how many jobs each lasts at least.
	firstShare, secondShare = 0.2, 0.5
	stepSeconds             = 2
	stepJobs                = 5
	// agreedFailures is the share of runs that may fail, which the bad version exceeds by far.
	agreedFailures = 0.1
	// turnBackBound is how long the bad version may go on once it has begun, with all faults that strike meanwhile.
	turnBackBound = 25 * time.Second
	// proxiesForRollouts is how many local proxies there must be at least for three versions.
	proxiesForRollouts = 4
)

// versionOf is the service that the local proxy of a number serves in a soak with rollouts: half of them the old version.
func versionOf(number int) string {
	switch number % proxiesForRollouts {
	case 2:
		return badServiceName
	case 3:
		return goodServiceName
	}
	return serviceName
}

// RolloutSeen is how a rollout stood when the operator read the configuration.
type RolloutSeen struct {
	Name  string
	State configuration.RolloutState
	Share float64
	// BegunMs is when it began, by the time of day; At when it was seen, since the start.
	BegunMs int64
	At      time.Duration
	Reason  string
}

// rolloutTo asks for a new version of the service of the clients' queue.
func rolloutTo(name, service string) configuration.Rollout {
	step := func(share float64) configuration.RolloutStep {
		return configuration.RolloutStep{Share: share, MinTimeS: stepSeconds, MinJobs: stepJobs}
	}
	return configuration.Rollout{Name: name, Route: jobsRoute, From: serviceName, To: service, RequestedBy: "soak", OnRollback: configuration.RollbackStop,
		Steps: []configuration.RolloutStep{step(firstShare), step(secondShare), step(1)}, Bounds: configuration.RolloutBounds{Failures: agreedFailures}}
}

// current reads the configuration in force; nil if no steward answers.
func (o *operator) current(ctx context.Context) *configuration.Configuration {
	var current configuration.Configuration
	sentAt := o.recorder.now()
	if o.ask(ctx, sling.New().Get(o.stewardURL("/v1/configuration/retrieve")), &current) != http.StatusOK {
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

// nextConfiguration is the change of an operator on the configuration in force: what the leader keeps of rollouts stays, and the next one is
// asked for when it is time.
func (o *operator) nextConfiguration(current *configuration.Configuration) configuration.Configuration {
	next := o.configurationOf(current.Version + 1)
	next.Rollouts = current.Rollouts
	for _, route := range current.Routes {
		if route.Name == jobsRoute {
			next.Routes[0].Service = route.Service
		}
	}
	switch {
	case o.recorder.now() < rolloutsFrom:
	case len(next.Rollouts) == 0:
		next.Rollouts = append(next.Rollouts, rolloutTo(badRollout, badServiceName))
	case len(next.Rollouts) == 1 && next.Rollouts[0].IsOver():
		next.Rollouts = append(next.Rollouts, rolloutTo(goodRollout, goodServiceName))
	}
	return next
}

// badRollouts is the oracle of rollouts: the bad version never gets all jobs, and is turned back in time once it has begun.
func badRollouts(h *History) []Violation {
	var violations []Violation
	begunAt, isTurnedBack := time.Duration(0), false
	for _, seen := range h.Rollouts {
		if seen.Name != badRollout {
			continue
		}
		if seen.BegunMs > 0 && begunAt == 0 {
			begunAt = seen.At
		}
		isTurnedBack = isTurnedBack || seen.State == configuration.RolloutRolledBack
		isLate := begunAt > 0 && !isTurnedBack && seen.At-begunAt > turnBackBound
		if seen.Share == 1 || isLate {
			return append(violations, Violation{OracleRollout, seen.At, fmt.Sprintf("the bad version has a share of %g, %v after it began", seen.Share, seen.At-begunAt)})
		}
	}
	return violations
}
