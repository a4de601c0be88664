package placement_test

import (
	"fmt"
	"maps"
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/scheduling/placement"
)

// executors returns empty executors with the same capacity, two on each rack.
func executors(count int, cpu int64) []placement.Executor {
	var all []placement.Executor
	for number := range count {
		rack := fmt.Sprintf("r%d", number/2)
		capacity := placement.Resources{CPU: cpu, Memory: 1000}
		all = append(all, placement.Executor{Free: capacity, Total: capacity, Labels: []string{"a", rack}, Rack: rack})
	}
	return all
}

// group returns a group of tasks that need only CPU.
func group(count int, cpu int64) *placement.Group {
	return &placement.Group{Need: placement.Resources{CPU: cpu}, Count: count}
}

var _ = Describe("placement", func() {
	It("keeps a task near its data if locality is required, and reserves no executor elsewhere", func() {
		near, large := group(3, 10), group(1, 10)
		near.Locality, near.IsLocalityRequired, large.Due = []string{"r0"}, true, 1
		placed := placement.PlaceInAnyOrder(executors(4, 10), []*placement.Group{near, large}, placement.Limits{})
		Expect(placed).To(Equal([]placement.Placement{{Group: 0, Executor: 0}, {Group: 0, Executor: 1}, {Group: 1, Executor: 2}}))
		near.IsLocalityRequired = false
		Expect(placement.PlaceInAnyOrder(executors(4, 10), []*placement.Group{near, large}, placement.Limits{})).To(HaveLen(4))
	})

	It("places on-time work before late work, and expired work last", func() {
		late, soon := group(1, 10), group(1, 10)
		late.Deadline, late.Due, soon.Due = placement.Late, 1, 2
		Expect(placement.PlaceInAnyOrder(executors(1, 10), []*placement.Group{late, soon}, placement.Limits{})).To(Equal([]placement.Placement{{Group: 1, Executor: 0}}))
		expired, lower := group(1, 10), group(1, 10)
		expired.Deadline, lower.Priority = placement.Expired, 2
		Expect(placement.PlaceInAnyOrder(executors(1, 10), []*placement.Group{expired, lower}, placement.Limits{})).To(Equal([]placement.Placement{{Group: 1, Executor: 0}}))
	})

	It("orders by priority, then by due time", func() {
		late, soon, urgent := group(1, 10), group(1, 10), group(1, 10)
		late.Priority, late.Due = 1, 200
		soon.Priority, soon.Due = 1, 100
		urgent.Due = 900
		placed := placement.PlaceInAnyOrder(executors(1, 20), []*placement.Group{late, soon, urgent}, placement.Limits{})
		Expect(placed).To(Equal([]placement.Placement{{Group: 2, Executor: 0}, {Group: 1, Executor: 0}}))
	})

	It("prefers the rack of the data, and uses another rack when that is full", func() {
		near := group(3, 10)
		near.Locality = []string{"r1"}
		placed := placement.PlaceInAnyOrder(executors(4, 10), []*placement.Group{near}, placement.Limits{})
		Expect(placed).To(HaveLen(3))
		Expect([]int{placed[0].Executor, placed[1].Executor}).To(ConsistOf(2, 3))
	})

	It("places a gang completely or not at all, on one rack if it fits there", func() {
		gang := group(3, 10)
		gang.IsGang, gang.SameRack = true, true
		placed := placement.PlaceInAnyOrder(executors(4, 20), []*placement.Group{gang}, placement.Limits{})
		Expect(placed).To(HaveLen(3))
		for _, start := range placed {
			Expect(start.Executor / 2).To(Equal(placed[0].Executor / 2))
		}
		gang.Count = 9
		Expect(placement.PlaceInAnyOrder(executors(4, 20), []*placement.Group{gang}, placement.Limits{})).To(BeEmpty())
	})

	It("reserves an executor for a large task that would starve behind small ones", func() {
		large, small := group(1, 18), group(5, 4)
		small.Due = 5
		all := executors(2, 20)
		all[0].Free.CPU, all[1].Free.CPU = 8, 12
		placed := placement.PlaceInAnyOrder(all, []*placement.Group{large, small}, placement.Limits{})
		for _, start := range placed {
			Expect(start.Executor).To(Equal(0))
		}
	})

	It("limits long work of a priority to its remaining capacity, and not short work", func() {
		long, short := group(4, 10), group(1, 10)
		long.Priority, long.IsLong, short.Priority = 2, true, 2
		remaining := map[int]placement.Resources{2: {CPU: 20, Memory: 1000}}
		placed := placement.PlaceInAnyOrder(executors(2, 20), []*placement.Group{long}, placement.Limits{Remaining: remaining})
		Expect(placed).To(HaveLen(2))
		remaining = map[int]placement.Resources{2: {}}
		Expect(placement.PlaceInAnyOrder(executors(2, 20), []*placement.Group{short}, placement.Limits{Remaining: remaining})).To(HaveLen(1))
	})

	It("places a speculative run on another executor, and only on spare capacity", func() {
		speculative, first := group(1, 10), group(1, 10)
		speculative.IsSpeculative, speculative.Excluded = true, []bool{true}
		first.Priority = 3
		Expect(placement.PlaceInAnyOrder(executors(1, 20), []*placement.Group{speculative}, placement.Limits{})).To(BeEmpty())
		placed := placement.PlaceInAnyOrder(executors(1, 10), []*placement.Group{speculative, first}, placement.Limits{})
		Expect(placed).To(Equal([]placement.Placement{{Group: 1, Executor: 0}}))
	})

	It("respects capacity, labels and anti-affinity for random groups", func() {
		draw := rand.New(rand.NewPCG(5, 5))
		for range 2000 {
			all := executors(1+draw.IntN(6), 20)
			for index := range all {
				all[index].Free.CPU = int64(draw.IntN(21))
				all[index].IsUnschedulable = draw.IntN(5) == 0
			}
			var groups []*placement.Group
			for range draw.IntN(6) {
				drawn := group(1+draw.IntN(8), int64(draw.IntN(22)))
				drawn.AntiAffinity, drawn.Priority, drawn.IsGang = draw.IntN(3), draw.IntN(3), draw.IntN(4) == 0
				if draw.IntN(3) == 0 {
					drawn.Labels = []string{"r0"}
				}
				groups = append(groups, drawn)
			}
			used, runs := map[int]int64{}, map[placement.Placement]int{}
			counts := map[int]int{}
			for _, start := range placement.PlaceInAnyOrder(all, groups, placement.Limits{}) {
				used[start.Executor] += groups[start.Group].Need.CPU
				runs[start]++
				counts[start.Group]++
				Expect(all[start.Executor].IsUnschedulable).To(BeFalse())
				if groups[start.Group].Labels != nil {
					Expect(all[start.Executor].Rack).To(Equal("r0"))
				}
				if limit := groups[start.Group].AntiAffinity; limit > 0 {
					Expect(runs[start]).To(BeNumerically("<=", limit))
				}
			}
			for index, cpu := range used {
				Expect(cpu).To(BeNumerically("<=", all[index].Free.CPU))
			}
			for number, count := range counts {
				Expect(count).To(BeNumerically("<=", groups[number].Count))
				if groups[number].IsGang {
					Expect(count).To(Equal(groups[number].Count))
				}
			}
		}
	})

	It("reserves no executor for a large task that can't use it", func() {
		all := executors(2, 10)
		all[1].Free.CPU = 5
		large, small := group(1, 10), group(3, 5)
		large.Labels, small.Due = []string{"r1"}, 1
		placed := placement.PlaceInAnyOrder(all, []*placement.Group{large, small}, placement.Limits{})
		Expect(placed).To(HaveLen(3))
	})

	It("places the same tasks on the same executors as the reference implementation", func() {
		draw := rand.New(rand.NewPCG(7, 7))
		starts := 0
		for range 4000 {
			all, groups, remaining := drawPlacement(draw)
			for _, group := range groups {
				group.IsLasting = draw.IntN(6) == 0
			}
			remainingOfReference, firstRunCPU, shares := maps.Clone(remaining), max(0, int64(draw.IntN(400))-200), drawShares(draw)
			placed := placement.PlaceInAnyOrder(all, groups, placement.Limits{Remaining: remaining, FirstRunCPU: firstRunCPU, Shares: shares})
			Expect(placed).To(Equal(placement.PlaceByReference(all, groups, placement.Limits{Remaining: remainingOfReference, FirstRunCPU: firstRunCPU, Shares: shares})))
			Expect(remaining).To(Equal(remainingOfReference))
			starts += len(placed)
		}
		Expect(starts).To(BeNumerically(">", 10000))
	})
})

// drawPlacement generates executors, groups and, in half of the cases, the remaining capacity of some priorities.
func drawPlacement(draw *rand.Rand) ([]placement.Executor, []*placement.Group, map[int]placement.Resources) {
	all := executors(1+draw.IntN(12), 20)
	for index := range all {
		executor := &all[index]
		executor.Total = placement.Resources{CPU: 10 + int64(draw.IntN(3))*10, Memory: 1000, GPU: int64(draw.IntN(2))}
		executor.Free = placement.Resources{CPU: int64(draw.IntN(int(executor.Total.CPU)+4)) - 3, Memory: int64(draw.IntN(1000)), GPU: executor.Total.GPU}
		executor.IsUnschedulable, executor.Penalty = draw.IntN(5) == 0, float64(draw.IntN(3))/10
		if draw.IntN(5) == 0 {
			executor.RunLimit = []int{1, 2, placement.NoRuns}[draw.IntN(3)]
		}
		if draw.IntN(3) == 0 {
			executor.Labels = append([]string{"b"}, executor.Labels...)
		}
	}
	var groups []*placement.Group
	for range draw.IntN(14) {
		groups = append(groups, drawGroup(draw, len(all)))
	}
	if draw.IntN(2) == 0 {
		return all, groups, nil
	}
	return all, groups, map[int]placement.Resources{1: {CPU: int64(draw.IntN(60)), Memory: 3000}, 2: {CPU: int64(draw.IntN(30)), Memory: 900},
		placement.Background: {CPU: int64(draw.IntN(30)), Memory: 900}}
}

// drawShares generates up to three small shares.
func drawShares(draw *rand.Rand) []placement.Share {
	var shares []placement.Share
	for range draw.IntN(4) {
		shares = append(shares, placement.Share{Priority: draw.IntN(3), Deadline: placement.DeadlineClass(draw.IntN(3)),
			Resources: placement.Resources{CPU: int64(draw.IntN(40)), Memory: int64(draw.IntN(900))}, Reservations: draw.IntN(3)})
	}
	return shares
}

// drawGroup generates a group for a number of executors.
func drawGroup(draw *rand.Rand, executors int) *placement.Group {
	drawn := group(1+draw.IntN(8), int64(draw.IntN(14)))
	drawn.Need.Memory, drawn.Need.GPU = int64(draw.IntN(400)), int64(draw.IntN(8)/7)
	drawn.Priority, drawn.Due, drawn.IsLong = draw.IntN(3), int64(draw.IntN(5)), draw.IntN(3) == 0
	drawn.Deadline, drawn.RemainingTenths, drawn.CanWait = placement.DeadlineClass(draw.IntN(4)%3), 1+draw.IntN(3), draw.IntN(3) == 0
	drawn.IsGang, drawn.SameRack, drawn.IsIdle = draw.IntN(5) == 0, draw.IntN(2) == 0, draw.IntN(2) == 0
	if draw.IntN(3) == 0 {
		drawn.AntiAffinity, drawn.RunsByExecutor = 1+draw.IntN(2), map[int]int{draw.IntN(executors): 1, draw.IntN(executors): 2}
	}
	if draw.IntN(4) == 0 {
		drawn.Avoided = []int{draw.IntN(executors)}
	}
	if draw.IntN(5) == 0 {
		drawn.Count, drawn.IsGang, drawn.IsSpeculative, drawn.ExcludedIndices = 1, false, true, []int{draw.IntN(executors)}
	}
	if draw.IntN(6) == 0 {
		drawn.Excluded = make([]bool, executors)
		drawn.Excluded[draw.IntN(executors)] = true
	}
	switch draw.IntN(8) {
	case 0:
		drawn.Labels = []string{"b"}
	case 1:
		drawn.Labels = []string{"a", "r1"}
	case 2:
		drawn.Locality, drawn.IsLocalityRequired = []string{"r0"}, draw.IntN(2) == 0
	}
	return drawn
}
