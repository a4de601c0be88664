package ordermodel

import (
	"fmt"
	"slices"
	"time"

	"gannetline/internal/platform/clock"
	"gannetline/internal/scheduling/jobs"
)

const (
	// longTaskMs is the estimate from which a run of the small profile takes that much longer.
	longTaskMs = 8000
	// alwaysFailingMs is the estimate of the tasks that fail every time.
	alwaysFailingMs = 250
	percentFailing  = 8

	percentFailingLarge = 2
	// One in oneInLong runs of the large profile takes longFactor times as long as the others of its step.
	oneInLong  = 32
	longFactor = 3
	// slowFactor is how many times as long a run takes on a slow executor.
	slowFactor = 6
	// maxLargeWork bounds the length of runs of the large profile, so that all can be over at the end.
	maxLargeWork = 15 * time.Second
)

// hashRun hashes the task and the number of a run.
func hashRun(execution *modelExecution) uint64 {
	hash := uint64(14695981039346656037)
	for _, digit := range []byte(fmt.Sprint(execution.task, "/", execution.run)) {
		hash = (hash ^ uint64(digit)) * 1099511628211
	}
	return hash ^ hash>>29
}

// smallWork returns the length and the outcome of a run of the small profile. Of a step's estimate only the values longTaskMs
// and alwaysFailingMs matter.
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

// largeWork returns the length and the outcome of a run of the large profile: from half to one and a half of the estimate,
// longer for some runs, on a slow executor, and on one that has none of the labels in the step's affinity.
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

// isRemote reports whether an executor has none of the labels in a step's affinity.
func isRemote(step *jobs.Step, executor *modelExecutor) bool {
	isThere := func(label string) bool { return slices.Contains(executor.labels, label) }
	return len(step.Affinity) > 0 && !slices.ContainsFunc(step.Affinity, isThere)
}
