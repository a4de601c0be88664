package controlkeys

import (
	"context"
	"slices"
	"time"

	"gannetline/internal/cluster/peerapi"
	"gannetline/internal/cluster/peerapi/wire"
)

const (
	// identifyTimeout limits one Identify call to a seed.
	identifyTimeout = 500 * time.Millisecond
	// identifyRetryInterval is the pause between two rounds of calls to the seeds that have not answered yet.
	identifyRetryInterval = 100 * time.Millisecond
)

// BootstrapFromSeeds asks the seeds for the names of their disks until all have answered, and makes these disks the initial voters of the
// configuration's key. It returns without setting voters if ctx is done first.
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
			voters := chooseInitialVoters(answers)
			m.Log.Info("initial voters", "disks", voters)
			m.Bootstrap(voters)
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-m.Clock.After(identifyRetryInterval):
		}
	}
}

// chooseInitialVoters returns the sorted, distinct disks of the seeds. It uses temporary disks only if no seed has a persistent one.
func chooseInitialVoters(answers map[string]wire.IdentifyAnswer) []string {
	var persistent, temporary []string
	for _, answer := range answers {
		if answer.Disk != "" {
			persistent = append(persistent, answer.Disk)
		}
		if answer.TemporaryDisk != "" {
			temporary = append(temporary, answer.TemporaryDisk)
		}
	}
	voters := persistent
	if len(voters) == 0 {
		voters = temporary
	}
	slices.Sort(voters)
	return slices.Compact(voters)
}
