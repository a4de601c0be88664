package simcluster_test

import (
	"fmt"
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

// losePowerAfterNoted kills all stewards, each at its own moment, within milliseconds of the next end that is noted.
func (c *jobCrowd) losePowerAfterNoted(within time.Duration) {
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
	for _, node := range c.Nodes {
		c.Start(node)
	}
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
			c.losePowerAfterNoted(5 * time.Millisecond)
			c.Run(25 * time.Second)
			c.expectAll(Or(ContainSubstring("completed"), ContainSubstring("failed")))
			Expect(c.Judge.Problems).To(BeEmpty())
		})
	}
})

const powerSeeds = 20
