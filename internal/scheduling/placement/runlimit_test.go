package placement_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/scheduling/placement"
)

var _ = Describe("an executor with a run limit", func() {
	capacity := placement.Resources{CPU: 16000, Memory: 16000}
	need := placement.Resources{CPU: 1000, Memory: 1000}
	executors := func() []placement.Executor {
		return []placement.Executor{{Free: capacity, Total: capacity, RunLimit: 2}, {Free: capacity, Total: capacity, Penalty: 1}}
	}
	// countOn counts the placements on an executor.
	countOn := func(placed []placement.Placement, executor int) (count int) {
		for _, start := range placed {
			if start.Executor == executor {
				count++
			}
		}
		return count
	}

	It("gets no more runs in one round than its limit, over all steps and gangs", func() {
		groups := []*placement.Group{
			{Need: need, Count: 1},
			{Need: need, Count: 3, IsGang: true, Due: 1},
			{Need: need, Count: 5, Due: 2},
			{Count: 5, Due: 3},
		}
		placed := placement.PlaceInAnyOrder(executors(), groups, placement.Limits{})
		Expect(placed).To(HaveLen(14))
		Expect(countOn(placed, 0)).To(Equal(2))
	})

	It("does not count the members of a gang that was not placed", func() {
		groups := []*placement.Group{
			{Need: need, Count: 3, IsGang: true, AntiAffinity: 1},
			{Need: need, Count: 2, Due: 1},
		}
		placed := placement.PlaceInAnyOrder(executors(), groups, placement.Limits{})
		Expect(countOn(placed, 0)).To(Equal(2))
	})

	It("counts the members of a placed gang against later groups", func() {
		fleet := executors()
		fleet[0].RunLimit = 3
		groups := []*placement.Group{
			{Need: need, Count: 1},
			{Need: need, Count: 2, IsGang: true, AntiAffinity: 1, Due: 1},
			{Need: need, Count: 5, Due: 2},
		}
		Expect(countOn(placement.PlaceInAnyOrder(fleet, groups, placement.Limits{}), 0)).To(Equal(3))
	})
})
