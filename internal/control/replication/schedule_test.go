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
	// catchUp is how long a node counts as lost after its return, and a new one after its start.
	catchUp = 4 * time.Second
	// seedsVariable names how many seeds of each schedule to run instead of the usual number.
	seedsVariable = "REPLICATION_SEEDS"
)

// faultSchedule strikes a simulated cluster with as many losses at once as it must bear, and counts them as the deployment does.
type faultSchedule struct {
	*testCluster
	// endsAt is when a node's trouble ends, lostUntil when it no longer counts as lost.
	endsAt    map[*testNode]time.Duration
	lostUntil map[*testNode]time.Duration
	madeAt    int
	injected  map[string]int
	isPlanned map[*testNode]bool
}

func newFaultSchedule(losses int, seed uint64, names ...string) *faultSchedule {
	s := &faultSchedule{testCluster: newTestClusterBearing(losses, seed, names...), endsAt: map[*testNode]time.Duration{},
		lostUntil: map[*testNode]time.Duration{}, injected: map[string]int{}, isPlanned: map[*testNode]bool{}}
	for _, node := range s.nodes {
		node.clock.perMille = int64(s.random.IntN(21) - 10)
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

// endFaults ends those that are over, or all of them.
func (s *faultSchedule) endFaults(isAll bool) {
	for _, node := range slices.Clone(s.nodes) {
		if until, isInjected := s.endsAt[node]; isInjected && (isAll || s.clock.Monotonic() >= until) {
			delete(s.endsAt, node)
			s.restore(node)
			s.lostUntil[node] = s.clock.Monotonic() + catchUp
		}
	}
}

func (s *faultSchedule) restore(node *testNode) {
	delete(s.isolated, node.name)
	delete(s.lateNodes, node.name)
	for _, other := range s.nodes {
		delete(s.blockedLinks, node.name+">"+other.name)
		delete(s.blockedLinks, other.name+">"+node.name)
	}
	node.isFrozen = false
	node.disk.isStalled, node.disk.failsWrites, node.disk.isOutcomeUnclear, node.disk.syncTime = false, false, false, 0
	if !node.isUp || s.isPlanned[node] {
		node.kill()
		node.start()
	}
	delete(s.isPlanned, node)
}

// injectNext gives a node that is not lost a fault of some length.
func (s *faultSchedule) injectNext() {
	node := s.nodes[s.random.IntN(len(s.nodes))]
	if s.lostNodes() >= s.machineLosses || s.clock.Monotonic() < s.lostUntil[node] {
		return
	}
	length := time.Duration(50+s.random.IntN(6000)) * time.Millisecond
	s.endsAt[node] = s.clock.Monotonic() + length
	s.lostUntil[node] = s.endsAt[node] + catchUp
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
		s.isPlanned[node] = true
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
		s.lateNodes[node.name] = true
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

// replace removes a node for good, and adds another at another address at once.
func (s *faultSchedule) replace(node *testNode) {
	node.kill()
	s.lastWipeAt = s.clock.Monotonic()
	s.nodes = slices.DeleteFunc(s.nodes, func(other *testNode) bool { return other == node })
	delete(s.endsAt, node)
	s.madeAt++
	fresh := s.add(fmt.Sprintf("new%d", s.madeAt))
	fresh.start()
	s.lostUntil[fresh] = s.clock.Monotonic() + catchUp
}

func (s *faultSchedule) wipe(node *testNode) {
	s.madeAt++
	node.wipe(fmt.Sprintf("disk-%s-%d", node.name, s.madeAt))
	delete(s.endsAt, node)
	s.lostUntil[node] = s.clock.Monotonic() + catchUp
}

// losePower takes away from all nodes, or all but one, what they have not synced; it ends all other troubles.
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
			s.lostUntil[node] = s.clock.Monotonic() + catchUp
		}
	}
}

// play lets a simulated cluster go through its troubles, and then come to rest.
func (s *faultSchedule) play(steps int) {
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

var _ = Describe("all that was acknowledged is kept", func() {
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
		It(fmt.Sprintf("by %d disks through %d losses at once, cuts, disk errors, replacements and losses of all power", len(shape.names), shape.losses), func() {
			for seed := range seeds(6) {
				s := newFaultSchedule(shape.losses, 2000+seed, shape.names...)
				s.run(3 * time.Second)
				s.play(150)
				By(fmt.Sprintf("seed %d, troubles %v", seed, s.injected))
				s.expectSettled()
			}
		})
	}
})
