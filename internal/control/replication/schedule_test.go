package replication_test

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	// recoveryTime is how long a node still counts as lost after its return, and a new node after its start.
	recoveryTime = 4 * time.Second
	// seedsVariable is the environment variable for the number of seeds to run of each schedule.
	seedsVariable = "REPLICATION_SEEDS"
)

// faultSchedule injects random faults into a simulated cluster: at most as many losses at once as it must tolerate. A node counts as lost
// until recoveryTime after the end of its fault, as in a deployment.
type faultSchedule struct {
	*testCluster
	// faultEndsAt is when a node's fault ends, lostUntil when the node no longer counts as lost.
	faultEndsAt map[*testNode]time.Duration
	lostUntil   map[*testNode]time.Duration
	// replacementCount numbers the new nodes and new disks.
	replacementCount int
	// injected counts the injected faults by name.
	injected map[string]int
	// isShuttingDown holds the nodes that leave and are restarted at the end of the fault.
	isShuttingDown map[*testNode]bool
}

func newFaultSchedule(losses int, seed uint64, names ...string) *faultSchedule {
	s := &faultSchedule{testCluster: newTestClusterTolerating(losses, seed, names...), faultEndsAt: map[*testNode]time.Duration{},
		lostUntil: map[*testNode]time.Duration{}, injected: map[string]int{}, isShuttingDown: map[*testNode]bool{}}
	for _, node := range s.nodes {
		node.clock.driftPerMille = int64(s.random.IntN(21) - 10)
	}
	return s
}

func (s *faultSchedule) lostNodes() int {
	count := 0
	for _, node := range s.nodes {
		if s.clock.Monotonic() < s.lostUntil[node] {
			count++
		}
	}
	return count
}

// endFaults ends the faults whose time has passed, or all faults.
func (s *faultSchedule) endFaults(isAll bool) {
	for _, node := range slices.Clone(s.nodes) {
		if until, isInjected := s.faultEndsAt[node]; isInjected && (isAll || s.clock.Monotonic() >= until) {
			delete(s.faultEndsAt, node)
			s.restore(node)
			s.lostUntil[node] = s.clock.Monotonic() + recoveryTime
		}
	}
}

func (s *faultSchedule) restore(node *testNode) {
	delete(s.isolated, node.name)
	delete(s.delayedNodes, node.name)
	for _, other := range s.nodes {
		delete(s.blockedLinks, node.name+">"+other.name)
		delete(s.blockedLinks, other.name+">"+node.name)
	}
	node.isFrozen = false
	node.disk.isStalled, node.disk.failsWrites, node.disk.isOutcomeUnclear, node.disk.syncTime = false, false, false, 0
	if !node.isUp || s.isShuttingDown[node] {
		node.kill()
		node.start()
	}
	delete(s.isShuttingDown, node)
}

// injectNext injects a fault of random kind and duration into a random node, unless the node counts as lost or the tolerated number
// of losses is reached.
func (s *faultSchedule) injectNext() {
	node := s.nodes[s.random.IntN(len(s.nodes))]
	if s.lostNodes() >= s.machineLosses || s.clock.Monotonic() < s.lostUntil[node] {
		return
	}
	length := time.Duration(50+s.random.IntN(6000)) * time.Millisecond
	s.faultEndsAt[node] = s.clock.Monotonic() + length
	s.lostUntil[node] = s.faultEndsAt[node] + recoveryTime
	faults := []string{"kill", "restart", "cut", "cut one way", "late", "freeze", "stall", "refuse", "unclear", "slow disk", "leave",
		"replace", "replace in order", "wipe", "wipe, all others lose power"}
	fault := faults[s.random.IntN(len(faults))]
	s.injected[fault]++
	s.inject(fault, node, length)
}

func (s *faultSchedule) inject(fault string, node *testNode, length time.Duration) {
	switch fault {
	case "kill":
		node.kill()
	case "restart":
		node.kill()
		node.start()
	case "freeze":
		node.isFrozen = true
	case "leave":
		s.isShuttingDown[node] = true
		node.leave()
	case "replace":
		s.replace(node)
	case "replace in order":
		node.leave()
		s.run(time.Duration(s.random.IntN(2000)) * time.Millisecond)
		s.replace(node)
	case "wipe":
		s.wipe(node)
	case "wipe, all others lose power":
		s.wipe(node)
		s.losePower(node)
	default:
		s.injectNetworkOrDisk(fault, node, length)
	}
}

func (s *faultSchedule) injectNetworkOrDisk(fault string, node *testNode, length time.Duration) {
	switch fault {
	case "cut":
		s.isolated[node.name] = true
	case "late":
		s.delayedNodes[node.name] = true
	case "cut one way":
		for _, other := range s.nodes {
			link := []string{node.name + ">" + other.name, other.name + ">" + node.name}[int(length/time.Millisecond)%2]
			s.blockedLinks[link] = true
		}
	case "stall":
		node.disk.isStalled = true
	case "refuse":
		node.disk.failsWrites = true
	case "unclear":
		node.disk.isOutcomeUnclear = true
	case "slow disk":
		node.disk.syncTime = time.Duration(100+s.random.IntN(1500)) * time.Millisecond
	default:
		panic("no such fault: " + fault)
	}
}

// replace removes a node permanently, and at once adds a new node at another address.
func (s *faultSchedule) replace(node *testNode) {
	node.kill()
	s.lastWipeAt = s.clock.Monotonic()
	s.nodes = slices.DeleteFunc(s.nodes, func(other *testNode) bool { return other == node })
	delete(s.faultEndsAt, node)
	s.replacementCount++
	newNode := s.add(fmt.Sprintf("new%d", s.replacementCount))
	newNode.start()
	s.lostUntil[newNode] = s.clock.Monotonic() + recoveryTime
}

func (s *faultSchedule) wipe(node *testNode) {
	s.replacementCount++
	node.wipe(fmt.Sprintf("disk-%s-%d", node.name, s.replacementCount))
	delete(s.faultEndsAt, node)
	s.lostUntil[node] = s.clock.Monotonic() + recoveryTime
}

// losePower ends all faults and restarts all nodes except the given one, if any, so that they lose what they have not synced.
func (s *faultSchedule) losePower(except *testNode) {
	s.endFaults(true)
	for _, node := range s.nodes {
		if node != except {
			node.kill()
		}
	}
	for _, node := range s.nodes {
		if node != except {
			node.start()
			s.lostUntil[node] = s.clock.Monotonic() + recoveryTime
		}
	}
}

// runFaults injects faults during writes for a number of steps. It then ends all faults and lets the cluster settle.
// At the first violation it returns at once, with the faults in place.
func (s *faultSchedule) runFaults(steps int) {
	s.lossRate = 0.02
	for range steps {
		s.endFaults(false)
		if s.random.IntN(60) == 0 {
			s.injected["all lose power"]++
			s.losePower(nil)
		}
		if s.random.IntN(3) == 0 {
			s.injectNext()
		}
		for range 5 {
			s.write()
			s.run(time.Duration(1+s.random.IntN(40)) * time.Millisecond)
		}
		if len(s.violations) > 0 {
			return
		}
	}
	s.endFaults(true)
	s.lossRate = 0
	s.run(8 * time.Second)
}

func (s *faultSchedule) expectSettled() {
	GinkgoHelper()
	Expect(s.violations).To(BeEmpty())
	Expect(s.leader()).NotTo(BeNil())
	Expect(s.acknowledged).NotTo(BeEmpty())
	Expect(s.voters()).To(HaveLen(2*s.machineLosses + 1))
	for _, disk := range s.voters() {
		Expect(s.byDisk(disk)).NotTo(BeNil())
		Expect(s.holdsAllAcknowledged(s.byDisk(disk))).To(BeTrue())
	}
}

func seeds(usual uint64) uint64 {
	if wanted, err := strconv.ParseUint(os.Getenv(seedsVariable), 10, 32); err == nil {
		return wanted
	}
	return usual
}

var _ = Describe("acknowledged changes are kept", func() {
	for _, shape := range []struct {
		losses int
		names  []string
	}{
		{1, []string{"a", "b", "c"}},
		{1, []string{"a", "b", "c", "d"}},
		{2, []string{"a", "b", "c", "d", "e"}},
		{2, []string{"a", "b", "c", "d", "e", "f"}},
		{2, []string{"a", "b", "c", "d", "e", "f", "g", "h", "i"}},
	} {
		It(fmt.Sprintf("by %d disks under %d losses at once, partitions, disk errors, replacements and power losses", len(shape.names), shape.losses), func() {
			for seed := range seeds(6) {
				s := newFaultSchedule(shape.losses, 2000+seed, shape.names...)
				s.run(3 * time.Second)
				s.runFaults(150)
				By(fmt.Sprintf("seed %d, injected faults %v", seed, s.injected))
				s.expectSettled()
			}
		})
	}
})
