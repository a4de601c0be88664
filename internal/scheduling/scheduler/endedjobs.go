package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
)

// endJob moves a job to a final phase and stops all runs of it.
func (p *Pool) endJob(job *jobState, phase jobPhase, reason string) {
	if job.phase == jobQueued {
		p.queued[job.record.Route]--
	}
	p.openJobs[job.record.Route]--
	if job.record.IsSurplus {
		job.tenant.surplusJobs--
	}
	job.phase, job.endedMs = phase, p.leadership.WallMs()
	if job.transfer != nil {
		job.movedTo = job.transfer.to
		p.endTransfer(job)
	}
	p.putRecord(prefixState+job.id, stateRecord{Route: job.record.Route, State: string(phase), Reason: reason, EndedMs: job.endedMs, Tenant: job.record.Tenant,
		MovedTo: job.movedTo, Transfers: job.record.Transfers})
	if phase == jobFailed {
		p.countJobFailureForRollout(job)
	}
	if phase != jobCompleted {
		p.log.V(1).Info("job ended", "job", job.id, "state", phase, "reason", reason)
	}
	for _, occurrence := range job.sortedOccurrences() {
		for _, step := range occurrence.steps {
			p.open.remove(step)
			p.stopStep(step)
			for _, task := range step.tasks {
				if task.lastRun > 0 {
					p.putTask(task)
				}
			}
		}
	}
	for _, number := range slices.Sorted(maps.Keys(job.completedOccurrences)) {
		p.dropRecord(prefixOccurrence + job.id + "/" + strconv.Itoa(number))
	}
	p.forgetIfOver(job)
}

// forgetIfOver drops the spec, the occurrences and the job record of an ended job once none of its runs is left. The state in which it
// ended is kept.
func (p *Pool) forgetIfOver(job *jobState) {
	if job.isOpen() || job.runCount > 0 || job.spec == nil {
		return
	}
	p.dropRecord(prefixJob + job.id)
	job.spec, job.occurrences = nil, nil
	delete(p.awaitingRelease, job.id)
	p.insertEnded(job)
}

// forgetEnded removes ended jobs once their retention period (KeepEnded) is over. endedJobs is sorted by the time of the end.
func (p *Pool) forgetEnded() {
	nowMs := p.leadership.WallMs()
	for len(p.endedJobs) > 0 && nowMs-p.endedJobs[0].endedMs > p.timing.KeepEnded.Milliseconds() {
		delete(p.jobs, p.endedJobs[0].id)
		p.dropRecord(prefixState + p.endedJobs[0].id)
		p.endedJobs = p.endedJobs[1:]
	}
	p.forgetRenounced(nowMs)
}

// insertEnded adds a job to endedJobs, which is sorted by the time of the end.
func (p *Pool) insertEnded(job *jobState) {
	index, _ := slices.BinarySearchFunc(p.endedJobs, job, func(a, b *jobState) int {
		return cmp.Or(cmp.Compare(a.endedMs, b.endedMs), cmp.Compare(a.id, b.id))
	})
	p.endedJobs = slices.Insert(p.endedJobs, index, job)
}
