package scalerun

import (
	"net/http"
	"time"

	"github.com/juju/errors"
	"go.uber.org/multierr"

	"gannetline/internal/simulation/hollow"
)

const (
	// settleFor lies between the start of work and the first sample.
	settleFor = 3 * time.Second
	joinFor   = 2 * time.Minute
	// drainFor is how long after the last job its tasks may still run.
	drainFor = 30 * time.Second
)

const (
	phaseJoining  = "joining"
	phaseIdle     = "idle"
	phaseStanding = "standing"
	phaseLoad     = "load"
)

// The kinds of jobs, as their IDs tell them apart.
const (
	kindStanding = 1
	kindLoad     = 2
)

// playPhases takes a size through its phases: joining, idle, with standing tasks, under load.
func (r *run) playPhases(size *Size) error {
	if err := r.replaceConfiguration(1); err != nil {
		return err
	}
	r.printf("the first plan is taken")
	if err := r.awaitJoined(); err != nil {
		r.printf("%v", err)
		return multierr.Append(err, r.measure(size, phaseJoining, r.setup.Idle, r.profile))
	}
	size.JoinSeconds = time.Since(r.began).Seconds()
	r.printf("every worker and gate is in")
	r.pause(settleFor)
	if err := r.measure(size, phaseIdle, r.setup.Idle, nil); err != nil {
		return err
	}
	standing, err := r.playStanding(size)
	if err != nil {
		return err
	}
	jobs, err := r.playLoad(size)
	if err != nil {
		return err
	}
	if err := r.cancelAll(standing); err != nil {
		return err
	}
	records, err := r.records()
	if err != nil {
		return err
	}
	size.Verdict = Judge(append(jobs, standing...), records)
	r.printf("over: %d starts, %d lost, %d doubled, %d again, %d left", size.Verdict.Starts, size.Verdict.Lost, size.Verdict.Doubled,
		size.Verdict.StartedAgain, size.Verdict.StillRunning)
	return nil
}

// awaitJoined waits until the pool's leader knows every executor and every gate is ready.
func (r *run) awaitJoined() error {
	until := time.Now().Add(joinFor)
	for {
		seen, ready := r.executorsSeen(), r.readyGates()
		if seen >= r.workers && ready == len(r.layout.gates) {
			return nil
		}
		if err := r.checkChildren(); err != nil {
			return err
		}
		if time.Now().After(until) || !r.pause(checkEvery) {
			return errors.Errorf("after %v the owner knew %d of %d executors, and %d of %d gates were ready", joinFor, seen, r.workers,
				ready, len(r.layout.gates))
		}
	}
}

func (r *run) readyGates() int {
	ready := 0
	for _, gate := range r.layout.gates {
		status, _, err := r.call(http.MethodGet, "http://"+gate.at(readinessPort)+"/v1/readiness", -1, nil)
		if err == nil && status == http.StatusOK {
			ready++
		}
	}
	return ready
}

// startRate is in tasks a second.
func (r *run) startRate() float64 { return r.setup.StartsPerWorker * float64(r.workers) }

// playStanding starts the tasks that run throughout and measures with them, if there are any.
func (r *run) playStanding(size *Size) ([]*Job, error) {
	standing, err := r.startStanding()
	if err != nil || len(standing) == 0 {
		return standing, err
	}
	r.pause(settleFor)
	return standing, r.measure(size, phaseStanding, r.setup.Idle, nil)
}

// startStanding starts the tasks that run throughout, at the same rate as the load.
func (r *run) startStanding() ([]*Job, error) {
	total := r.setup.Standing * r.workers
	count := (total + standingPerJob - 1) / standingPerJob
	load := hollow.Load{Length: standingFor, CPU: 250, MemoryMB: 200}
	jobs, err := r.offer(count, r.startRate()/standingPerJob, func(number int) (*Job, error) {
		job := &Job{ID: jobID(r.workers, kindStanding, number), Tasks: min(standingPerJob, total-number*standingPerJob)}
		return job, r.submit(job, queueStanding, number, load)
	})
	if err != nil {
		return jobs, err
	}
	running, err := r.untilRunning(joinFor, func(running int) bool { return running >= total })
	if err != nil {
		return jobs, err
	}
	if running < total {
		return jobs, errors.Errorf("%d of %d standing tasks run after %v", running, total, joinFor)
	}
	r.printf("%d standing tasks run", total)
	return jobs, nil
}

// playLoad offers jobs for the time asked for, with changes of the configuration, and waits for their ends.
func (r *run) playLoad(size *Size) ([]*Job, error) {
	var jobs []*Job
	over := make(chan error, 1)
	until := time.Now().Add(r.setup.LoadTime + r.setup.TaskLength + drainFor)
	go func() {
		var err error
		jobs, err = r.offerLoad(until)
		over <- err
	}()
	r.pause(time.Second)
	err := r.measure(size, phaseLoad, r.setup.LoadTime-time.Second, func() error { return r.disturb(size) })
	if failed := <-over; err == nil {
		err = failed
	}
	return jobs, err
}

// offerLoad hands in jobs at an even rate and follows each to its end, or until a moment.
func (r *run) offerLoad(until time.Time) ([]*Job, error) {
	perSecond := r.startRate() / tasksPerJob
	count := int(perSecond * r.setup.LoadTime.Seconds())
	load := hollow.Load{Length: r.setup.TaskLength, CPU: 500, MemoryMB: 100}
	return r.offer(count, perSecond, func(number int) (*Job, error) {
		job := &Job{ID: jobID(r.workers, kindLoad, number), Tasks: tasksPerJob}
		if err := r.submit(job, queueLoad, number, load); err != nil {
			return job, err
		}
		r.pause(load.Length)
		r.follow(job, queueLoad, number, until)
		return job, nil
	})
}

// cancelAll cancels the standing jobs and waits until nothing runs.
func (r *run) cancelAll(standing []*Job) error {
	for number, job := range standing {
		if err := r.cancel(job, queueStanding, number); err != nil {
			return err
		}
	}
	_, err := r.untilRunning(drainFor, func(running int) bool { return running == 0 })
	return err
}
