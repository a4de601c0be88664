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

// executors returns the records of a number of executors, which are spread evenly over the zones.
func executors(count int, zones ...string) []wire.ExecutorRecord {
	var all []wire.ExecutorRecord
	for number := range count {
		all = append(all, wire.ExecutorRecord{ID: fmt.Sprintf("i-%02d", number), Service: service, Address: "a", Zone: zones[number%len(zones)], Slots: 4})
	}
	return all
}

var _ = It("does not choose an executor of an evacuated zone", func() {
	evacuated := "near"
	picker := balancer.New("near", clock.NewFake(0), balancer.WithEvacuations(func(zone string) bool { return zone == evacuated }))
	picker.Update([]wire.ExecutorRecord{{ID: "n", Service: "s", Zone: "near", Slots: 1}, {ID: "f", Service: "s", Zone: "far", Slots: 1}})
	Expect(picker.Choose("s", "", nil).ID).To(Equal("f"))
	Expect(picker.Choose("s", "", []string{"f"})).To(BeNil())
	evacuated = ""
	Expect(picker.Choose("s", "", nil).ID).To(Equal("n"))
})

var _ = Describe("Choose", func() {
	var fakeClock *clock.Fake
	var picker *balancer.Balancer
	BeforeEach(func() {
		fakeClock = clock.NewFake(1_000_000)
		fakeClock.Advance(time.Minute)
		picker = balancer.New("near", fakeClock)
	})

	It("returns the same candidate at every gate for one affinity, and spreads many affinities over all executors", func() {
		other := balancer.New("near", fakeClock)
		picker.Update(executors(12, "near"))
		other.Update(executors(12, "near"))
		chosen := map[string]int{}
		for number := range 600 {
			affinity := fmt.Sprintf("%08x:300", number*2654435761)
			first := picker.Choose(service, affinity, nil)
			Expect(other.Choose(service, affinity, nil).ID).To(Equal(first.ID))
			chosen[first.ID]++
		}
		Expect(chosen).To(HaveLen(12))
		for id, count := range chosen {
			Expect(count).To(BeNumerically("<", 120), id)
		}
	})

	It("returns the candidate with less load, by its own requests and by load reports until they expire", func() {
		picker.Update(executors(8, "near"))
		first := picker.Choose(service, "p", nil)
		first.RecordStart(fakeClock.Monotonic())
		second := picker.Choose(service, "p", nil)
		Expect(second.ID).NotTo(Equal(first.ID))
		first.RecordEnd()
		Expect(picker.Choose(service, "p", nil).ID).To(Equal(first.ID))
		first.RecordLoad(3, 0, fakeClock.Monotonic())
		Expect(picker.Choose(service, "p", nil).ID).To(Equal(second.ID))
		fakeClock.Advance(time.Second)
		Expect(picker.Choose(service, "p", nil).ID).To(Equal(first.ID))
	})

	It("prefers its own zone until the candidates there are full", func() {
		picker.Update(executors(8, "near", "far"))
		for range 2 {
			executor := picker.Choose(service, "p", nil)
			Expect(executor.Zone).To(Equal("near"))
			executor.RecordLoad(4, 0, fakeClock.Monotonic())
		}
		Expect(picker.Choose(service, "p", nil).Zone).To(Equal("far"))
	})

	It("leaves out draining and excluded executors, and ejected ones unless there is no other", func() {
		records := executors(3, "near")
		records[0].IsDraining = true
		picker.Update(records)
		Expect(picker.Choose(service, "p", []string{"i-01"}).ID).To(Equal("i-02"))
		failing := picker.Choose(service, "p", []string{"i-01"})
		failing.RecordFailure(fakeClock.Monotonic())
		failing.RecordSuccess()
		failing.RecordFailure(fakeClock.Monotonic())
		Expect(picker.Choose(service, "p", []string{"i-01"}).ID).To(Equal("i-02"))
		failing.RecordFailure(fakeClock.Monotonic())
		Expect(picker.Choose(service, "p", nil).ID).To(Equal("i-01"))
		Expect(picker.Choose(service, "p", []string{"i-01"}).ID).To(Equal("i-02"))
		fakeClock.Advance(3 * time.Second)
		failing.RecordSuccess()
		other := picker.Choose(service, "p", []string{"i-02"})
		other.RecordStart(fakeClock.Monotonic())
		Expect(picker.Choose(service, "p", nil).ID).To(Equal("i-02"))
		Expect(picker.Choose("unknown", "p", nil)).To(BeNil())
	})

	It("avoids an executor that has requests and answers none, until it answers one of them", func() {
		picker.Update(executors(2, "near"))
		silent := picker.Choose(service, "p", nil)
		silent.RecordStart(fakeClock.Monotonic())
		other := picker.Choose(service, "p", []string{silent.ID})
		for range 2 {
			other.RecordStart(fakeClock.Monotonic())
		}
		Expect(other.ID).NotTo(Equal(silent.ID))
		fakeClock.Advance(500 * time.Millisecond)
		other.RecordActivity(fakeClock.Monotonic())
		Expect(picker.Choose(service, "p", nil).ID).To(Equal(silent.ID), "the one with less load")
		fakeClock.Advance(time.Millisecond)
		Expect(picker.Choose(service, "p", nil).ID).To(Equal(other.ID))
		silent.RecordActivity(fakeClock.Monotonic())
		Expect(picker.Choose(service, "p", nil).ID).To(Equal(silent.ID))
	})

	It("leaves out an executor after a timeout if it answered no other request, and not if it did", func() {
		picker.Update(executors(2, "near"))
		silent := picker.Choose(service, "p", nil)
		silent.RecordStart(fakeClock.Monotonic())
		fakeClock.Advance(2 * time.Second)
		silent.RecordTimeout(fakeClock.Monotonic())
		silent.RecordEnd()
		Expect(picker.Choose(service, "p", nil).ID).NotTo(Equal(silent.ID))
		busy := picker.Choose(service, "p", nil)
		busy.RecordStart(fakeClock.Monotonic())
		fakeClock.Advance(2 * time.Second)
		busy.RecordActivity(fakeClock.Monotonic())
		busy.RecordTimeout(fakeClock.Monotonic())
		busy.RecordEnd()
		Expect(picker.Choose(service, "p", []string{silent.ID}).ID).To(Equal(busy.ID))
		Expect(picker.Choose(service, "p", nil)).NotTo(BeNil())
	})

	It("leaves out an executor at once, for a shorter time, after a call without a complete answer", func() {
		picker.Update(executors(2, "near"))
		first := picker.Choose(service, "p", nil)
		first.RecordUnreachable(fakeClock.Monotonic())
		Expect(picker.Choose(service, "p", nil).ID).NotTo(Equal(first.ID))
		fakeClock.Advance(time.Second)
		Expect(picker.Choose(service, "p", nil).ID).To(Equal(first.ID))
	})

	It("keeps the load of executors that stay in the list", func() {
		picker.Update(executors(2, "near"))
		busy := picker.Choose(service, "p", nil)
		busy.RecordStart(fakeClock.Monotonic())
		picker.Update(executors(4, "near"))
		Expect(picker.Choose(service, "p", nil).ID).NotTo(Equal(busy.ID))
		Expect(picker.HasExecutors()).To(BeTrue())
		picker.Update(nil)
		Expect(picker.HasExecutors()).To(BeFalse())
	})
})
