package simcluster_test

import (
	"fmt"
	"os"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/simulation/simcluster"
)

// swapVoter takes a voter away for long enough to be replaced by a steward that is none, and brings it back.
func (c *jobCrowd) swapVoter(number int) {
	c.Cut(c.Nodes[number].Name, true)
	c.Run(3 * time.Second)
	c.Cut(c.Nodes[number].Name, false)
	c.Run(700 * time.Millisecond)
}

// losePowerAfterNoted kills all stewards, each at its own moment, within milliseconds of the next end that is noted. So many of them
// come back without their disks.
func (c *jobCrowd) losePowerAfterNoted(within time.Duration, wiped int) {
	isStruck := false
	c.Judge.OnNoted = func(string) {
		if isStruck {
			return
		}
		isStruck = true
		for _, node := range c.Nodes {
			c.Events.After(time.Duration(c.Events.Draw.Int64N(int64(within))), func() { c.Kill(node) })
		}
	}
	for round := 0; round < 3000 && !isStruck; round++ {
		c.Run(time.Millisecond)
	}
	c.Run(within)
	Expect(isStruck).To(BeTrue())
	c.Judge.OnNoted = nil
	c.Run(time.Duration(c.Events.Draw.IntN(2000)) * time.Millisecond)
	lost := c.Events.Draw.IntN(len(c.Nodes))
	for number, node := range c.Nodes {
		if (number+lost)%len(c.Nodes) < wiped {
			c.Wipe(node)
		} else {
			c.Start(node)
		}
	}
}

// playPowerLosses loses all power right after an end that was noted, several times, between swaps of voters and on a network that
// loses, doubles and delays messages.
func playPowerLosses(seed uint64, wiped int, options ...simcluster.Option) *jobCrowd {
	options = append(options, simcluster.WithWork(mixedWork))
	c := &jobCrowd{Cluster: simcluster.New(seed, 5, 6, capacityOf, wall, options...), accepted: map[string]bool{}}
	c.Loss = 0.05
	c.Run(3 * time.Second)
	for round := range 3 {
		if c.Events.Draw.IntN(2) == 0 {
			c.swapVoter(c.Events.Draw.IntN(len(c.Nodes)))
		}
		for number := range 4 {
			c.handIn(10*round+number, plain(14, 1500))
		}
		c.handIn(10*round+4, chain)
		c.Run(time.Duration(c.Events.Draw.IntN(300)) * time.Millisecond)
		c.losePowerAfterNoted(time.Duration(1+c.Events.Draw.IntN(20))*time.Millisecond, wiped)
		c.Run(time.Duration(4+c.Events.Draw.IntN(4)) * time.Second)
	}
	c.Loss = 0
	c.Run(25 * time.Second)
	return c
}

var _ = Describe("the loss of all power right after an end was acknowledged", func() {
	for seed := range uint64(powerSeeds) {
		It(fmt.Sprintf("starts no task again, after two swaps of voters, seed %d", seed), func() {
			c := &jobCrowd{Cluster: simcluster.New(700+seed, 5, 6, capacityOf, wall, simcluster.WithWork(mixedWork)), accepted: map[string]bool{}}
			c.Run(3 * time.Second)
			Expect(c.Leader()).NotTo(BeNil())
			for number := range 3 {
				c.handIn(number, plain(14, 1500))
			}
			for _, number := range []int{int(seed) % 3, int(seed+1) % 3} {
				c.swapVoter(number)
				c.handIn(10+number, plain(14, 1500))
			}
			for number := range 6 {
				c.handIn(20+number, chain)
				c.Run(time.Duration(c.Events.Draw.IntN(120)) * time.Millisecond)
			}
			c.losePowerAfterNoted(5*time.Millisecond, 0)
			c.Run(25 * time.Second)
			c.expectAll(Or(ContainSubstring("completed"), ContainSubstring("failed")))
			Expect(c.Judge.Problems).To(BeEmpty())
		})
	}
})

var _ = Describe("losses of all power, again and again", func() {
	for wiped := range 2 {
		It(fmt.Sprintf("lose no acknowledged end, with %d disks gone each time", wiped), func() {
			for seed := range uint64(powerLossSeeds()) {
				c := playPowerLosses(9000+seed, wiped)
				c.expectAll(Or(ContainSubstring("completed"), ContainSubstring("failed")))
				Expect(c.Judge.Problems).To(BeEmpty(), "seed %d", 9000+seed)
			}
		})
	}

	It("are found to lose ends that were acknowledged as soon as they were reported", func() {
		var problems []string
		for seed := range uint64(powerLossSeeds()) {
			problems = append(problems, playPowerLosses(9000+seed, 0, simcluster.WithEarlyAcks()).Judge.Problems...)
		}
		Expect(problems).To(ContainElement(ContainSubstring("after it was done")))
	})
})

const powerSeeds = 20

// powerLossSeeds is how many seeds are played of losses again and again; POWER_LOSS_SEEDS names another number.
func powerLossSeeds() int {
	if count, err := strconv.Atoi(os.Getenv("POWER_LOSS_SEEDS")); err == nil {
		return count
	}
	return 6
}
