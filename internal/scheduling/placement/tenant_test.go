package placement_test

import (
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/scheduling/placement"
)

var _ = Describe("tenants", func() {
	capacity := placement.Resources{CPU: 16000, Memory: 16000}
	unit := placement.Resources{CPU: 1000, Memory: 1000}
	executors := func(count int) []placement.Executor {
		list := make([]placement.Executor, count)
		for index := range list {
			list[index] = placement.Executor{Free: capacity, Total: capacity}
		}
		return list
	}
	limited := func(cpu int64) placement.Tenant {
		limit := placement.NoLimit
		limit.CPU = cpu
		return placement.Tenant{Limit: limit, LongLimit: placement.NoLimit, Share: placement.NoLimit}
	}
	// startsOf counts the placements of each tenant.
	startsOf := func(groups []*placement.Group, placed []placement.Placement) map[int]int {
		counts := map[int]int{}
		for _, start := range placed {
			counts[groups[start.Group].Tenant]++
		}
		return counts
	}
	place := func(groups []*placement.Group, tenants ...placement.Tenant) map[int]int {
		limits := placement.Limits{FirstRunCPU: 1 << 40, Tenants: append([]placement.Tenant{{}}, tenants...)}
		return startsOf(groups, placement.PlaceInAnyOrder(executors(2), groups, limits))
	}

	It("stay within their limits while capacity is free, and leave the rest to others", func() {
		groups := []*placement.Group{{Need: unit, Count: 20, Tenant: 1, IsIdle: true}, {Need: unit, Count: 20, Tenant: 2, Due: 1}, {Need: unit, Count: 3, Due: 2}}
		Expect(place(groups, limited(4000), limited(6500))).To(Equal(map[int]int{1: 4, 2: 6, 0: 3}))
	})

	It("exceed their limit with one oversized run if half of the limit is free and no other pool starts runs under it", func() {
		sole := limited(4500)
		sole.MayOvershoot = true
		Expect(place([]*placement.Group{{Need: unit, Count: 20, Tenant: 1}}, sole)).To(Equal(map[int]int{1: 4}))
		large := []*placement.Group{{Need: unit.Times(3), Count: 9, Tenant: 1}}
		sole.Allocated = unit.Times(2)
		Expect(place(large, sole)).To(Equal(map[int]int{1: 1}))
		sole.Allocated = unit.Times(3)
		Expect(place(large, sole)).To(BeEmpty())
		tiny := limited(500)
		Expect(place(large, tiny)).To(BeEmpty())
		tiny.MayOvershoot = true
		Expect(place(large, tiny)).To(Equal(map[int]int{1: 1}))
	})

	It("leave free within their limit what is reserved, except for work that is as large", func() {
		reserving := limited(5000)
		reserving.Reserved = unit.Times(3)
		small, large := &placement.Group{Need: unit, Count: 20, Tenant: 1}, &placement.Group{Need: unit.Times(3), Count: 9, Tenant: 1, Due: 1}
		Expect(place([]*placement.Group{small}, reserving)).To(Equal(map[int]int{1: 2}))
		Expect(place([]*placement.Group{large}, reserving)).To(Equal(map[int]int{1: 1}))
		reserving.Reserved = unit.Times(6)
		Expect(place([]*placement.Group{small, large}, reserving)).To(BeEmpty())
		gang := &placement.Group{Need: unit, Count: 5, IsGang: true, Tenant: 1}
		reserving.Reserved = unit.Times(5)
		Expect(place([]*placement.Group{small, gang}, reserving)).To(Equal(map[int]int{1: 5}))
	})

	It("have room for a group on the executors that it may use", func() {
		group := &placement.Group{Need: unit.Times(10), Count: 3}
		Expect(placement.HasRoom(executors(1), group)).To(BeTrue())
		group.IsGang = true
		Expect(placement.HasRoom(executors(2), group)).To(BeFalse())
		Expect(placement.HasRoom(executors(3), group)).To(BeTrue())
		group.ExcludedIndices = []int{1}
		Expect(placement.HasRoom(executors(3), group)).To(BeFalse())
		closed := executors(1)
		closed[0].IsUnschedulable = true
		Expect(placement.HasRoom(closed, &placement.Group{Need: unit, Count: 1})).To(BeFalse())
	})

	It("start a gang completely within the limit or not at all", func() {
		gang := []*placement.Group{{Need: unit, Count: 5, IsGang: true, Tenant: 1, IsIdle: true}}
		Expect(place(gang, limited(4000))).To(BeEmpty())
		Expect(place(gang, limited(5000))).To(Equal(map[int]int{1: 5}))
	})

	It("release the usage of a gang that could not be placed", func() {
		groups := []*placement.Group{{Need: unit, Count: 3, IsGang: true, AntiAffinity: 1, Tenant: 1}, {Need: unit, Count: 9, Tenant: 1, Due: 1}}
		Expect(place(groups, limited(4000))).To(Equal(map[int]int{1: 4}))
	})

	It("leave capacity within their limit for urgent work, unless none of their long work runs", func() {
		tenant := limited(10000)
		tenant.Allocated, tenant.LongAllocated = unit.Times(4), unit.Times(4)
		tenant.LongLimit.CPU = 6000
		long := []*placement.Group{{Need: unit, Count: 20, Tenant: 1, IsLong: true, Priority: 2}}
		Expect(place(long, tenant)).To(Equal(map[int]int{1: 3}))
		tenant.Allocated, tenant.LongAllocated = placement.Resources{}, placement.Resources{}
		gang := []*placement.Group{{Need: unit, Count: 9, IsGang: true, Tenant: 1, IsLong: true, Priority: 2}}
		Expect(place(gang, tenant)).To(Equal(map[int]int{1: 9}))
	})

	It("that have more than their share are placed after the others, on spare capacity", func() {
		aboveShare, withinShare := limited(placement.Unlimited), limited(placement.Unlimited)
		aboveShare.Share, withinShare.Share = unit.Times(16), unit.Times(16)
		aboveShare.Allocated, aboveShare.IsAboveShare = unit.Times(20), true
		groups := []*placement.Group{{Need: unit, Count: 40, Tenant: 1}, {Need: unit, Count: 10, Tenant: 2, Due: 1}}
		Expect(place(groups, aboveShare, withinShare)).To(Equal(map[int]int{2: 10, 1: 22}))
	})

	It("never exceed a limit, and are never denied free capacity within it, on random fleets", func() {
		random := rand.New(rand.NewPCG(19, 1))
		for range 300 {
			var groups []*placement.Group
			for index := range 1 + random.IntN(8) {
				groups = append(groups, &placement.Group{Need: unit.Times(float64(1 + random.IntN(3))), Count: 1 + random.IntN(12), Tenant: random.IntN(4),
					IsGang: random.IntN(4) == 0, Due: int64(index), IsIdle: random.IntN(2) == 0})
			}
			tenants := []placement.Tenant{limited(1000 * int64(random.IntN(20))), limited(1000 * int64(random.IntN(20))), limited(placement.Unlimited)}
			for index := range tenants {
				tenants[index].IsAboveShare = random.IntN(2) == 0
			}
			fleet, limits := executors(1+random.IntN(3)), placement.Limits{FirstRunCPU: 1 << 40, Tenants: append([]placement.Tenant{{}}, tenants...)}
			placed := placement.PlaceInAnyOrder(fleet, groups, limits)
			taken, started := map[int]int64{}, map[int]int{}
			var used int64
			for _, start := range placed {
				group := groups[start.Group]
				taken[group.Tenant] += group.Need.CPU
				started[start.Group]++
				used += group.Need.CPU
			}
			for index, tenant := range tenants {
				Expect(taken[index+1]).To(BeNumerically("<=", tenant.Limit.CPU))
			}
			for number, group := range groups {
				Expect(started[number]).To(BeNumerically("<=", group.Count))
				isLimited := group.Tenant > 0 && taken[group.Tenant]+group.Need.CPU > tenants[group.Tenant-1].Limit.CPU
				hasCapacity := used+int64(len(fleet))*group.Need.CPU <= int64(len(fleet))*capacity.CPU
				if !group.IsGang && !isLimited && hasCapacity {
					Expect(started[number]).To(Equal(group.Count))
				}
			}
		}
	})
})
