package controlkeys

import (
	"context"
	"slices"
	"time"

	"gannetline/internal/cluster/peerapi"
	"gannetline/internal/cluster/peerapi/wire"
)

const (
	// identifyTimeout is how long a seed may take to name its disk, identifyPause the time between two rounds of questions.
	identifyTimeout = 500 * time.Millisecond
	identifyPause   = 100 * time.Millisecond
)

// BootstrapFromSeeds asks the seeds for their disks until all have answered; they are the initial voters.
func (m *Manager) BootstrapFromSeeds(ctx context.Context, seeds []string) {
	answers := map[string]wire.IdentifyAnswer{}
	for {
		for _, seed := range seeds {
			if _, hasAnswered := answers[seed]; hasAnswered {
				continue
			}
			answer, err := peerapi.Call[wire.IdentifyCall, wire.IdentifyAnswer](ctx, m.Caller, seed,
				peerapi.ProcedureIdentify, identifyTimeout, &wire.IdentifyCall{})
			if err == nil {
				answers[seed] = *answer
			}
		}
		if len(answers) == len(seeds) {
			voters := initialVotersOf(answers)
			m.Log.Info("initial voters", "disks", voters)
			m.Bootstrap(voters)
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-m.Clock.After(identifyPause):
		}
	}
}

// initialVotersOf are the seeds' disks; temporary ones count only if no seed has a lasting one.
func initialVotersOf(answers map[string]wire.IdentifyAnswer) []string {
	var lasting, temporary []string
	for _, answer := range answers {
		if answer.Disk != "" {
			lasting = append(lasting, answer.Disk)
		}
		if answer.TemporaryDisk != "" {
			temporary = append(temporary, answer.TemporaryDisk)
		}
	}
	voters := lasting
	if len(voters) == 0 {
		voters = temporary
	}
	slices.Sort(voters)
	return slices.Compact(voters)
}
