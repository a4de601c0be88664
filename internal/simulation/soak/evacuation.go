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
	// evacuationLasts is how long a zone stays evacuated, and evacuationPause lies between two evacuations.
	evacuationLasts = 7 * time.Second
	evacuationPause = 2 * time.Second
)

// Evacuation is an order for a zone: when it was acknowledged, and when it was first asked to be taken back.
type Evacuation struct {
	Zone            string
	AcknowledgedAt  time.Duration
	TerminateSentAt time.Duration
}

// evacuate empties one zone after the other until ctx is done, and takes each order back.
func (o *operator) evacuate(ctx context.Context) {
	for number := 0; pause(ctx, evacuationPause); number++ {
		zone := zoneName(number % o.layout.Mix.Zones)
		if !o.orderUntilAnswered(ctx, zone, "initiate") {
			return
		}
		order := Evacuation{Zone: zone, AcknowledgedAt: o.recorder.now()}
		pause(ctx, evacuationLasts)
		order.TerminateSentAt = o.recorder.now()
		// A zone that is left evacuated would keep its jobs from running, so the order is taken back also where the soak ends.
		limited, release := context.WithTimeout(context.WithoutCancel(ctx), settleLimit/2)
		o.orderUntilAnswered(limited, zone, "terminate")
		release()
		o.recorder.write(func(h *History) { h.Evacuations = append(h.Evacuations, order) })
	}
}

// orderUntilAnswered sends an order to one steward after the other until one acknowledges it.
func (o *operator) orderUntilAnswered(ctx context.Context, zone, order string) bool {
	for ctx.Err() == nil {
		if o.ask(ctx, sling.New().Post(o.stewardURL("/v1/evacuation/"+zone+"/"+order)), nil) == http.StatusOK {
			return true
		}
		pause(ctx, retryPause)
	}
	return false
}

// startsInEvacuatedZones looks for runs that were started in a zone after its evacuation had to be in force. Local proxies and executors to
// which something was done are left out, and times at which stewards were troubled, as bounds hold for machines in touch only.
func startsInEvacuatedZones(h *History) []Violation {
	var violations []Violation
	for _, evacuation := range h.Evacuations {
		from, to := evacuation.AcknowledgedAt+h.mix().evacuationInForce(), evacuation.TerminateSentAt
		for _, run := range h.Runs {
			startedAt := h.sinceStart(run.StartMs)
			isLate := h.Zones[run.Node] == evacuation.Zone && startedAt > from+clockSlack && startedAt < to-clockSlack
			if isLate && h.isCalm(run.Node, startedAt) {
				violations = append(violations, Violation{OracleEvacuation, startedAt, fmt.Sprintf("%s starts at %s, %v after its zone %s was evacuated", run.Task, run.Node,
					startedAt-evacuation.AcknowledgedAt, evacuation.Zone)})
			}
		}
	}
	return violations
}

// isCalm tells whether nothing was done to a process or to a steward, and the soak was not stalled, for a contact window before a moment.
func (h *History) isCalm(process string, at time.Duration) bool {
	from := at - contactWindow
	isTroubled := slices.ContainsFunc(h.Troubles, func(trouble Trouble) bool {
		return (trouble.Target == process || h.Stewards[trouble.Target]) && trouble.From <= at && trouble.To >= from
	})
	return !isTroubled && !h.isStalled(from, at)
}
