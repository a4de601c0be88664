package placement_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/scheduling/placement"
)

var _ = Describe("the queue order", func() {
	// with returns a group of one task, which change adjusts unless it is nil.
	with := func(priority int, deadline placement.DeadlineClass, change func(*placement.Group)) *placement.Group {
		created := group(1, 10)
		created.Priority, created.Deadline, created.RemainingTenths = priority, deadline, 10
		if change != nil {
			change(created)
		}
		return created
	}
	isLong := func(changed *placement.Group) { changed.IsLong = true }
	// winner returns the index of the group that gets the only free executor.
	winner := func(groups ...*placement.Group) int {
		placed := placement.PlaceInAnyOrder(executors(1, 10), groups, placement.Limits{})
		Expect(placed).To(HaveLen(1))
		return placed[0].Group
	}

	It("places on-time work before late work of a more urgent priority", func() {
		Expect(winner(with(0, placement.Late, nil), with(2, placement.OnTime, nil))).To(Equal(1))
	})

	It("places long on-time work after late work of a more urgent priority, unless its own priority is the most urgent", func() {
		Expect(winner(with(1, placement.OnTime, isLong), with(0, placement.Late, nil))).To(Equal(1))
		Expect(winner(with(1, placement.Late, nil), with(1, placement.OnTime, isLong))).To(Equal(1))
		Expect(winner(with(1, placement.OnTime, nil), with(0, placement.OnTime, isLong))).To(Equal(1))
	})

	It("places expired work last, oldest first, regardless of priority", func() {
		older := func(changed *placement.Group) { changed.Due = -1 }
		Expect(winner(with(0, placement.Expired, nil), with(2, placement.Late, isLong))).To(Equal(1))
		Expect(winner(with(0, placement.Expired, nil), with(2, placement.Expired, older))).To(Equal(1))
	})

	It("places started jobs before unstarted ones that are due earlier, within a priority", func() {
		begun := func(changed *placement.Group) { changed.RemainingTenths, changed.Due = 9, 5 }
		Expect(winner(with(1, placement.OnTime, nil), with(1, placement.OnTime, begun))).To(Equal(1))
		Expect(winner(with(0, placement.OnTime, nil), with(1, placement.OnTime, begun))).To(Equal(0))
	})
})

var _ = Describe("a share of the capacity", func() {
	urgent := func() *placement.Group {
		created := group(10, 10)
		created.RemainingTenths = 10
		return created
	}
	// lower returns a group of a less urgent priority.
	lower := func(count int, cpu int64) *placement.Group {
		created := group(count, cpu)
		created.Priority, created.RemainingTenths, created.Due = 1, 10, 1
		return created
	}
	share := placement.Share{Priority: 1, Deadline: placement.OnTime, Resources: placement.Resources{CPU: 15, Memory: 1000}, Reservations: 1}

	It("is placed before more urgent groups, and is exceeded by at most one run", func() {
		placed := placement.PlaceInAnyOrder(executors(5, 10), []*placement.Group{urgent(), lower(5, 10)}, placement.Limits{Shares: []placement.Share{share}})
		Expect(placed).To(HaveLen(5))
		for index, start := range placed {
			Expect(start.Group == 1).To(Equal(index < 2), "%v", placed)
			Expect(start.IsFromShare).To(Equal(index < 2), "%v", placed)
		}
	})

	It("skips groups that can wait", func() {
		deferrable, prompt := lower(1, 10), lower(1, 10)
		deferrable.CanWait, prompt.Due = true, 2
		placed := placement.PlaceInAnyOrder(executors(1, 10), []*placement.Group{urgent(), deferrable, prompt}, placement.Limits{Shares: []placement.Share{share}})
		Expect(placed).To(HaveLen(1))
		Expect(placed[0].Group).To(Equal(2))
	})

	It("reserves an executor for a large task that finds none, up to its limit of reservations", func() {
		all := executors(3, 10)
		for index := range all {
			all[index].Free.CPU = 6
		}
		small := urgent()
		small.Need.CPU = 5
		placed := placement.PlaceInAnyOrder(all, []*placement.Group{small, lower(1, 10), lower(1, 10)}, placement.Limits{Shares: []placement.Share{share}})
		Expect(placed).To(HaveLen(2))
	})

	It("respects labels and anti-affinity, also together with the pass over the whole queue", func() {
		spread := lower(9, 1)
		spread.AntiAffinity, spread.Labels = 1, []string{"r0"}
		placed := placement.PlaceInAnyOrder(executors(4, 10), []*placement.Group{spread}, placement.Limits{Shares: []placement.Share{
			{Priority: 1, Deadline: placement.OnTime, Resources: placement.Resources{CPU: 1, Memory: 1000}}}})
		Expect(placed).To(HaveLen(2))
		Expect(placed[0].Executor).NotTo(Equal(placed[1].Executor))
	})
})
