package scheduler

import (
	"maps"
	"slices"
	"time"

	"gannetline/internal/scheduling/placement"
)

// maxSavedTime is for how long a share that is not used is saved up.
const maxSavedTime = time.Second

// shareAccount is what the runs that a share was used for have taken of it over time. A run may be larger than the share, on a small
// fleet by far: the account is then overdrawn, and nothing more is started until the share has made up for it.
type shareAccount struct {
	// allocated is what the runs take now.
	allocated placement.Resources
	// balance is in seconds of the whole capacity, at a moment; it is overdrawn below 0.
	balance float64
	at      time.Duration
}

// settle brings the balance up to now: the share of the time that went by, less what the runs took of it.
func (a *shareAccount) settle(share float64, total placement.Resources, now time.Duration) {
	passed := (now - a.at).Seconds()
	a.balance = min(share*maxSavedTime.Seconds(), a.balance+passed*(share-a.allocated.DominantShareOf(total)))
	a.at = now
}

// shareAccounts holds an account for each priority that a share was ever kept for, Background among them.
type shareAccounts map[int]*shareAccount

func (s shareAccounts) of(priority int, now time.Duration) *shareAccount {
	if s[priority] == nil {
		s[priority] = &shareAccount{at: now}
	}
	return s[priority]
}

// countRun adds a run that a share was used for, or takes it out with a negative count.
func (s shareAccounts) countRun(run *runState, count int64) {
	if account := s[run.countedPriority()]; run.isFromShare && account != nil {
		account.allocated = account.allocated.Plus(run.task.step.need().Times(float64(count)))
	}
}

// shares gives what is left of each share: what the runs that it is for don't take already, unless its account is overdrawn. They are
// kept for work that the order of the queue would never let run while there is more urgent work than the fleet can do.
func (p *Pool) shares(now time.Duration) []placement.Share {
	shares := p.share(nil, placement.Share{Priority: placement.Background, Deadline: placement.Expired}, p.timing.ReservedCapacity.ExpiredShare, now)
	part := p.timing.ReservedCapacity.LowerShare
	for index, priority := range slices.Sorted(maps.Keys(p.open.first.demand)) {
		if index == 0 {
			continue
		}
		shares = p.share(shares, placement.Share{Priority: priority, Deadline: placement.OnTime}, part, now)
		part /= 2
	}
	return shares
}

// share appends a share of so much of the capacity, if anything is left of it.
func (p *Pool) share(shares []placement.Share, share placement.Share, part float64, now time.Duration) []placement.Share {
	total, account := p.table.openCapacity, p.shareAccounts.of(share.Priority, now)
	account.settle(part, total, now)
	share.Resources = total.Times(part).Minus(p.allocations[share.Priority].resources)
	if account.balance < 0 || share.Resources.CPU <= 0 {
		return shares
	}
	share.Reservations = max(1, int(part*float64(len(p.table.sorted))))
	return append(shares, share)
}
