package countmodel

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/simulation/modelcheck"
)

// Strategies that enforce one limit over several pools are compared under the same demand for one tenant. The first pool always wants the
// whole limit, the second one for 5 s out of 10. With the simple strategies a task takes about taskTime. The escrow runs in the model, with
// the model's times of tasks, messages and commits.
const (
	comparedPools  = 2
	comparedLimit  = maxLimit / 2
	comparedTime   = 40 * time.Second
	demandPhase    = 5 * time.Second
	comparedStep   = time.Millisecond
	taskTime       = 300 * time.Millisecond
	gossipInterval = 200 * time.Millisecond
	// requestTime is how long a start takes that is requested from a leader. Messages take 1 to 8 ms, a commit takes 2 to 12 ms.
	requestTime   = 17 * time.Millisecond
	leaderLostAt  = 20 * time.Second
	leaderLostFor = 1500 * time.Millisecond
)

// measurements are the results of one strategy.
type measurements struct {
	starts, messages int
	// maxOverLimit is the highest number of running tasks beyond the limit. unusedShare is the average share of the limit that was not in
	// use while a pool wanted it.
	maxOverLimit int
	unusedShare  float64
	// longestHandover is the longest time from a change of demand until the pool that gains by it runs nine tenths of its share.
	longestHandover time.Duration
}

func (m measurements) String() string {
	return fmt.Sprintf("starts %d, messages a start %.2f, over the limit by %d, unused %.3f, handed over within %s",
		m.starts, float64(m.messages)/float64(m.starts), m.maxOverLimit, m.unusedShare, m.longestHandover)
}

// simpleStrategy is a strategy without replicated state. canStart reports whether a pool may start another task. It is given the number of
// tasks that run or are starting in each pool, the number of running tasks that each pool last gossiped, and whether there is a leader.
type simpleStrategy struct {
	canStart         func(pool int, occupied, known []int, hasLeader bool) bool
	messagesPerStart int
	usesGossip       bool
	// startTime is how long it takes to start a task. It is 0 if a pool starts tasks without requests to a leader.
	startTime time.Duration
}

// wants reports whether a pool wants the whole limit at a time.
func wants(pool int, now time.Duration) bool { return pool == 0 || now/demandPhase%2 == 1 }

// hasShare reports whether the pool that gained by the last change of demand runs nine tenths of its share of the limit.
func hasShare(running func(pool int) int, now time.Duration) bool {
	if wants(1, now) {
		return 10*running(1) >= 9*comparedLimit/2
	}
	return 10*running(0) >= 9*comparedLimit
}

// measure simulates a simple strategy.
func (s simpleStrategy) measure() measurements {
	random := rand.New(rand.NewPCG(19, 19))
	result := measurements{}
	running, pending, known := make([]int, comparedPools), make([]int, comparedPools), make([]int, comparedPools)
	var endTimes, startTimes [comparedPools][]time.Duration
	var unusedTotal, limitTotal float64
	hasHandedOver := true
	for now := time.Duration(0); now < comparedTime; now += comparedStep {
		hasLeader := now < leaderLostAt || now >= leaderLostAt+leaderLostFor
		for pool := range comparedPools {
			for len(startTimes[pool]) > 0 && startTimes[pool][0] <= now {
				startTimes[pool] = startTimes[pool][1:]
				pending[pool]--
				running[pool]++
				endTimes[pool] = append(endTimes[pool], now+taskTime-20*time.Millisecond+time.Duration(random.IntN(40))*time.Millisecond)
			}
			for index := 0; index < len(endTimes[pool]); index++ {
				if endTimes[pool][index] <= now {
					endTimes[pool] = append(endTimes[pool][:index], endTimes[pool][index+1:]...)
					running[pool]--
					index--
				}
			}
		}
		if s.usesGossip && now%gossipInterval == 0 {
			copy(known, running)
			result.messages += comparedPools * (comparedPools - 1)
		}
		occupied := []int{running[0] + pending[0], running[1] + pending[1]}
		for pool := range comparedPools {
			for wants(pool, now) && s.canStart(pool, occupied, known, hasLeader) {
				occupied[pool]++
				pending[pool]++
				result.starts++
				result.messages += s.messagesPerStart
				startTimes[pool] = append(startTimes[pool], now+s.startTime)
			}
		}
		total := running[0] + running[1]
		result.maxOverLimit = max(result.maxOverLimit, total-comparedLimit)
		unusedTotal += float64(max(0, comparedLimit-total))
		limitTotal += comparedLimit
		if now%demandPhase == 0 {
			hasHandedOver = false
		}
		if !hasHandedOver && hasShare(func(pool int) int { return running[pool] }, now) {
			hasHandedOver = true
			result.longestHandover = max(result.longestHandover, now%demandPhase)
		}
	}
	if !hasHandedOver {
		result.longestHandover = demandPhase
	}
	result.unusedShare = unusedTotal / limitTotal
	return result
}

// measureEscrow runs the real partitions and accounts in the model, under the same demand. All partitions lose their leaders at
// leaderLostAt.
func measureEscrow(pools int) measurements {
	schedule := modelcheck.Schedule{Model: modelName, Seed: 19, Losses: 1, Nodes: pools}
	for phaseStart := time.Duration(0); phaseStart < comparedTime; phaseStart += demandPhase {
		for pool := range pools {
			count := 0
			if wants(pool, phaseStart) {
				count = 2 * maxLimit
			}
			schedule.Steps = append(schedule.Steps, modelcheck.Step{AtMs: int(phaseStart.Milliseconds()), Kind: kindDemand, Node: pool, Value: count})
		}
	}
	for part := range partCount {
		schedule.Steps = append(schedule.Steps, modelcheck.Step{AtMs: int(leaderLostAt.Milliseconds()), Kind: kindKillPart, Node: part})
	}
	cluster := newSimCluster(schedule)
	cluster.start()
	for _, step := range schedule.Steps {
		cluster.queue.After(time.Duration(step.AtMs)*time.Millisecond, func() { cluster.applyStep(step) })
	}
	result, tenant, hasHandedOver := measurements{}, tenants[0], true
	var unusedTotal, limitTotal float64
	for now := time.Duration(0); now < comparedTime; now += comparedStep {
		cluster.queue.RunUntil(now)
		total := 0
		for _, pool := range cluster.pools {
			total += len(pool.executing[tenant])
		}
		result.maxOverLimit = max(result.maxOverLimit, total-comparedLimit)
		unusedTotal += float64(max(0, comparedLimit-total))
		limitTotal += comparedLimit
		if now%demandPhase == 0 {
			hasHandedOver = false
		}
		if !hasHandedOver && (pools == 1 || hasShare(func(pool int) int { return len(cluster.pools[pool].executing[tenant]) }, now)) {
			hasHandedOver = true
			result.longestHandover = max(result.longestHandover, now%demandPhase)
		}
	}
	Expect(cluster.violations).To(BeEmpty())
	result.starts, result.messages, result.unusedShare = cluster.coverage["start"], cluster.coverage["call"], unusedTotal/limitTotal
	return result
}

var _ = Describe("strategies to enforce one limit over several pools", func() {
	static := simpleStrategy{canStart: func(pool int, occupied, _ []int, _ bool) bool { return occupied[pool] < comparedLimit/comparedPools }}
	oneLeader := simpleStrategy{messagesPerStart: 2, startTime: requestTime, canStart: func(_ int, occupied, _ []int, hasLeader bool) bool {
		return hasLeader && occupied[0]+occupied[1] < comparedLimit
	}}
	gossip := simpleStrategy{usesGossip: true, canStart: func(pool int, occupied, known []int, _ bool) bool {
		return occupied[pool]+known[1-pool] < comparedLimit
	}}

	It("compares them: the escrow never exceeds the limit, leaves little unused and needs few messages", func() {
		results := map[string]measurements{"static shares": static.measure(), "a leader asked at each start": oneLeader.measure(),
			"gossiped counters, 200 ms": gossip.measure(), "escrow": measureEscrow(comparedPools), "escrow, one pool": measureEscrow(1)}
		for name, result := range results {
			GinkgoWriter.Printf("%-30s %s\n", name, result)
		}
		Expect(results["static shares"].unusedShare).To(BeNumerically(">", 0.2))
		Expect(results["gossiped counters, 200 ms"].maxOverLimit).To(BeNumerically(">", 0))
		Expect(results["escrow"].maxOverLimit).To(BeNumerically("<=", 0))
		Expect(results["escrow"].unusedShare).To(BeNumerically("<", 0.8*results["static shares"].unusedShare))
		Expect(results["escrow"].longestHandover).To(BeNumerically("<", 2*time.Second))
		Expect(results["escrow, one pool"].messages).To(BeNumerically("<=", 2*partCount+2*partCount))
	})
})
