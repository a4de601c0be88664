package jobs_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/scheduling/jobs"
)

var _ = Describe("a job", func() {
	It("is decoded with labels as one string or a list", func() {
		spec, err := jobs.Read([]byte(`{"task-descriptor":"x","step-list":[{"task-count":2,"affinity-labels":"r1"},{"task-count":1,"depends-on":[0],"required-labels":["a","b"]}]}`))
		Expect(err).NotTo(HaveOccurred())
		Expect(spec.Steps[0].Affinity).To(Equal(jobs.Labels{"r1"}))
		Expect(spec.Steps[1].Labels).To(Equal(jobs.Labels{"a", "b"}))
	})

	DescribeTable("is rejected with an error that names the field", func(body, field string) {
		_, err := jobs.Read([]byte(body))
		Expect(err).To(MatchError(ContainSubstring(field)))
	},
		Entry("invalid JSON", `{`, "can't be read"),
		Entry("a wrong type", `{"step-list":"x"}`, "can't be read"),
		Entry("no steps", `{"task-descriptor":"x"}`, "step-list"),
		Entry("no tasks", `{"step-list":[{}]}`, "task-count"),
		Entry("a negative number", `{"step-list":[{"task-count":1,"cpu-units":-1}]}`, "cpu-units"),
		Entry("a step that depends on itself", `{"step-list":[{"task-count":1,"depends-on":[0]}]}`, "depends-on"),
		Entry("a step that depends on a later one", `{"step-list":[{"task-count":1,"depends-on":[1]},{"task-count":1}]}`, "depends-on"),
		Entry("a long descriptor", `{"task-descriptor":"`+strings.Repeat("x", 4001)+`","step-list":[{"task-count":1}]}`, "task-descriptor"),
		Entry("negative repeats", `{"repeat-count":-1,"step-list":[{"task-count":1}]}`, "repeat-count"),
		Entry("too many tasks", `{"step-list":[{"task-count":20000},{"task-count":20000}]}`, "task-count"),
	)

	It("counts amounts above the largest ones as these, also if it was accepted before", func() {
		body := []byte(`{"first-run-ms":9223372036854775807,"period-ms":9223372036854775807,"repeat-count":2,"step-list":[{"task-count":3,
			"cpu-units":9223372036854775807,"memory-req-mb":9223372036854775807,"gpu-count":9223372036854775807,"estimated-ms":9223372036854775807}]}`)
		for _, read := range []func([]byte) (*jobs.Spec, error){jobs.Read, jobs.Restore} {
			spec, err := read(body)
			Expect(err).NotTo(HaveOccurred())
			step := &spec.Steps[0]
			Expect([]int64{step.CPU, step.Memory, step.GPU}).To(Equal([]int64{jobs.MaxCPU, jobs.MaxMemory, jobs.MaxGPU}))
			Expect(spec.FirstRunMs + 100000*spec.PeriodMs).To(BeNumerically(">", 0))
			Expect(256 * step.EstimatedMs).To(BeNumerically(">", 0))
			Expect(step.Work(step.Tasks)).To(BeNumerically(">", 0))
		}
	})

	DescribeTable("has an ID of 16 hex digits", func(id string, isGood bool) { Expect(jobs.IsID(id)).To(Equal(isGood)) },
		Entry("good", "5c0e7a21d94b36f8", true), Entry("short", "5c0e", false), Entry("not hexadecimal", "5c0e7a21d94b36fx", false))

	It("names its tasks ID.K.STEP.INDEX", func() {
		name := jobs.TaskName("5c0e7a21d94b36f8", 0, 1, 17)
		Expect(name).To(Equal("5c0e7a21d94b36f8.0.1.17"))
		position, isTask := jobs.ParseTask(name)
		Expect(isTask).To(BeTrue())
		Expect(position.Index).To(Equal(17))
		_, isTask = jobs.ParseTask("a.b.c.d")
		Expect(isTask).To(BeFalse())
	})
})
