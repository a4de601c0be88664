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

// The records in these tests can't be read, belong to no present job or task, or would not be accepted as a new submission.
var _ = Describe("a pool taken over by a new leader", func() {
	const otherID = "5c0e7a21d94b36f9"
	const single = `{"task-descriptor":"d","step-list":[{"task-count":1,"cpu-units":1000}]}`
	var f *fleet
	recordNames := func(prefix string) []string {
		return slices.DeleteFunc(slices.Sorted(maps.Keys(f.leadership.records)), func(name string) bool { return !strings.HasPrefix(name, prefix) })
	}
	BeforeEach(func() {
		f = newFleet(timing)
		f.add(2, wire.Capacity{CPU: 4000, Memory: 4000}, "a", "r1")
	})

	DescribeTable("runs all other jobs if a record of one job is unreadable", func(record, text string) {
		f.submitJob(id, wire.RouteTerms{MaxAttempts: 2}, single)
		f.pass(200 * time.Millisecond)
		f.leadership.records[record] = []byte(text)
		f.takeOver()
		f.submitJob(otherID, wire.RouteTerms{MaxAttempts: 2}, single)
		f.pass(200 * time.Millisecond)
		f.endAll("done")
		f.pass(200 * time.Millisecond)
		Expect(f.state(otherID)).To(ContainSubstring("completed"))
		Expect(f.state(id)).To(HavePrefix("503"))
		Expect(f.pool.Unreadable()).To(ConsistOf(record))
		Expect(string(f.leadership.records[record])).To(Equal(text))
	},
		Entry("the job record", "j/"+id, `{"entry":`),
		Entry("the steps in the job record", "j/"+id, `{"entry":"e","spec":{"step-list":[{"task-count":1,"depends-on":[7]}]}}`),
		Entry("the state record", "s/"+id, `{"state":`),
		Entry("a task record", "t/"+taskName, `{"d":`),
	)

	It("loads all jobs although an executor record is unreadable", func() {
		f.submitJob(id, wire.RouteTerms{MaxAttempts: 2}, single)
		f.pass(200 * time.Millisecond)
		Expect(recordNames("e/")).To(HaveLen(1))
		f.leadership.records[recordNames("e/")[0]] = []byte("{")
		f.takeOver()
		f.pass(200 * time.Millisecond)
		f.endAll("done")
		f.pass(200 * time.Millisecond)
		Expect(f.state(id)).To(ContainSubstring("completed"))
	})

	It("runs a stored job that exceeds the present size limit for submissions", func() {
		steps := strings.Repeat(`{"task-count":1,"cpu-units":1},`, 300)
		f.leadership.records["j/"+id] = []byte(`{"entry":"e","spec":{"task-descriptor":"d","step-list":[` + strings.TrimSuffix(steps, ",") + `]}}`)
		f.takeOver()
		f.pass(200 * time.Millisecond)
		Expect(f.tasks()).To(HaveLen(300))
	})

	It("deletes task records that match no task of the present jobs", func() {
		f.leadership.records["t/"+id+".0.0.5"] = []byte(`{"d":true,"r":1}`)
		f.leadership.records["t/"+otherID+".0.0.0"] = []byte(`{"d":true,"r":1}`)
		f.submitJob(id, wire.RouteTerms{MaxAttempts: 2}, single)
		f.takeOver()
		Expect(f.pool.Unreadable()).To(BeEmpty())
		Expect(recordNames("t/")).NotTo(ContainElement("t/" + id + ".0.0.5"))
		Expect(recordNames("t/" + otherID)).To(BeEmpty())
	})

	It("stops the runs of a completed occurrence and deletes their records", func() {
		f.submitJob(id, wire.RouteTerms{MaxAttempts: 2}, `{"task-descriptor":"d","repeat-count":2,"period-ms":60000,"first-run-ms":1000000,`+
			`"step-list":[{"task-count":2,"cpu-units":3000,"gang-scheduled":true}]}`)
		f.pass(200 * time.Millisecond)
		Expect(f.tasks()).To(HaveLen(2))
		f.executors[0].end(f.executors[0].running[0].Task, "done")
		f.executors[1].isSilent = true
		f.pass(fleetTick)
		Expect(recordNames("k/")).To(HaveLen(1))
		f.takeOver()
		f.executors[1].isSilent = false
		f.pass(time.Second)
		Expect(f.tasks()).To(BeEmpty())
		Expect(slices.Concat(recordNames("t/"), recordNames("o/"))).To(BeEmpty())
	})
})
