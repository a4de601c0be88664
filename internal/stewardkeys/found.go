package stewardkeys

import (
	"slices"
	"time"

	"gannetline/internal/siblingwire"
	"gannetline/internal/span"
)

// FoundFirst asks the seeds for their disks until all have spoken; they are the first voters.
func (r *Ring) FoundFirst(life span.Span, seeds []string) {
	disks := map[string]string{}
	for {
		for _, seed := range seeds {
			if disks[seed] != "" {
				continue
			}
			answer, err := siblingwire.Call[siblingwire.IdentifyCall, siblingwire.IdentifyAnswer](r.caller, life, seed,
				siblingwire.ProcedureIdentify, 500*time.Millisecond, &siblingwire.IdentifyCall{})
			if err == nil {
				disks[seed] = answer.Disk
			}
		}
		if len(disks) == len(seeds) {
			var voters []string
			for _, disk := range disks {
				voters = append(voters, disk)
			}
			slices.Sort(voters)
			r.log.Info("the first voters", "disks", voters)
			r.Found(slices.Compact(voters))
			return
		}
		select {
		case <-life.Done():
			return
		case <-r.clock.After(100 * time.Millisecond):
		}
	}
}
