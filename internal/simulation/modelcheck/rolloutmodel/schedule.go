package rolloutmodel

import (
	"math/rand/v2"
	"slices"

	"gannetline/internal/simulation/modelcheck"
)

// The bounds of the times of a schedule in milliseconds, and of the numbers of its jobs, faults and orders of operators.
const (
	// drawStream is the random stream that schedules are drawn from.
	drawStream  = 61
	firstStepMs = 500
	lastStepMs  = 16000
	minJobs     = 15
	maxJobs     = 60
	minFaults   = 1
	maxFaults   = 7
	minOrders   = 1
	maxOrders   = 4
	// removalStream is a random stream of its own, so that removals do not change what else a seed draws. removalTenths of ten schedules have
	// up to maxRemovals removals of the queue, which comes back within maxAbsenceMs. In half of them it comes back under another name. Then
	// up to maxLateRepeats jobs are submitted again within maxRepeatDelayMs.
	removalStream    = 67
	removalTenths    = 4
	maxRemovals      = 3
	maxAbsenceMs     = 4000
	maxLateRepeats   = 6
	maxRepeatDelayMs = 3000
	// retirementStream is a random stream of its own as well. In retirementTenths of ten schedules, the queue is moved up to maxExtraMoves more
	// times, and within maxRetirementDelayMs after each of these moves the services that it has left lose their executors.
	retirementStream     = 71
	retirementTenths     = 4
	maxExtraMoves        = 3
	maxRetirementDelayMs = 3000
	// cancelTenths of ten jobs are cancelled and submitAgainTenths of ten are submitted again, within maxJobDelayMs after the
	// first submission.
	cancelTenths      = 1
	submitAgainTenths = 1
	maxJobDelayMs     = 1500
	maxFaultMs        = 4000
)

// Kinds of steps. Unless the kind says otherwise, Node is the number of a job, a pool or a version, depending on the kind.
const (
	// kindSubmit has a client submit job Node at the gate Peer. kindSubmitAgain submits the job once more, and kindCancel cancels it.
	kindSubmit      = "submit"
	kindSubmitAgain = "submit-again"
	kindCancel      = "cancel"
	// kindRollout starts a rollout to the version Node, which is bad if Value is 1; kindMove moves the queue to the version Node.
	kindRollout = "rollout"
	kindMove    = "move"
	// kindRemoveQueue removes the queue from the configuration. kindReturnQueue puts it back, leading to the version Node. It has its second
	// name if Value is 1.
	kindRemoveQueue = "remove-queue"
	kindReturnQueue = "return-queue"
	// kindRetire ends the executors of all versions that no configuration sends jobs to. They get new ones before they may get jobs again.
	kindRetire = "retire"
	// kindPause, kindResume and kindAbort are operators' orders about the rollout in progress. kindRemoveRollouts commits a
	// configuration without rollouts.
	kindPause          = "pause"
	kindResume         = "resume"
	kindAbort          = "abort"
	kindRemoveRollouts = "post-over"
	// kindKillPool ends the leadership of a pool, with the commits in flight. kindKillControl ends the leadership of the configuration
	// during its next change, and once more after the step's time.
	kindKillPool    = "kill-pool"
	kindKillControl = "kill-control"
	// kindKillAtTransfer ends leaderships at the next transfer of a job: of the sending pool (Node 0), the receiving pool (Node 1), or
	// both (Node 2).
	kindKillAtTransfer = "kill-at-transfer"
	// kindKillAtPromise ends the leadership of the next pool that promises not to take a job. For the step's time,
	// latePercentAtPromises of the messages have a late duplicate.
	kindKillAtPromise = "kill-at-promise"
	// kindCutGates keeps configurations from half of the gates.
	kindCutGates = "cut-gates"
	// kindLoseMessages loses Value percent of the messages. kindLateMessages delivers a late duplicate of Value percent of them.
	kindLoseMessages = "lose-messages"
	kindLateMessages = "late-messages"
	// kindSilentExecutors has the executors of a pool make no exchanges.
	kindSilentExecutors = "silence"
)

// The kinds of operators' orders and of faults that are drawn. A kind that is listed more than once is drawn more often.
var (
	orderKinds = []string{kindRollout, kindRollout, kindRollout, kindMove, kindPause, kindResume, kindAbort, kindRemoveRollouts}
	faultKinds = []string{kindKillPool, kindKillAtPromise, kindKillAtPromise, kindKillAtTransfer, kindKillAtTransfer, kindKillControl, kindCutGates, kindLoseMessages, kindLateMessages, kindLateMessages, kindSilentExecutors}
)

// between draws a number between two bounds, both included.
func between(random *rand.Rand, minimum, maximum int) int {
	return minimum + random.IntN(maximum-minimum+1)
}

// draw draws the schedule of a seed: a rollout or a move at the beginning, and more orders, jobs and faults at any time after that.
func draw(seed uint64, losses int, _ modelcheck.Size) modelcheck.Schedule {
	random := rand.New(rand.NewPCG(seed, drawStream))
	schedule := modelcheck.Schedule{Model: modelName, Seed: seed, Losses: losses, Nodes: gateCount}
	add := func(step modelcheck.Step) { schedule.Steps = append(schedule.Steps, step) }
	first := modelcheck.Step{AtMs: firstStepMs, Kind: kindRollout, Node: 1, Value: random.IntN(2)}
	if random.IntN(3) == 0 {
		first.Kind = kindMove
	}
	add(first)
	for range between(random, minOrders, maxOrders) {
		add(modelcheck.Step{AtMs: between(random, firstStepMs, lastStepMs), Kind: orderKinds[random.IntN(len(orderKinds))], Node: random.IntN(versionCount),
			Value: random.IntN(2)})
	}
	for number := range between(random, minJobs, maxJobs) {
		at := between(random, firstStepMs, lastStepMs)
		add(modelcheck.Step{AtMs: at, Kind: kindSubmit, Node: number, Peer: random.IntN(gateCount), Value: random.IntN(len(shapes))})
		if random.IntN(10) < submitAgainTenths {
			add(modelcheck.Step{AtMs: at + random.IntN(maxJobDelayMs), Kind: kindSubmitAgain, Node: number, Peer: random.IntN(gateCount)})
		}
		if random.IntN(10) < cancelTenths {
			add(modelcheck.Step{AtMs: at + random.IntN(maxJobDelayMs), Kind: kindCancel, Node: number, Peer: random.IntN(gateCount)})
		}
	}
	for range between(random, minFaults, maxFaults) {
		add(modelcheck.Step{AtMs: between(random, firstStepMs, lastStepMs), Kind: faultKinds[random.IntN(len(faultKinds))], Node: random.IntN(versionCount),
			ForMs: between(random, 100, maxFaultMs), Value: between(random, 5, 40)})
	}
	addRemovals(&schedule)
	addRetirements(&schedule)
	slices.SortStableFunc(schedule.Steps, func(a, b modelcheck.Step) int { return a.AtMs - b.AtMs })
	return schedule
}

// addRemovals adds removals and returns of the queue, and late repeats of submissions, to some schedules.
func addRemovals(schedule *modelcheck.Schedule) {
	random := rand.New(rand.NewPCG(schedule.Seed, removalStream))
	if random.IntN(10) >= removalTenths {
		return
	}
	jobCount := 0
	for _, step := range schedule.Steps {
		if step.Kind == kindSubmit {
			jobCount++
		}
	}
	for range between(random, 1, maxRemovals) {
		at := between(random, firstStepMs, lastStepMs)
		returnAt := at + random.IntN(maxAbsenceMs)
		schedule.Steps = append(schedule.Steps, modelcheck.Step{AtMs: at, Kind: kindRemoveQueue},
			modelcheck.Step{AtMs: returnAt, Kind: kindReturnQueue, Node: random.IntN(versionCount), Value: random.IntN(2)})
		for range random.IntN(maxLateRepeats + 1) {
			schedule.Steps = append(schedule.Steps, modelcheck.Step{AtMs: returnAt + random.IntN(maxRepeatDelayMs), Kind: kindSubmitAgain,
				Node: random.IntN(jobCount), Peer: random.IntN(gateCount)})
		}
	}
}

// addRetirements adds moves of the queue, each followed by the retirement of the services that it has left, to some schedules.
func addRetirements(schedule *modelcheck.Schedule) {
	random := rand.New(rand.NewPCG(schedule.Seed, retirementStream))
	if random.IntN(10) >= retirementTenths {
		return
	}
	for range between(random, 1, maxExtraMoves) {
		at := between(random, firstStepMs, lastStepMs)
		schedule.Steps = append(schedule.Steps, modelcheck.Step{AtMs: at, Kind: kindMove, Node: random.IntN(versionCount)},
			modelcheck.Step{AtMs: at + random.IntN(maxRetirementDelayMs), Kind: kindRetire})
	}
}
