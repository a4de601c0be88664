package soak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/dghubble/sling"
)

const (
	// evacuationLength is the time for which a zone stays evacuated, and evacuationPause is the time between two evacuations.
	evacuationLength = 7 * time.Second
	evacuationPause  = 2 * time.Second
)

// Evacuation is one evacuation of a zone: when a steward acknowledged it, and when the operator first asked to end it.
type Evacuation struct {
	Zone            string
	AcknowledgedAt  time.Duration
	TerminateSentAt time.Duration
}

// evacuate evacuates one zone after another until ctx is done, and ends each evacuation, also the last one.
func (o *operator) evacuate(ctx context.Context) {
	for number := 0; pause(ctx, evacuationPause); number++ {
		zone := zoneName(number % o.layout.Mix.Zones)
		if !o.requestUntilAcknowledged(ctx, zone, "initiate") {
			return
		}
		evacuation := Evacuation{Zone: zone, AcknowledgedAt: o.recorder.now()}
		pause(ctx, evacuationLength)
		evacuation.TerminateSentAt = o.recorder.now()
		// A zone that stays evacuated would keep jobs from running, so the evacuation is ended even if the soak ends meanwhile.
		timeoutCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout/2)
		o.requestUntilAcknowledged(timeoutCtx, zone, "terminate")
		cancel()
		o.recorder.write(func(h *History) { h.Evacuations = append(h.Evacuations, evacuation) })
	}
}

// requestUntilAcknowledged requests the start or the end of an evacuation from random stewards until one acknowledges it. It
// returns false if ctx is done first.
func (o *operator) requestUntilAcknowledged(ctx context.Context, zone, action string) bool {
	for ctx.Err() == nil {
		if o.call(ctx, sling.New().Post(o.stewardURL("/v1/evacuation/"+zone+"/"+action)), nil) == http.StatusOK {
			return true
		}
		pause(ctx, retryPause)
	}
	return false
}

// startsInEvacuatedZones is the oracle of evacuations: no run starts in a zone between the deadline of its evacuation and the
// request to end it. Starts shortly after a stall, or after a fault of their process or of a steward, are left out: the deadline
// only applies to machines that are in contact with the stewards.
func startsInEvacuatedZones(h *History) []Violation {
	var violations []Violation
	for _, evacuation := range h.Evacuations {
		from, to := evacuation.AcknowledgedAt+h.mix().evacuationDeadline(), evacuation.TerminateSentAt
		for _, run := range h.Runs {
			startedAt := h.sinceStart(run.StartMs)
			isLate := h.Zones[run.Node] == evacuation.Zone && startedAt > from+clockSlack && startedAt < to-clockSlack
			if isLate && h.isUndisturbed(run.Node, startedAt) {
				violations = append(violations, Violation{OracleEvacuation, startedAt, fmt.Sprintf("%s starts at %s, %v after its zone %s was evacuated", run.Task, run.Node,
					startedAt-evacuation.AcknowledgedAt, evacuation.Zone)})
			}
		}
	}
	return violations
}

// isUndisturbed reports whether no fault affected a process or any steward, and the soak did not stall, within contactWindow
// before a time.
func (h *History) isUndisturbed(process string, at time.Duration) bool {
	from := at - contactWindow
	hadFault := slices.ContainsFunc(h.Troubles, func(trouble Trouble) bool {
		return (trouble.Target == process || h.Stewards[trouble.Target]) && trouble.From <= at && trouble.To >= from
	})
	return !hadFault && !h.isStalled(from, at)
}
