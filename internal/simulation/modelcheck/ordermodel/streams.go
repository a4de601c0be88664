package ordermodel

import (
	"time"

	"gannetline/internal/platform/clock"
	"gannetline/internal/simulation/modelcheck"
)

// Of the jobs of a stream so many percent are handed in again or cancelled by their clients.
const (
	percentHandedInAgain = 5
	percentCancelled     = 3
	mostResendTime       = 1500 * time.Millisecond
	mostCancelTime       = 6 * time.Second
)

// handInFirst makes a job and hands it in by way of a gate.
func (w *world) handInFirst(number, shape, through int) *job {
	one := w.profile.makeJob(number, shape, w.queue.now().Milliseconds())
	one.isHandedIn, one.handedInAt = true, w.queue.now()
	w.oracles.jobs[one.id] = one
	w.oracles.order = append(w.oracles.order, one)
	w.handIn(one, through, 0)
	return one
}

// stream hands Peer jobs of the shape Value in, evenly spread over the step's time; their numbers begin with Node.
func (w *world) stream(step modelcheck.Step) {
	for count := range step.Peer {
		at := clock.Milliseconds(int64(step.ForMs)) * time.Duration(count) / time.Duration(step.Peer)
		w.queue.after(at, func() { w.handInOfStream(step.Node+count, step.Value) })
	}
}

func (w *world) handInOfStream(number, shape int) {
	random := w.queue.random
	one := w.handInFirst(number, shape, random.IntN(len(w.gates)))
	if w.queue.chance(percentHandedInAgain) {
		w.queue.after(w.queue.between(time.Millisecond, mostResendTime), func() { w.handIn(one, random.IntN(len(w.gates)), clientTries) })
	}
	if w.queue.chance(percentCancelled) {
		w.queue.after(w.queue.between(time.Millisecond, mostCancelTime), func() { w.cancel(one, random.IntN(len(w.gates)), 0) })
	}
}

// giveUp cancels Value percent of the jobs that are not over.
func (w *world) giveUp(step modelcheck.Step) {
	for _, one := range w.oracles.order {
		if !one.isOver() && !one.isCancelSent && w.queue.chance(step.Value) {
			wait := w.queue.between(0, clock.Milliseconds(int64(step.ForMs)))
			w.queue.after(wait, func() { w.cancel(one, w.queue.random.IntN(len(w.gates)), 0) })
		}
	}
}
