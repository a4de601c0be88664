package scheduler_test

import (
	"bytes"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/logging"
	"gannetline/internal/platform/metrics"
	"gannetline/internal/scheduling/scheduler"
)

var _ = Describe("the load report of a pool", func() {
	const wide = `{"task-descriptor":"d","step-list":[{"task-count":6,"cpu-units":1000,"estimated-ms":400}]}`
	var f *fleet
	var logOutput bytes.Buffer
	// metricValue returns the value of a series, or "none" if the series doesn't exist.
	metricValue := func(series string) string {
		var text bytes.Buffer
		metrics.Write(&text)
		for line := range strings.Lines(text.String()) {
			if value, isFound := strings.CutPrefix(line, series+" "); isFound {
				return strings.TrimSpace(value)
			}
		}
		return "none"
	}
	BeforeEach(func() {
		logOutput.Reset()
		f = newFleet(timing)
		f.pool = scheduler.New("pool/report", f.clock, f.timing, logging.New(&logOutput, 0))
		f.leadership.epoch++
		f.pool.Open(f.leadership, nil)
		f.add(1, wire.Capacity{CPU: 4000, Memory: 4000}, "a", "r1")
	})

	It("shows pending CPU by priority and deadline class, and allocated CPU by priority", func() {
		f.submitJob("5c0e7a21d94b0001", wire.RouteTerms{MaxAttempts: 2, Priority: 1, Stretch: 1, TargetMs: 600}, wide)
		f.pass(1100 * time.Millisecond)
		Expect(metricValue(`gannetline_pool_allocated_cpu{key="pool/report",priority="1"}`)).To(Equal("4000"))
		Expect(metricValue(`gannetline_pool_waiting_cpu{key="pool/report",priority="1",deadline="late"}`)).To(Equal("2000"))
		Expect(metricValue(`gannetline_pool_waiting_cpu{key="pool/report",priority="1",deadline="on_time"}`)).To(Equal("0"))
		Expect(metricValue(`gannetline_pool_capacity_cpu{key="pool/report",state="open"}`)).To(Equal("4000"))
		f.pass(4 * time.Second)
		Expect(metricValue(`gannetline_pool_waiting_cpu{key="pool/report",priority="1",deadline="expired"}`)).To(Equal("2000"))
		f.pool.Close()
		Expect(metricValue(`gannetline_pool_allocated_cpu{key="pool/report",priority="1"}`)).To(Equal("0"))
	})

	It("logs pending late work every five seconds, and nothing while all work is on time", func() {
		f.submitJob("5c0e7a21d94b0001", wire.RouteTerms{MaxAttempts: 2, Stretch: 100, TargetMs: 60000}, wide)
		f.pass(2 * time.Second)
		Expect(logOutput.String()).NotTo(ContainSubstring("late work waits"))
		f.submitJob("5c0e7a21d94b0002", wire.RouteTerms{MaxAttempts: 2, Priority: 2, Stretch: 1, TargetMs: 100}, wide)
		f.pass(4 * time.Second)
		Expect(strings.Count(logOutput.String(), `"priority":"2","allocated_cpu":0,"open_cpu":4000`)).To(Equal(1))
		f.pass(4 * time.Second)
		Expect(strings.Count(logOutput.String(), `"msg":"late work waits"`)).To(Equal(4))
	})

	It("counts completed occurrences by deadline class", func() {
		f.submitJob("5c0e7a21d94b0001", wire.RouteTerms{MaxAttempts: 2, Stretch: 1, TargetMs: 700}, wide)
		f.pass(800 * time.Millisecond)
		f.endAll("done")
		f.pass(400 * time.Millisecond)
		f.endAll("done")
		f.pass(400 * time.Millisecond)
		Expect(f.state("5c0e7a21d94b0001")).To(ContainSubstring("completed"))
		Expect(metricValue(`gannetline_pool_occurrences_total{key="pool/report",queue="e",deadline="late"}`)).To(Equal("1"))
	})
})
