package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// lossAmid is what a fleet loses in the midst of an overload.
type lossAmid string

const (
	lossNone   lossAmid = "nothing lost"
	lossRack   lossAmid = "a rack of executors lost"
	lossLeader lossAmid = "the leader lost"
)

// rackReturn is how long a lost rack stays away, and racksSize how many executors it has.
const (
	rackReturn = 6 * time.Second
	rackSize   = 6
)

// overloadShape is an overload: the queues that ask for more than usual, for how long, and what is lost meanwhile.
type overloadShape struct {
	queues []*pressedQueue
	length time.Duration
	loss   lossAmid
}

func (s overloadShape) String() string {
	names := ""
	for _, queue := range s.queues {
		names += queue.name + " "
	}
	return fmt.Sprintf("%sfor %v, %s", names, s.length, s.loss)
}

// overloadShapes are all combinations of queues, lengths and losses.
func overloadShapes() []overloadShape {
	var shapes []overloadShape
	for _, queues := range [][]*pressedQueue{{&urgentQueue}, {&usualQueue}, {&longQueue}, {&urgentQueue, &usualQueue}, {&urgentQueue, &usualQueue, &longQueue}} {
		for _, length := range []time.Duration{4 * time.Second, 26 * time.Second} {
			for _, loss := range []lossAmid{lossNone, lossRack, lossLeader} {
				shapes = append(shapes, overloadShape{queues, length, loss})
			}
		}
	}
	return shapes
}

// usualDemand is what a queue usually asks for, in cores.
func (q *pressedQueue) usualDemand() float64 {
	return q.perSecond * float64(q.steps*q.tasks) * float64(q.cpu) / 1000 * q.length.Seconds()
}

// overloadFactor is how much more than usual the queues of a shape have to ask for, so that the fleet is asked for a multiple of what it has.
func overloadFactor(queues []*pressedQueue, multiple float64) float64 {
	var pressed, others float64
	for _, queue := range usualQueues() {
		others += queue.usualDemand()
	}
	for _, queue := range queues {
		pressed += queue.usualDemand()
	}
	return (multiple*pressedExecutors*pressedCPU/1000 - (others - pressed)) / pressed
}

func usualQueues() []*pressedQueue { return []*pressedQueue{&urgentQueue, &usualQueue, &longQueue} }

// playFactors plays the usual load, with some queues multiplied.
func (c *pressedFleet) playFactors(length time.Duration, factor float64, pressed []*pressedQueue) {
	for end := c.clock.Monotonic() + length; c.clock.Monotonic() < end; {
		for _, queue := range usualQueues() {
			times := 1.0
			for _, other := range pressed {
				if other == queue {
					times = factor
				}
			}
			c.submitDue(queue, times)
		}
		c.work()
		c.pass(fleetTick)
	}
}

// loseRack has the first rack's executors silent, with all they run.
func (c *pressedFleet) loseRack(isLost bool) {
	for _, executor := range c.executors[:rackSize] {
		executor.isSilent = isLost
	}
}

// playOverload plays the overload of a shape, with its loss halfway; the usual load where no queue is pressed.
func (c *pressedFleet) playOverload(shape overloadShape) {
	const multiple = 2
	factor := 1.0
	if len(shape.queues) > 0 {
		factor = overloadFactor(shape.queues, multiple)
	}
	c.playFactors(shape.length/2, factor, shape.queues)
	switch shape.loss {
	case lossRack:
		c.loseRack(true)
	case lossLeader:
		c.takeOver()
	}
	c.playFactors(shape.length/2, factor, shape.queues)
}

// beginPhase has what follows drawn alike, whatever came before.
func (c *pressedFleet) beginPhase(number uint64) {
	const jobsOfPhase = 1 << 20
	c.draw, c.next, c.submitted = rand.New(rand.NewPCG(number, 5)), map[string]float64{}, int(number)*jobsOfPhase
}

// The time after an overload is looked at in windows: so many, of this length.
const (
	afterWindow  = 4 * time.Second
	afterWindows = 8
)

// playAfter plays a shape and then the usual load, the same after each overload, and gives the windows' parts on time by queue.
func playAfter(shape overloadShape, seed uint64) map[string][]float64 {
	c := newPressedFleet(seed)
	c.beginPhase(10*seed + 1)
	c.playFactors(6*time.Second, 1, nil)
	c.playOverload(shape)
	end := c.clock.Monotonic()
	c.beginPhase(10*seed + 2)
	c.playFactors(rackReturn, 1, nil)
	c.loseRack(false)
	c.playFactors(afterWindows*afterWindow, 1, nil)
	parts := map[string][]float64{}
	for _, queue := range []*pressedQueue{&urgentQueue, &usualQueue} {
		for window := range afterWindows {
			from := end + time.Duration(window)*afterWindow
			parts[queue.name] = append(parts[queue.name], c.partOnTime(queue, from, from+afterWindow))
		}
	}
	return parts
}

// recoveryTime is how long after an overload a queue was served worse than on a day without one, by more than chance brings.
func recoveryTime(parts, undisturbed []float64) time.Duration {
	const chance = 0.3
	for window := afterWindows; window > 0; window-- {
		if parts[window-1] < undisturbed[window-1]-chance {
			return time.Duration(window) * afterWindow
		}
	}
	return 0
}

var _ = Describe("overloads of every shape", func() {
	const (
		seeds       = 3
		mostSeconds = 12
	)

	It("are over for each queue soon after their end", func() {
		undisturbed := map[uint64]map[string][]float64{}
		for seed := range uint64(seeds) {
			undisturbed[seed] = playAfter(overloadShape{length: 4 * time.Second, loss: lossNone}, seed)
		}
		var slow []string
		for number, shape := range overloadShapes() {
			seed := uint64(number/3) % seeds
			for queue, parts := range playAfter(shape, seed) {
				if took := recoveryTime(parts, undisturbed[seed][queue]); took > mostSeconds*time.Second {
					slow = append(slow, fmt.Sprintf("%s: %s %v %.2f, else %.2f", shape, queue, took, parts, undisturbed[seed][queue]))
				}
			}
		}
		Expect(slow).To(BeEmpty())
	})
})
