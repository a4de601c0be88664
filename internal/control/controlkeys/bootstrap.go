package controlkeys

import (
	"context"
	"slices"
	"time"

	"gannetline/internal/cluster/peerapi"
	"gannetline/internal/cluster/peerapi/wire"
)

// FoundFirst asks the seeds for their disks until all have spoken; they are the first voters.
func (r *Ring) FoundFirst(ctx context.Context, seeds []string) {
	answers := map[string]wire.IdentifyAnswer{}
	for {
		for _, seed := range seeds {
			if _, hasSpoken := answers[seed]; hasSpoken {
				continue
			}
			answer, err := peerapi.Call[wire.IdentifyCall, wire.IdentifyAnswer](r.caller, ctx, seed,
				peerapi.ProcedureIdentify, 500*time.Millisecond, &wire.IdentifyCall{})
			if err == nil {
				answers[seed] = *answer
			}
		}
		if len(answers) == len(seeds) {
			voters := firstVoters(answers)
			r.log.Info("the first voters", "disks", voters)
			r.Found(voters)
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-r.clock.After(100 * time.Millisecond):
		}
	}
}

// firstVoters are the seeds' disks; makeshift ones count only if no seed has a lasting one.
func firstVoters(answers map[string]wire.IdentifyAnswer) []string {
	var lasting, makeshift []string
	for _, answer := range answers {
		if answer.Disk != "" {
			lasting = append(lasting, answer.Disk)
		}
		if answer.Makeshift != "" {
			makeshift = append(makeshift, answer.Makeshift)
		}
	}
	voters := lasting
	if len(voters) == 0 {
		voters = makeshift
	}
	slices.Sort(voters)
	return slices.Compact(voters)
}
