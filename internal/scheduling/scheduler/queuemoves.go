package scheduler

import (
	"cmp"
	"slices"
	"time"
)

const (
	// moveAfterIdle is how long a job of a moved queue may wait without a run before it is transferred. A job that this pool can still start
	// is not transferred.
	moveAfterIdle = time.Second
	// moveLastingAfterIdle is how long a long-running task of a moved queue may wait while other tasks of its job run, before these are
	// stopped so that the whole job can be transferred.
	moveLastingAfterIdle = 2 * time.Second
	// maxMovesInFlight is the number of pending transfers beyond which no further job of a moved queue is transferred.
	maxMovesInFlight = 128
)

// QueueRouting says, for one configuration version, which queues no longer lead to the service of a pool. It is immutable.
type QueueRouting interface {
	// Version returns the configuration version.
	Version() int64
	// HasMoved reports whether the jobs of a queue belong to the pool of another service. It is false for a queue that was removed.
	HasMoved(queue string) bool
	// ServiceFor returns the service that runs a job of a moved queue.
	ServiceFor(queue, id string) string
}

// WithQueueRouting sets the source of the queue routing of the current configuration. The source returns nil as long as there is no
// configuration. Without this option, all jobs stay in the pool that accepted them.
func WithQueueRouting(routing func() QueueRouting) Option {
	return func(p *Pool) { p.queueRouting = routing }
}

func noQueueRouting() QueueRouting { return nil }

// transferMovedJobs transfers jobs of queues that lead to another service now. A job is transferred once it has had no run for
// moveAfterIdle, or at once if none of its tasks is due yet. So jobs that the former service can still run stay there, and no work is lost.
//
// A configuration moves only jobs that an older one has brought here: a gate or another pool may have a newer configuration than this
// process.
func (p *Pool) transferMovedJobs(now time.Duration) {
	routing := p.queueRouting()
	if routing == nil {
		return
	}
	moved := p.movedQueues(routing)
	if len(moved) == 0 {
		return
	}
	for _, job := range p.transferableJobs(func(job *jobState) bool { return moved[job.record.Route] && job.record.Version < routing.Version() }) {
		if len(p.rollouts.inTransfer) >= maxMovesInFlight {
			return
		}
		switch {
		case job.runCount == 0 && job.isIdle(now):
			p.beginTransfer(job, transfer{to: routing.ServiceFor(job.record.Route, job.id), version: routing.Version()})
		case job.runCount > 0 && job.hasIdleLongRunningStep(now):
			job.holdsReleases = true
			p.withhold(job)
			p.stopLongRunningRunsOf(job)
		}
	}
}

// movedQueues returns the queues with open jobs in this pool that lead to another service. Queues whose jobs are being returned to the old
// version of a rollout are left out.
func (p *Pool) movedQueues(routing QueueRouting) map[string]bool {
	moved := map[string]bool{}
	for queue, count := range p.openJobs {
		if count > 0 && !p.isReturning(queue) && routing.HasMoved(queue) {
			moved[queue] = true
		}
	}
	return moved
}

// transferableJobs returns the open jobs that satisfy a condition and that can be transferred: they can be read, are not in transfer, and
// were not rejected by another pool. Jobs that were accepted first come first.
func (p *Pool) transferableJobs(condition func(*jobState) bool) []*jobState {
	var transferable []*jobState
	for _, job := range p.jobs {
		if job.isOpen() && job.spec != nil && !job.isUnreadable && job.transfer == nil && !job.isKept && condition(job) {
			transferable = append(transferable, job)
		}
	}
	slices.SortFunc(transferable, func(a, b *jobState) int {
		return cmp.Or(cmp.Compare(a.record.AcceptedMs, b.record.AcceptedMs), cmp.Compare(a.id, b.id))
	})
	return transferable
}

// isIdle reports whether a job without runs has waited for moveAfterIdle since its last run, or has no task that is due.
func (j *jobState) isIdle(now time.Duration) bool {
	for _, occurrence := range j.occurrences {
		for _, step := range occurrence.steps {
			if step.isOpen && step.remaining > 0 && now-step.waitingSince() < moveAfterIdle {
				return false
			}
		}
	}
	return true
}

// hasIdleLongRunningStep reports whether a long-running step of the job has had tasks without a run for moveLastingAfterIdle.
func (j *jobState) hasIdleLongRunningStep(now time.Duration) bool {
	for _, occurrence := range j.occurrences {
		for _, step := range occurrence.steps {
			if step.spec.LongRunning && step.isOpen && len(step.idle) > 0 && now-step.waitingSince() >= moveLastingAfterIdle {
				return true
			}
		}
	}
	return false
}

// waitingSince returns when an open step opened or when its last started run was closed, whichever was later.
func (s *stepState) waitingSince() time.Duration { return max(s.openedAt, s.lastProgressAt) }

// stopLongRunningRunsOf stops the long-running tasks of a job, which never end by themselves, and runs whose launch has no answer yet.
func (p *Pool) stopLongRunningRunsOf(job *jobState) {
	p.stopRunsOf(job, func(run *runState) bool { return run.task.step.spec.LongRunning || run.phase == runLaunching })
}
