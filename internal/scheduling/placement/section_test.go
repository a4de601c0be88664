package placement_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/scheduling/placement"
)

var _ = Describe("the order of the queue", func() {
	with := func(priority int, deadline placement.DeadlineClass, change func(*placement.Group)) *placement.Group {
		one := group(1, 10)
		one.Priority, one.Deadline, one.RemainingTenths = priority, deadline, 10
		if change != nil {
			change(one)
		}
		return one
	}
	isLong := func(one *placement.Group) { one.IsLong = true }
	// winner is the one that gets the only place there is.
	winner := func(groups ...*placement.Group) int {
		placed := placement.PlaceInAnyOrder(executors(1, 10), groups, placement.Limits{})
		Expect(placed).To(HaveLen(1))
		return placed[0].Group
	}

	It("puts work that is on time before late work of a more urgent queue", func() {
		Expect(winner(with(0, placement.Late, nil), with(2, placement.OnTime, nil))).To(Equal(1))
	})

	It("does not let long work pass late work of a more urgent queue, unless it is of the most urgent itself", func() {
		Expect(winner(with(1, placement.OnTime, isLong), with(0, placement.Late, nil))).To(Equal(1))
		Expect(winner(with(1, placement.Late, nil), with(1, placement.OnTime, isLong))).To(Equal(1))
		Expect(winner(with(1, placement.OnTime, nil), with(0, placement.OnTime, isLong))).To(Equal(1))
	})

	It("puts expired work last, the oldest first, whatever its priority", func() {
		older := func(one *placement.Group) { one.Due = -1 }
		Expect(winner(with(0, placement.Expired, nil), with(2, placement.Late, isLong))).To(Equal(1))
		Expect(winner(with(0, placement.Expired, nil), with(2, placement.Expired, older))).To(Equal(1))
	})

	It("finishes what has been begun before it begins anything that is due earlier", func() {
		begun := func(one *placement.Group) { one.RemainingTenths, one.Due = 9, 5 }
		Expect(winner(with(1, placement.OnTime, nil), with(1, placement.OnTime, begun))).To(Equal(1))
		Expect(winner(with(0, placement.OnTime, nil), with(1, placement.OnTime, begun))).To(Equal(0))
	})
})

var _ = Describe("a share of the capacity", func() {
	urgent := func() *placement.Group {
		one := group(10, 10)
		one.RemainingTenths = 10
		return one
	}
	lower := func(count int, cpu int64) *placement.Group {
		one := group(count, cpu)
		one.Priority, one.RemainingTenths, one.Due = 1, 10, 1
		return one
	}
	share := placement.Share{Priority: 1, Deadline: placement.OnTime, Resources: placement.Resources{CPU: 15, Memory: 1000}, Reservations: 1}

	It("goes to its part of the queue before all that is more urgent, and no further than one run beyond it", func() {
		placed := placement.PlaceInAnyOrder(executors(5, 10), []*placement.Group{urgent(), lower(5, 10)}, placement.Limits{Shares: []placement.Share{share}})
		Expect(placed).To(HaveLen(5))
		for index, one := range placed {
			Expect(one.Group == 1).To(Equal(index < 2), "%v", placed)
			Expect(one.IsFromShare).To(Equal(index < 2), "%v", placed)
		}
	})

	It("passes over what can wait", func() {
		patient, pressed := lower(1, 10), lower(1, 10)
		patient.CanWait, pressed.Due = true, 2
		placed := placement.PlaceInAnyOrder(executors(1, 10), []*placement.Group{urgent(), patient, pressed}, placement.Limits{Shares: []placement.Share{share}})
		Expect(placed).To(HaveLen(1))
		Expect(placed[0].Group).To(Equal(2))
	})

	It("reserves an executor for a large task that finds none, and no more than it may", func() {
		all := executors(3, 10)
		for index := range all {
			all[index].Free.CPU = 6
		}
		small := urgent()
		small.Need.CPU = 5
		placed := placement.PlaceInAnyOrder(all, []*placement.Group{small, lower(1, 10), lower(1, 10)}, placement.Limits{Shares: []placement.Share{share}})
		Expect(placed).To(HaveLen(2))
	})

	It("is bound by labels and anti-affinity as all else is, over both its passes", func() {
		apart := lower(9, 1)
		apart.AntiAffinity, apart.Labels = 1, []string{"r0"}
		placed := placement.PlaceInAnyOrder(executors(4, 10), []*placement.Group{apart}, placement.Limits{Shares: []placement.Share{
			{Priority: 1, Deadline: placement.OnTime, Resources: placement.Resources{CPU: 1, Memory: 1000}}}})
		Expect(placed).To(HaveLen(2))
		Expect(placed[0].Executor).NotTo(Equal(placed[1].Executor))
	})
})
