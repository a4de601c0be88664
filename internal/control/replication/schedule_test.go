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

// schedule strikes a world with as many losses at once as it must bear, and counts them as the deployment does.
type schedule struct {
	*world
	// endsAt is when a node's trouble ends, lostUntil when it no longer counts as lost.
	endsAt    map[*node]time.Duration
	lostUntil map[*node]time.Duration
	made      int
	struck    map[string]int
	isPlanned map[*node]bool
}

func newSchedule(losses int, seed uint64, names ...string) *schedule {
	s := &schedule{world: newWorldBearing(losses, seed, names...), endsAt: map[*node]time.Duration{},
		lostUntil: map[*node]time.Duration{}, struck: map[string]int{}, isPlanned: map[*node]bool{}}
	for _, one := range s.nodes {
		one.clock.perMille = int64(s.draw.IntN(21) - 10)
	}
	return s
}

func (s *schedule) lost() int {
	count := 0
	for _, one := range s.nodes {
		if s.clock.Monotonic() < s.lostUntil[one] {
			count++
		}
	}
	return count
}

// endTroubles ends those that are over, or all of them.
func (s *schedule) endTroubles(isAll bool) {
	for _, one := range slices.Clone(s.nodes) {
		if until, isStruck := s.endsAt[one]; isStruck && (isAll || s.clock.Monotonic() >= until) {
			delete(s.endsAt, one)
			s.restore(one)
			s.lostUntil[one] = s.clock.Monotonic() + catchUp
		}
	}
}

func (s *schedule) restore(one *node) {
	delete(s.cut, one.name)
	delete(s.late, one.name)
	for _, other := range s.nodes {
		delete(s.oneWay, one.name+">"+other.name)
		delete(s.oneWay, other.name+">"+one.name)
	}
	one.isFrozen = false
	one.disk.stalls, one.disk.refuses, one.disk.unclear, one.disk.syncTime = false, false, false, 0
	if !one.isUp || s.isPlanned[one] {
		one.kill()
		one.start()
	}
	delete(s.isPlanned, one)
}

// strike gives a node that is not lost a trouble of some length.
func (s *schedule) strike() {
	one := s.nodes[s.draw.IntN(len(s.nodes))]
	if s.lost() >= s.losses || s.clock.Monotonic() < s.lostUntil[one] {
		return
	}
	length := time.Duration(50+s.draw.IntN(6000)) * time.Millisecond
	s.endsAt[one] = s.clock.Monotonic() + length
	s.lostUntil[one] = s.endsAt[one] + catchUp
	troubles := []string{"kill", "restart", "cut", "cut one way", "late", "freeze", "stall", "refuse", "unclear", "slow disk", "leave",
		"replace", "replace in order", "wipe", "wipe, all others lose power"}
	trouble := troubles[s.draw.IntN(len(troubles))]
	s.struck[trouble]++
	switch trouble {
	case "kill":
		one.kill()
	case "restart":
		one.kill()
		one.start()
	case "cut":
		s.cut[one.name] = true
	case "late":
		s.late[one.name] = true
	case "cut one way":
		for _, other := range s.nodes {
			link := []string{one.name + ">" + other.name, other.name + ">" + one.name}[int(length/time.Millisecond)%2]
			s.oneWay[link] = true
		}
	case "freeze":
		one.isFrozen = true
	case "stall":
		one.disk.stalls = true
	case "refuse":
		one.disk.refuses = true
	case "unclear":
		one.disk.unclear = true
	case "slow disk":
		one.disk.syncTime = time.Duration(100+s.draw.IntN(1500)) * time.Millisecond
	case "leave":
		s.isPlanned[one] = true
		one.leave()
	case "replace":
		s.replace(one)
	case "replace in order":
		one.leave()
		s.run(time.Duration(s.draw.IntN(2000)) * time.Millisecond)
		s.replace(one)
	case "wipe":
		s.wipe(one)
	case "wipe, all others lose power":
		s.wipe(one)
		s.losePower(one)
	}
}

// replace removes a node for good, and adds another at another address at once.
func (s *schedule) replace(one *node) {
	one.kill()
	s.wipedAt = s.clock.Monotonic()
	s.nodes = slices.DeleteFunc(s.nodes, func(other *node) bool { return other == one })
	delete(s.endsAt, one)
	s.made++
	fresh := s.add(fmt.Sprintf("new%d", s.made))
	fresh.start()
	s.lostUntil[fresh] = s.clock.Monotonic() + catchUp
}

func (s *schedule) wipe(one *node) {
	s.made++
	one.wipe(fmt.Sprintf("disk-%s-%d", one.name, s.made))
	delete(s.endsAt, one)
	s.lostUntil[one] = s.clock.Monotonic() + catchUp
}

// losePower takes away from all nodes, or all but one, what they have not synced; it ends all other troubles.
func (s *schedule) losePower(except *node) {
	s.endTroubles(true)
	for _, one := range s.nodes {
		if one != except {
			one.kill()
		}
	}
	for _, one := range s.nodes {
		if one != except {
			one.start()
			s.lostUntil[one] = s.clock.Monotonic() + catchUp
		}
	}
}

// play lets a world go through its troubles, and then come to rest.
func (s *schedule) play(steps int) {
	s.loss = 0.02
	for range steps {
		s.endTroubles(false)
		if s.draw.IntN(60) == 0 {
			s.struck["all lose power"]++
			s.losePower(nil)
		}
		if s.draw.IntN(3) == 0 {
			s.strike()
		}
		for range 5 {
			s.write()
			s.run(time.Duration(1+s.draw.IntN(40)) * time.Millisecond)
		}
		if len(s.problems) > 0 {
			return
		}
	}
	s.endTroubles(true)
	s.loss = 0
	s.run(8 * time.Second)
}

func (s *schedule) expectRest() {
	GinkgoHelper()
	Expect(s.problems).To(BeEmpty())
	Expect(s.owner()).NotTo(BeNil())
	Expect(s.acked).NotTo(BeEmpty())
	Expect(s.voters()).To(HaveLen(2*s.losses + 1))
	for _, disk := range s.voters() {
		Expect(s.byDisk(disk)).NotTo(BeNil())
		Expect(s.holdsAll(s.byDisk(disk))).To(BeTrue())
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
				s := newSchedule(shape.losses, 2000+seed, shape.names...)
				s.run(3 * time.Second)
				s.play(150)
				By(fmt.Sprintf("seed %d, troubles %v", seed, s.struck))
				s.expectRest()
			}
		})
	}
})
