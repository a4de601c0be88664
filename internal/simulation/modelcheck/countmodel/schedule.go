package countmodel

import (
	"math/rand/v2"
	"slices"

	"gannetline/internal/simulation/modelcheck"
)

const (
	drawStream           = 19
	minFaults, maxFaults = 2, 9
	firstStepMs          = 1000
	lastStepMs           = 12000
	maxFaultMs           = 3000
	// demandPercent of the steps change the demand, the others are faults or changes of limits. largePercent of the changes of demand change
	// the size of a pool's large tasks.
	demandPercent = 40
	largePercent  = 50
	// maxLargeSize is above the highest limit.
	maxLargeSize = maxLimit + 2
)

// The kinds of steps. Depending on the kind, Node is a pool or a partition, Peer a partition or a tenant, and Value a number.
const (
	// kindKillPool and kindKillPart end the leadership of a pool or a partition, with commits in flight.
	kindKillPool = "kill-pool"
	kindKillPart = "kill-part"
	// kindCut cuts a pool off from a partition for a time.
	kindCut = "cut"
	// kindLoseMessages loses Value percent of the messages for a time. kindLateMessages delivers Value percent of them twice, the second
	// time 100 to 4000 ms after they were sent.
	kindLoseMessages = "lose-messages"
	kindLateMessages = "late-messages"
	// kindLimit sets the limit of the tenant Peer to Value tasks. The new configuration reaches each process at a different time.
	kindLimit = "limit"
	// kindDemand sets the demand of the pool Node for the tenant Peer to Value tasks.
	kindDemand = "demand"
	// kindLargeTasks sets the size of the large tasks of the pool Node for the tenant Peer to Value; 0 means that it has none.
	kindLargeTasks = "large-tasks"
)

// faultKinds are all kinds except kindDemand and kindLargeTasks. A kind listed twice is drawn twice as often.
var faultKinds = []string{kindKillPool, kindKillPart, kindCut, kindLoseMessages, kindLateMessages, kindLimit, kindLimit}

func draw(seed uint64, losses int, _ modelcheck.Size) modelcheck.Schedule {
	random := rand.New(rand.NewPCG(seed, drawStream))
	schedule := modelcheck.Schedule{Model: modelName, Seed: seed, Losses: losses, Nodes: 1 + random.IntN(maxPools)}
	for range minFaults + random.IntN(maxFaults-minFaults+1) {
		schedule.Steps = append(schedule.Steps, drawStep(random, schedule.Nodes))
	}
	slices.SortStableFunc(schedule.Steps, func(a, b modelcheck.Step) int { return a.AtMs - b.AtMs })
	return schedule
}

// drawLargeSize draws the size of large tasks, or 0 for none.
func drawLargeSize(random *rand.Rand) int {
	if size := random.IntN(maxLargeSize + 1); size > smallSize {
		return size
	}
	return 0
}

func drawStep(random *rand.Rand, pools int) modelcheck.Step {
	step := modelcheck.Step{AtMs: firstStepMs + random.IntN(lastStepMs-firstStepMs), Node: random.IntN(pools)}
	if random.IntN(100) < demandPercent {
		step.Kind, step.Peer, step.Value = kindDemand, random.IntN(len(tenants)), random.IntN(2*maxLimit)
		if random.IntN(100) < largePercent {
			step.Kind, step.Value = kindLargeTasks, drawLargeSize(random)
		}
		return step
	}
	step.Kind = faultKinds[random.IntN(len(faultKinds))]
	switch step.Kind {
	case kindKillPart:
		step.Node = random.IntN(partCount)
	case kindCut:
		step.Peer, step.ForMs = random.IntN(partCount), 100+random.IntN(maxFaultMs)
	case kindLoseMessages, kindLateMessages:
		step.Value, step.ForMs = 10+random.IntN(60), 100+random.IntN(maxFaultMs)
	case kindLimit:
		step.Peer, step.Value = random.IntN(len(tenants)), 1+random.IntN(maxLimit)
	}
	return step
}
