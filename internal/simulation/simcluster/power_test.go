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

// replaceVoter cuts off a steward and then reconnects it. If the steward is a voter, the time is long enough for another to replace it.
func (c *harness) replaceVoter(number int) {
	c.Cut(c.Nodes[number].Name, true)
	c.Run(3 * time.Second)
	c.Cut(c.Nodes[number].Name, false)
	c.Run(700 * time.Millisecond)
}

// losePowerAfterAcknowledgement waits for the next acknowledged end and kills all stewards, each at a random time within the given duration
// after it. Up to 2 s later it starts them again, wiped of them with empty disks.
func (c *harness) losePowerAfterAcknowledgement(within time.Duration, wiped int) {
	isTriggered := false
	c.Checker.OnEndAcknowledged = func(string) {
		if isTriggered {
			return
		}
		isTriggered = true
		for _, node := range c.Nodes {
			c.Events.After(time.Duration(c.Events.Draw.Int64N(int64(within))), func() { c.Kill(node) })
		}
	}
	for round := 0; round < 3000 && !isTriggered; round++ {
		c.Run(time.Millisecond)
	}
	c.Run(within)
	Expect(isTriggered).To(BeTrue())
	c.Checker.OnEndAcknowledged = nil
	c.Run(time.Duration(c.Events.Draw.IntN(2000)) * time.Millisecond)
	offset := c.Events.Draw.IntN(len(c.Nodes))
	for number, node := range c.Nodes {
		if (number+offset)%len(c.Nodes) < wiped {
			c.Wipe(node)
		} else {
			c.Start(node)
		}
	}
}

// runPowerLosses submits jobs and cuts the power of all stewards right after an acknowledged end, three times. In about half of the rounds
// it first cuts off a steward for a while. The network loses and duplicates calls, but not in the last 25 s, in which the jobs complete.
func runPowerLosses(seed uint64, wiped int, options ...simcluster.Option) *harness {
	options = append(options, simcluster.WithWork(mixedWork))
	c := &harness{Cluster: simcluster.New(seed, 5, 6, executorCapacity, startWallMs, options...), accepted: map[string]bool{}}
	c.Loss = 0.05
	c.Run(3 * time.Second)
	for round := range 3 {
		if c.Events.Draw.IntN(2) == 0 {
			c.replaceVoter(c.Events.Draw.IntN(len(c.Nodes)))
		}
		for number := range 4 {
			c.submitJob(10*round+number, plain(14, 1500))
		}
		c.submitJob(10*round+4, chain)
		c.Run(time.Duration(c.Events.Draw.IntN(300)) * time.Millisecond)
		c.losePowerAfterAcknowledgement(time.Duration(1+c.Events.Draw.IntN(20))*time.Millisecond, wiped)
		c.Run(time.Duration(4+c.Events.Draw.IntN(4)) * time.Second)
	}
	c.Loss = 0
	c.Run(25 * time.Second)
	return c
}

var _ = Describe("the loss of all power right after an acknowledged end", func() {
	for seed := range uint64(powerSeeds) {
		It(fmt.Sprintf("starts no completed task again after two replaced voters, seed %d", seed), func() {
			c := &harness{Cluster: simcluster.New(700+seed, 5, 6, executorCapacity, startWallMs, simcluster.WithWork(mixedWork)), accepted: map[string]bool{}}
			c.Run(3 * time.Second)
			Expect(c.Leader()).NotTo(BeNil())
			for number := range 3 {
				c.submitJob(number, plain(14, 1500))
			}
			for _, number := range []int{int(seed) % 3, int(seed+1) % 3} {
				c.replaceVoter(number)
				c.submitJob(10+number, plain(14, 1500))
			}
			for number := range 6 {
				c.submitJob(20+number, chain)
				c.Run(time.Duration(c.Events.Draw.IntN(120)) * time.Millisecond)
			}
			c.losePowerAfterAcknowledgement(5*time.Millisecond, 0)
			c.Run(25 * time.Second)
			c.expectAllStates(Or(ContainSubstring("completed"), ContainSubstring("failed")))
			Expect(c.Checker.Violations).To(BeEmpty())
		})
	}
})

var _ = Describe("repeated losses of all power", func() {
	for wiped := range 2 {
		It(fmt.Sprintf("lose no acknowledged end, with %d disks wiped each time", wiped), func() {
			for seed := range uint64(powerLossSeeds()) {
				c := runPowerLosses(9000+seed, wiped)
				c.expectAllStates(Or(ContainSubstring("completed"), ContainSubstring("failed")))
				Expect(c.Checker.Violations).To(BeEmpty(), "seed %d", 9000+seed)
			}
		})
	}

	It("violate the rules if proxies acknowledge ends before the leader does", func() {
		var violations []string
		for seed := range uint64(powerLossSeeds()) {
			violations = append(violations, runPowerLosses(9000+seed, 0, simcluster.WithEarlyAcks()).Checker.Violations...)
		}
		Expect(violations).To(ContainElement(ContainSubstring("after it was done")))
	})
})

const powerSeeds = 20

// powerLossSeeds returns the number of seeds for repeated power losses: the environment variable POWER_LOSS_SEEDS, or 6.
func powerLossSeeds() int {
	if count, err := strconv.Atoi(os.Getenv("POWER_LOSS_SEEDS")); err == nil {
		return count
	}
	return 6
}
