package scheduler

import (
	"maps"
	"slices"
	"time"

	"gannetline/internal/scheduling/placement"
)

// maxSavedTime limits how much an unused share can save up: as much as it gives in this time.
const maxSavedTime = time.Second

// shareAccount records how much of a share its runs have used over time. A run may be larger than the share, and on a small fleet much
// larger. The account is then overdrawn, and the share starts no further run until the balance is no longer negative.
type shareAccount struct {
	// allocated is what the runs that were started from the share use now.
	allocated placement.Resources
	// balance is in seconds of the whole capacity, as of time at. A negative balance is overdrawn.
	balance float64
	at      time.Duration
}

// settle updates the balance to now. It adds the share of the elapsed time and subtracts what the runs used in that time.
func (a *shareAccount) settle(share float64, total placement.Resources, now time.Duration) {
	elapsed := (now - a.at).Seconds()
	a.balance = min(share*maxSavedTime.Seconds(), a.balance+elapsed*(share-a.allocated.DominantShareOf(total)))
	a.at = now
}

// shareAccounts holds an account for each priority that has ever had a share, including placement.Background.
type shareAccounts map[int]*shareAccount

// forPriority returns the account of a priority and creates it on first use.
func (s shareAccounts) forPriority(priority int, now time.Duration) *shareAccount {
	if s[priority] == nil {
		s[priority] = &shareAccount{at: now}
	}
	return s[priority]
}

// countRun adds a run that was started from a share to the share's account. A negative count removes it.
func (s shareAccounts) countRun(run *runState, count int64) {
	if account := s[run.countedPriority()]; run.isFromShare && account != nil {
		account.allocated = account.allocated.Plus(run.task.step.need().Times(float64(count)))
	}
}

// shares returns the unused part of each share that is not overdrawn. All runs of a share's priority count as its use, also those that were
// not started from it. Shares are reserved for work that would never run in queue order while there is more urgent work than the fleet can
// handle: expired work, and on-time work of every priority but the most urgent.
func (p *Pool) shares(now time.Duration) []placement.Share {
	shares := p.appendShare(nil, placement.Share{Priority: placement.Background, Deadline: placement.Expired}, p.timing.ReservedCapacity.ExpiredShare, now)
	fraction := p.timing.ReservedCapacity.LowerShare
	for index, priority := range slices.Sorted(maps.Keys(p.open.first.demand)) {
		if index == 0 {
			continue
		}
		shares = p.appendShare(shares, placement.Share{Priority: priority, Deadline: placement.OnTime}, fraction, now)
		fraction /= 2
	}
	return shares
}

// appendShare appends a share of a fraction of the open capacity, unless it is used up or its account is overdrawn.
func (p *Pool) appendShare(shares []placement.Share, share placement.Share, fraction float64, now time.Duration) []placement.Share {
	total, account := p.table.openCapacity, p.shareAccounts.forPriority(share.Priority, now)
	account.settle(fraction, total, now)
	share.Resources = total.Times(fraction).Minus(p.allocations[share.Priority].resources)
	if account.balance < 0 || share.Resources.CPU <= 0 {
		return shares
	}
	share.Reservations = max(1, int(fraction*float64(len(p.table.sorted))))
	return append(shares, share)
}
