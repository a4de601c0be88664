package ordermodel

import (
	"fmt"
	"slices"
	"time"

	"gannetline/internal/platform/clock"
	"gannetline/internal/scheduling/jobs"
)

const (
	// longTaskMs is the estimate of long tasks in the small profile. Runs of tasks with this estimate or a higher one take this
	// much longer than others.
	longTaskMs = 8000
	// alwaysFailingMs is the estimate of the tasks in the small profile that fail every time.
	alwaysFailingMs = 250
	// percentFailing of the runs fail in the small profile, percentFailingLarge in the large one.
	percentFailing      = 8
	percentFailingLarge = 2
	// One in oneInLong runs of the large profile takes longFactor times as long as other runs.
	oneInLong  = 32
	longFactor = 3
	// slowFactor is how many times as long a run takes on a slow executor.
	slowFactor = 6
	// maxLargeWork is the longest run of the large profile, so that all jobs can be over at the end of a schedule.
	maxLargeWork = 15 * time.Second
)

// hashRun returns a hash of the task and the number of a run.
func hashRun(execution *modelExecution) uint64 {
	hash := uint64(14695981039346656037)
	for _, char := range []byte(fmt.Sprint(execution.task, "/", execution.run)) {
		hash = (hash ^ uint64(char)) * 1099511628211
	}
	return hash ^ hash>>29
}

// smallWork returns the length and the outcome of a run of the small profile. The step's estimate matters only if it is
// alwaysFailingMs, or longTaskMs or more.
func smallWork(execution *modelExecution) (time.Duration, string) {
	hash, outcome := hashRun(execution), outcomeDone
	if hash%100 < percentFailing || execution.step.EstimatedMs == alwaysFailingMs {
		outcome = outcomeFailed
	}
	length := 50 + (hash/100)%700
	switch {
	case execution.step.EstimatedMs >= longTaskMs:
		length += longTaskMs
	case (hash/70000)%8 == 0:
		length += 2500
	}
	return clock.Milliseconds(int64(length)), outcome
}

// largeWork returns the length and the outcome of a run of the large profile. The length is from half to one and a half of the
// step's estimate. It is longer for one in oneInLong runs, on a slow executor, and on an executor that has none of the labels in
// the step's affinity.
func largeWork(execution *modelExecution) (time.Duration, string) {
	hash, outcome := hashRun(execution), outcomeDone
	if hash%100 < percentFailingLarge {
		outcome = outcomeFailed
	}
	length := execution.step.EstimatedMs * int64(50+(hash/100)%100) / 100
	if (hash/70000)%oneInLong == 0 {
		length *= longFactor
	}
	if execution.executor.isSlow {
		length *= slowFactor
	}
	if isRemote(execution.step, execution.executor) {
		length = int64(float64(length) * execution.executor.cluster.timing.RemoteFactor)
	}
	return min(clock.Milliseconds(length), maxLargeWork), outcome
}

// isRemote reports whether a step has an affinity and the executor has none of its labels.
func isRemote(step *jobs.Step, executor *modelExecutor) bool {
	hasLabel := func(label string) bool { return slices.Contains(executor.labels, label) }
	return len(step.Affinity) > 0 && !slices.ContainsFunc(step.Affinity, hasLabel)
}
