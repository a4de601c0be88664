package scheduler_test

import (
	"maps"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/peerapi/wire"
)

var _ = Describe("a pool taken over", func() {
	const otherID = "5c0e7a21d94b36f9"
	const single = `{"task-descriptor":"d","step-list":[{"task-count":1,"cpu-units":1000}]}`
	var f *fleet
	kept := func(prefix string) []string {
		return slices.DeleteFunc(slices.Sorted(maps.Keys(f.leadership.kept)), func(name string) bool { return !strings.HasPrefix(name, prefix) })
	}
	BeforeEach(func() {
		f = newFleet(timing)
		f.add(2, wire.Capacity{CPU: 4000, Memory: 4000}, "a", "r1")
	})

	DescribeTable("goes on with all other jobs where a record of one can't be read", func(record, text string) {
		f.handIn(id, wire.RouteTerms{MaxAttempts: 2}, single)
		f.pass(200 * time.Millisecond)
		f.leadership.kept[record] = []byte(text)
		f.takeOver()
		f.handIn(otherID, wire.RouteTerms{MaxAttempts: 2}, single)
		f.pass(200 * time.Millisecond)
		f.endAll("done")
		f.pass(200 * time.Millisecond)
		Expect(f.state(otherID)).To(ContainSubstring("completed"))
		Expect(f.state(id)).To(HavePrefix("503"))
		Expect(f.pool.Unreadable()).To(ConsistOf(record))
		Expect(string(f.leadership.kept[record])).To(Equal(text))
	},
		Entry("the job's own", "j/"+id, `{"entry":`),
		Entry("the job's steps", "j/"+id, `{"entry":"e","spec":{"step-list":[{"task-count":1,"depends-on":[7]}]}}`),
		Entry("its end", "s/"+id, `{"state":`),
		Entry("a task's", "t/"+taskName, `{"d":`),
	)

	It("goes on without the records of executors that can't be read", func() {
		f.handIn(id, wire.RouteTerms{MaxAttempts: 2}, single)
		f.pass(200 * time.Millisecond)
		Expect(kept("e/")).To(HaveLen(1))
		f.leadership.kept[kept("e/")[0]] = []byte("{")
		f.takeOver()
		f.pass(200 * time.Millisecond)
		f.endAll("done")
		f.pass(200 * time.Millisecond)
		Expect(f.state(id)).To(ContainSubstring("completed"))
	})

	It("runs a job that is larger than what may be submitted today", func() {
		steps := strings.Repeat(`{"task-count":1,"cpu-units":1},`, 300)
		f.leadership.kept["j/"+id] = []byte(`{"entry":"e","spec":{"task-descriptor":"d","step-list":[` + strings.TrimSuffix(steps, ",") + `]}}`)
		f.takeOver()
		f.pass(200 * time.Millisecond)
		Expect(f.tasks()).To(HaveLen(300))
	})

	It("drops the record of a task that the job under this ID doesn't have", func() {
		f.leadership.kept["t/"+id+".0.0.5"] = []byte(`{"d":true,"r":1}`)
		f.leadership.kept["t/"+otherID+".0.0.0"] = []byte(`{"d":true,"r":1}`)
		f.handIn(id, wire.RouteTerms{MaxAttempts: 2}, single)
		f.takeOver()
		Expect(f.pool.Unreadable()).To(BeEmpty())
		Expect(kept("t/")).NotTo(ContainElement("t/" + id + ".0.0.5"))
		Expect(kept("t/" + otherID)).To(BeEmpty())
	})

	It("stops the runs of a time that was done before, and keeps no records of them", func() {
		f.handIn(id, wire.RouteTerms{MaxAttempts: 2}, `{"task-descriptor":"d","repeat-count":2,"period-ms":60000,"first-run-ms":1000000,`+
			`"step-list":[{"task-count":2,"cpu-units":3000,"gang-scheduled":true}]}`)
		f.pass(200 * time.Millisecond)
		Expect(f.tasks()).To(HaveLen(2))
		f.executors[0].end(f.executors[0].running[0].Task, "done")
		f.executors[1].isSilent = true
		f.pass(fleetTick)
		Expect(kept("k/")).To(HaveLen(1))
		f.takeOver()
		f.executors[1].isSilent = false
		f.pass(time.Second)
		Expect(f.tasks()).To(BeEmpty())
		Expect(slices.Concat(kept("t/"), kept("o/"))).To(BeEmpty())
	})
})
