package balancer_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/gate/balancer"
	"gannetline/internal/platform/clock"
)

const service = "s"

func executors(count int, zones ...string) []wire.ExecutorRecord {
	var all []wire.ExecutorRecord
	for number := range count {
		all = append(all, wire.ExecutorRecord{ID: fmt.Sprintf("i-%02d", number), Service: service, Address: "a", Zone: zones[number%len(zones)], Slots: 4})
	}
	return all
}

var _ = It("chooses no executor of a zone that is to be emptied", func() {
	evacuated := "near"
	choice := balancer.New("near", clock.NewFake(0), balancer.WithEvacuations(func(zone string) bool { return zone == evacuated }))
	choice.Update([]wire.ExecutorRecord{{ID: "n", Service: "s", Zone: "near", Slots: 1}, {ID: "f", Service: "s", Zone: "far", Slots: 1}})
	Expect(choice.Choose("s", "", nil).ID).To(Equal("f"))
	Expect(choice.Choose("s", "", []string{"f"})).To(BeNil())
	evacuated = ""
	Expect(choice.Choose("s", "", nil).ID).To(Equal("n"))
})

var _ = Describe("the choice of an executor", func() {
	var now *clock.Fake
	var choice *balancer.Balancer
	BeforeEach(func() {
		now = clock.NewFake(1_000_000)
		now.Advance(time.Minute)
		choice = balancer.New("near", now)
	})

	It("is the same pair for one shared prompt, at every gate, and spreads over all for many", func() {
		other := balancer.New("near", now)
		choice.Update(executors(12, "near"))
		other.Update(executors(12, "near"))
		chosen := map[string]int{}
		for number := range 600 {
			affinity := fmt.Sprintf("%08x:300", number*2654435761)
			first := choice.Choose(service, affinity, nil)
			Expect(other.Choose(service, affinity, nil).ID).To(Equal(first.ID))
			chosen[first.ID]++
		}
		Expect(chosen).To(HaveLen(12))
		for id, count := range chosen {
			Expect(count).To(BeNumerically("<", 120), id)
		}
	})

	It("goes to the less loaded of the pair, by its own requests and by what executors tell for a while", func() {
		choice.Update(executors(8, "near"))
		first := choice.Choose(service, "p", nil)
		first.RecordStart(now.Monotonic())
		second := choice.Choose(service, "p", nil)
		Expect(second.ID).NotTo(Equal(first.ID))
		first.RecordEnd()
		Expect(choice.Choose(service, "p", nil).ID).To(Equal(first.ID))
		first.RecordLoad(3, 0, now.Monotonic())
		Expect(choice.Choose(service, "p", nil).ID).To(Equal(second.ID))
		now.Advance(time.Second)
		Expect(choice.Choose(service, "p", nil).ID).To(Equal(first.ID))
	})

	It("prefers the own zone until its candidates are full, and takes the least loaded of all where every candidate is", func() {
		choice.Update(executors(8, "near", "far"))
		for range 2 {
			executor := choice.Choose(service, "p", nil)
			Expect(executor.Zone).To(Equal("near"))
			executor.RecordLoad(4, 0, now.Monotonic())
		}
		Expect(choice.Choose(service, "p", nil).Zone).To(Equal("far"))
	})

	It("leaves out draining and excluded executors, and those that failed again and again unless there is no other", func() {
		records := executors(3, "near")
		records[0].IsDraining = true
		choice.Update(records)
		Expect(choice.Choose(service, "p", []string{"i-01"}).ID).To(Equal("i-02"))
		failing := choice.Choose(service, "p", []string{"i-01"})
		failing.RecordFailure(now.Monotonic())
		failing.RecordSuccess()
		failing.RecordFailure(now.Monotonic())
		Expect(choice.Choose(service, "p", []string{"i-01"}).ID).To(Equal("i-02"))
		failing.RecordFailure(now.Monotonic())
		Expect(choice.Choose(service, "p", nil).ID).To(Equal("i-01"))
		Expect(choice.Choose(service, "p", []string{"i-01"}).ID).To(Equal("i-02"))
		now.Advance(3 * time.Second)
		failing.RecordSuccess()
		other := choice.Choose(service, "p", []string{"i-02"})
		other.RecordStart(now.Monotonic())
		Expect(choice.Choose(service, "p", nil).ID).To(Equal("i-02"))
		Expect(choice.Choose("unknown", "p", nil)).To(BeNil())
	})

	It("prefers others to an executor that has requests and answers nothing, until it answers one of them", func() {
		choice.Update(executors(2, "near"))
		dark := choice.Choose(service, "p", nil)
		dark.RecordStart(now.Monotonic())
		other := choice.Choose(service, "p", []string{dark.ID})
		for range 2 {
			other.RecordStart(now.Monotonic())
		}
		Expect(other.ID).NotTo(Equal(dark.ID))
		now.Advance(500 * time.Millisecond)
		other.RecordActivity(now.Monotonic())
		Expect(choice.Choose(service, "p", nil).ID).To(Equal(dark.ID), "the less loaded one")
		now.Advance(time.Millisecond)
		Expect(choice.Choose(service, "p", nil).ID).To(Equal(other.ID))
		dark.RecordActivity(now.Monotonic())
		Expect(choice.Choose(service, "p", nil).ID).To(Equal(dark.ID))
	})

	It("leaves out an executor for a while where a request ended in its silence, and not where it answers others", func() {
		choice.Update(executors(2, "near"))
		dark := choice.Choose(service, "p", nil)
		dark.RecordStart(now.Monotonic())
		now.Advance(2 * time.Second)
		dark.RecordTimeout(now.Monotonic())
		dark.RecordEnd()
		Expect(choice.Choose(service, "p", nil).ID).NotTo(Equal(dark.ID))
		busy := choice.Choose(service, "p", nil)
		busy.RecordStart(now.Monotonic())
		now.Advance(2 * time.Second)
		busy.RecordActivity(now.Monotonic())
		busy.RecordTimeout(now.Monotonic())
		busy.RecordEnd()
		Expect(choice.Choose(service, "p", []string{dark.ID}).ID).To(Equal(busy.ID))
		Expect(choice.Choose(service, "p", nil)).NotTo(BeNil())
	})

	It("leaves out an executor that gave no whole answer at once, for a shorter time", func() {
		choice.Update(executors(2, "near"))
		first := choice.Choose(service, "p", nil)
		first.RecordUnreachable(now.Monotonic())
		Expect(choice.Choose(service, "p", nil).ID).NotTo(Equal(first.ID))
		now.Advance(time.Second)
		Expect(choice.Choose(service, "p", nil).ID).To(Equal(first.ID))
	})

	It("keeps what it knows of executors that stay in the list", func() {
		choice.Update(executors(2, "near"))
		busy := choice.Choose(service, "p", nil)
		busy.RecordStart(now.Monotonic())
		choice.Update(executors(4, "near"))
		Expect(choice.Choose(service, "p", nil).ID).NotTo(Equal(busy.ID))
		Expect(choice.HasExecutors()).To(BeTrue())
		choice.Update(nil)
		Expect(choice.HasExecutors()).To(BeFalse())
	})
})
