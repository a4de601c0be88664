package scalerun_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/simulation/hollow"
	"gannetline/internal/simulation/scalerun"
)

func sound() scalerun.Setup {
	return scalerun.Setup{Sizes: []int{60, 250}, Stewards: 5, Gates: 4, LoadTime: 30 * time.Second, Idle: 10 * time.Second,
		StartsPerWorker: 0.62, TaskLength: time.Second, Standing: 14, Addresses: "127.10.0.0/16"}
}

var _ = Describe("what is asked for", func() {
	It("is taken when it is sound", func() {
		setup := sound()
		Expect(setup.Check()).To(Succeed())
		Expect(setup.CheckMemory(250, 16<<30)).To(Succeed())
	})

	DescribeTable("is refused with the option's name", func(spoil func(*scalerun.Setup), option string) {
		setup := sound()
		spoil(&setup)
		Expect(setup.Check()).To(MatchError(ContainSubstring(option)))
	},
		Entry("no sizes", func(s *scalerun.Setup) { s.Sizes = nil }, "--sizes"),
		Entry("no workers", func(s *scalerun.Setup) { s.Sizes = []int{0} }, "--sizes"),
		Entry("too many workers", func(s *scalerun.Setup) { s.Sizes = []int{2001}; s.StartsPerWorker = 0.1 }, "--sizes"),
		Entry("too many starts", func(s *scalerun.Setup) { s.StartsPerWorker = 9 }, "--starts-per-worker"),
		Entry("no starts", func(s *scalerun.Setup) { s.StartsPerWorker = 0 }, "--starts-per-worker"),
		Entry("no steward", func(s *scalerun.Setup) { s.Stewards = 0 }, "--stewards"),
		Entry("too many stewards", func(s *scalerun.Setup) { s.Stewards = 8 }, "--stewards"),
		Entry("no gate", func(s *scalerun.Setup) { s.Gates = 0 }, "--gates"),
		Entry("a load without end", func(s *scalerun.Setup) { s.LoadTime = time.Hour }, "--seconds"),
		Entry("no idle time", func(s *scalerun.Setup) { s.Idle = 0 }, "--idle"),
		Entry("tasks of no length", func(s *scalerun.Setup) { s.TaskLength = 0 }, "--task-length"),
		Entry("a negative count of standing tasks", func(s *scalerun.Setup) { s.Standing = -1 }, "--standing"),
		Entry("addresses that are none", func(s *scalerun.Setup) { s.Addresses = "here" }, "--addresses"),
		Entry("addresses off the loopback", func(s *scalerun.Setup) { s.Addresses = "10.1.0.0/16" }, "--addresses"),
		Entry("the whole loopback", func(s *scalerun.Setup) { s.Addresses = "127.0.0.0/8" }, "--addresses"),
	)

	It("is refused when it may take more than half of the memory, or too many processes", func() {
		setup := sound()
		Expect(setup.CheckMemory(1000, 8<<30)).To(MatchError(ContainSubstring("half of the machine's memory")))
		Expect(setup.CheckMemory(10000, 1<<50)).To(MatchError(ContainSubstring("processes")))
	})
})

var _ = Describe("the slopes", func() {
	at := func(workers, running, starts float64) scalerun.Point {
		return scalerun.Point{Workers: workers, Running: running, Starts: starts,
			Value: 3 + 0.5*workers + 0.01*running + 0.2*starts}
	}
	windows := []scalerun.Point{at(60, 0, 0), at(60, 900, 0), at(60, 900, 37), at(250, 0, 0), at(250, 3500, 0), at(250, 3500, 155)}

	It("tells workers, running tasks and starts apart", func() {
		slope, err := scalerun.Fit(windows)
		Expect(err).NotTo(HaveOccurred())
		Expect(slope.Base).To(BeNumerically("~", 3, 1e-6))
		Expect(slope.PerWorker).To(BeNumerically("~", 0.5, 1e-9))
		Expect(slope.PerRunning).To(BeNumerically("~", 0.01, 1e-9))
		Expect(slope.PerStart).To(BeNumerically("~", 0.2, 1e-9))
		Expect(slope.RSquared).To(BeNumerically("~", 1, 1e-9))
		Expect(slope.At(scalerun.Aim)).To(BeNumerically("~", 3+500+150+124, 1e-6))
	})

	It("are not worked out from too little", func() {
		_, err := scalerun.Fit(windows[:3])
		Expect(err).To(MatchError(ContainSubstring("5 windows")))
		_, err = scalerun.Fit([]scalerun.Point{at(60, 0, 0), at(60, 0, 0), at(60, 0, 0), at(250, 0, 0), at(250, 0, 0)})
		Expect(err).To(MatchError(ContainSubstring("apart")))
	})
})

var _ = Describe("the verdict", func() {
	job := func() *scalerun.Job {
		return &scalerun.Job{ID: "a", Tasks: 2, SentMs: 100, AcceptedMs: 110, ShownMs: 900, State: "completed"}
	}
	run := func(task string, number, start, end int64, how string) hollow.RunRecord {
		return hollow.RunRecord{Task: task, Run: number, Node: "w", StartMs: start, EndMs: end, Outcome: how}
	}

	It("finds nothing where all went well, and measures", func() {
		verdict := scalerun.Judge([]*scalerun.Job{job()}, []hollow.RunRecord{run("a.0.0.0", 1, 150, 300, "stopped"),
			run("a.0.0.0", 2, 300, 500, "done"), run("a.0.0.1", 1, 130, 600, "done")})
		Expect(verdict.IsSound()).To(BeTrue())
		Expect(verdict.ToStart.Worst).To(Equal(30.0))
		Expect(verdict.ToLast.Worst).To(Equal(500.0))
		Expect(verdict.ToShown.Worst).To(Equal(800.0))
		Expect(verdict.Stopped).To(Equal(1))
	})

	DescribeTable("finds", func(state string, want func(scalerun.Verdict) int, records ...hollow.RunRecord) {
		one := job()
		one.State = state
		verdict := scalerun.Judge([]*scalerun.Job{one}, append(records, run("a.0.0.1", 1, 130, 600, "done")))
		Expect(want(verdict)).To(Equal(1))
		Expect(verdict.IsSound()).To(BeFalse())
		Expect(verdict.Examples).To(HaveLen(1))
	},
		Entry("a task that never ended well", "completed", func(v scalerun.Verdict) int { return v.Lost }, run("a.0.0.0", 1, 130, 300, "lapsed")),
		Entry("a job that never completed", "active", func(v scalerun.Verdict) int { return v.Lost }, run("a.0.0.0", 1, 130, 300, "done")),
		Entry("two runs at once", "completed", func(v scalerun.Verdict) int { return v.Doubled },
			run("a.0.0.0", 1, 130, 300, "stopped"), run("a.0.0.0", 2, 299, 400, "done")),
		Entry("a start after the end", "completed", func(v scalerun.Verdict) int { return v.StartedAgain },
			run("a.0.0.0", 1, 130, 300, "done"), run("a.0.0.0", 2, 400, 500, "stopped")),
		Entry("a task that still runs", "cancelled", func(v scalerun.Verdict) int { return v.StillRunning }, run("a.0.0.0", 1, 130, 0, "")),
	)

	It("gives the points of a distribution", func() {
		values := []float64{}
		for value := 100; value >= 1; value-- {
			values = append(values, float64(value))
		}
		Expect(scalerun.SpreadOf(values)).To(Equal(scalerun.Spread{Count: 100, Half: 50, Most: 95, Rare: 99, Worst: 100}))
		Expect(scalerun.SpreadOf(nil)).To(BeZero())
	})
})
