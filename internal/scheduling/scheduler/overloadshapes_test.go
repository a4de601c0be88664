package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// overloadLoss is what the fleet loses during an overload.
type overloadLoss string

const (
	lossNone   overloadLoss = "nothing lost"
	lossRack   overloadLoss = "one rack lost"
	lossLeader overloadLoss = "leader lost"
)

// rackReturn is how long after the overload a lost rack comes back, and rackSize the number of its executors.
const (
	rackReturn = 6 * time.Second
	rackSize   = 6
)

// overloadShape describes an overload: the queues with more than the usual load, its duration, and the loss in the middle of it.
type overloadShape struct {
	queues []*simulatedQueue
	length time.Duration
	loss   overloadLoss
}

func (s overloadShape) String() string {
	names := ""
	for _, queue := range s.queues {
		names += queue.name + " "
	}
	return fmt.Sprintf("%sfor %v, %s", names, s.length, s.loss)
}

// overloadShapes returns all combinations of queues, lengths and losses.
func overloadShapes() []overloadShape {
	var shapes []overloadShape
	for _, queues := range [][]*simulatedQueue{{&urgentQueue}, {&usualQueue}, {&longQueue}, {&urgentQueue, &usualQueue}, {&urgentQueue, &usualQueue, &longQueue}} {
		for _, length := range []time.Duration{4 * time.Second, 26 * time.Second} {
			for _, loss := range []overloadLoss{lossNone, lossRack, lossLeader} {
				shapes = append(shapes, overloadShape{queues, length, loss})
			}
		}
	}
	return shapes
}

// usualDemand is the demand of a queue at its usual rate, in cores.
func (q *simulatedQueue) usualDemand() float64 {
	return q.perSecond * float64(q.steps*q.tasks) * float64(q.cpu) / 1000 * q.length.Seconds()
}

// overloadFactor is the factor on the usual rate of some queues for which the demand of all queues is a multiple of the fleet's capacity.
func overloadFactor(queues []*simulatedQueue, multiple float64) float64 {
	var overloaded, others float64
	for _, queue := range usualQueues() {
		others += queue.usualDemand()
	}
	for _, queue := range queues {
		overloaded += queue.usualDemand()
	}
	return (multiple*simulatedExecutors*executorCPU/1000 - (others - overloaded)) / overloaded
}

func usualQueues() []*simulatedQueue { return []*simulatedQueue{&urgentQueue, &usualQueue, &longQueue} }

// simulateWithFactor simulates the usual load for a length of time, with the rate of the overloaded queues multiplied by a factor.
func (c *simulatedFleet) simulateWithFactor(length time.Duration, factor float64, overloaded []*simulatedQueue) {
	for end := c.clock.Monotonic() + length; c.clock.Monotonic() < end; {
		for _, queue := range usualQueues() {
			queueFactor := 1.0
			for _, other := range overloaded {
				if other == queue {
					queueFactor = factor
				}
			}
			c.submitDue(queue, queueFactor)
		}
		c.endDueRuns()
		c.pass(fleetTick)
	}
}

// loseRack makes the first rack's executors silent or brings them back.
func (c *simulatedFleet) loseRack(isLost bool) {
	for _, executor := range c.executors[:rackSize] {
		executor.isSilent = isLost
	}
}

// simulateOverload simulates an overload with the loss in the middle of it. A shape without queues is the usual load.
func (c *simulatedFleet) simulateOverload(shape overloadShape) {
	const multiple = 2
	factor := 1.0
	if len(shape.queues) > 0 {
		factor = overloadFactor(shape.queues, multiple)
	}
	c.simulateWithFactor(shape.length/2, factor, shape.queues)
	switch shape.loss {
	case lossRack:
		c.loseRack(true)
	case lossLeader:
		c.takeOver()
	}
	c.simulateWithFactor(shape.length/2, factor, shape.queues)
}

// beginPhase resets the random numbers and job IDs, so that the next phase gets the same jobs regardless of what came before.
func (c *simulatedFleet) beginPhase(number uint64) {
	const maxJobsPerPhase = 1 << 20
	c.random, c.dueJobs, c.submitted = rand.New(rand.NewPCG(number, 5)), map[string]float64{}, int(number)*maxJobsPerPhase
}

// The time after an overload is measured in recoveryWindows windows of length recoveryWindow.
const (
	recoveryWindow  = 4 * time.Second
	recoveryWindows = 8
)

// simulateRecovery simulates an overload and then the usual load, with the same jobs after each overload. It returns, by queue name, the
// fraction of on-time jobs in each window after the overload.
func simulateRecovery(shape overloadShape, seed uint64) map[string][]float64 {
	c := newSimulatedFleet(seed)
	c.beginPhase(10*seed + 1)
	c.simulateWithFactor(6*time.Second, 1, nil)
	c.simulateOverload(shape)
	end := c.clock.Monotonic()
	c.beginPhase(10*seed + 2)
	c.simulateWithFactor(rackReturn, 1, nil)
	c.loseRack(false)
	c.simulateWithFactor(recoveryWindows*recoveryWindow, 1, nil)
	fractions := map[string][]float64{}
	for _, queue := range []*simulatedQueue{&urgentQueue, &usualQueue} {
		for window := range recoveryWindows {
			from := end + time.Duration(window)*recoveryWindow
			fractions[queue.name] = append(fractions[queue.name], c.onTimeFractionOrNaN(queue, from, from+recoveryWindow))
		}
	}
	return fractions
}

// recoveryTime is how long after an overload the on-time fraction of a queue was lower than without an overload, beyond random variation.
func recoveryTime(fractions, undisturbed []float64) time.Duration {
	const randomVariation = 0.3
	for window := recoveryWindows; window > 0; window-- {
		if fractions[window-1] < undisturbed[window-1]-randomVariation {
			return time.Duration(window) * recoveryWindow
		}
	}
	return 0
}

// An overload may have effects after its end, such as an order of work, reservations or a backlog that still make new jobs late.
var _ = Describe("a pool after an overload", func() {
	const (
		seeds              = 3
		maxRecoverySeconds = 12
	)

	It("recovers soon for each queue, whatever the shape of the overload", func() {
		undisturbed := map[uint64]map[string][]float64{}
		for seed := range uint64(seeds) {
			undisturbed[seed] = simulateRecovery(overloadShape{length: 4 * time.Second, loss: lossNone}, seed)
		}
		var slowRecoveries []string
		for number, shape := range overloadShapes() {
			seed := uint64(number/3) % seeds
			for queue, fractions := range simulateRecovery(shape, seed) {
				if took := recoveryTime(fractions, undisturbed[seed][queue]); took > maxRecoverySeconds*time.Second {
					slowRecoveries = append(slowRecoveries, fmt.Sprintf("%s: %s %v %.2f, without overload %.2f", shape, queue, took, fractions, undisturbed[seed][queue]))
				}
			}
		}
		Expect(slowRecoveries).To(BeEmpty())
	})
})
