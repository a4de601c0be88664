package metrics_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/logging"
	"gannetline/internal/platform/metrics"
)

var (
	messages   = metrics.NewCounters("test_letters_total", "kind", "side")
	manySeries = metrics.NewCounters("test_crowd_total", "name")
	waits      = metrics.NewHistograms("test_wait_seconds", "kind")
)

// page returns the metrics page of this process.
func page() string {
	var text bytes.Buffer
	metrics.Write(&text)
	return text.String()
}

// lineWriter sends each log line to a channel.
type lineWriter chan []byte

func (w lineWriter) Write(line []byte) (int, error) {
	w <- bytes.Clone(line)
	return len(line), nil
}

// manualClock is a clock whose waits end when the test sends to ticks.
type manualClock struct {
	clock.Clock
	ticks chan time.Time
}

func (c manualClock) After(time.Duration) <-chan time.Time { return c.ticks }

var _ = Describe("metrics", func() {
	It("counts by labels, and writes counters and histograms in the Prometheus text format", func() {
		messages.With("a", "sent").Inc()
		messages.With("a", "sent").Add(4)
		messages.With("b\"\n", "sent").Inc()
		waits.With("a").Observe(20 * time.Millisecond)
		samples := metrics.Own()
		Expect(samples).To(HaveKeyWithValue(`test_letters_total{kind="a",side="sent"}`, 5.0))
		Expect(samples).To(HaveKeyWithValue(`test_letters_total{kind="b__",side="sent"}`, 1.0))
		Expect(samples).To(HaveKeyWithValue(`test_wait_seconds_count{kind="a"}`, 1.0))
		Expect(samples).To(HaveKeyWithValue(`test_wait_seconds_bucket{kind="a",le="0.03"}`, 1.0))
		Expect(samples).NotTo(HaveKey(`test_wait_seconds_bucket{kind="a",le="0.01"}`))
		Expect(samples["process_cpu_seconds_total"]).To(BeNumerically(">", 0))
		Expect(samples["go_goroutines"]).To(BeNumerically(">", 0))
		Expect(page()).To(ContainSubstring("# TYPE test_letters_total counter\n"))
		for _, line := range strings.Split(strings.TrimSpace(page()), "\n") {
			Expect(line).To(MatchRegexp(`^(# (HELP|TYPE) .*|[a-z_]+(\{[a-z]+="[^"]*"(,[a-z]+="[^"]*")*\})? [0-9.e+-]+)$`))
		}
	})

	It("counts label values beyond the maximum of 256 series as other", func() {
		for number := range 400 {
			manySeries.With(strconv.Itoa(number)).Inc()
		}
		samples := metrics.Own()
		var series int
		var sum float64
		for name, value := range samples {
			if strings.HasPrefix(name, "test_crowd_total") {
				series, sum = series+1, sum+value
			}
		}
		Expect(series).To(Equal(257))
		Expect(sum).To(Equal(400.0))
		Expect(samples).To(HaveKeyWithValue(`test_crowd_total{name="other"}`, 144.0))
	})

	It("logs metrics at each interval in JSON lines of at most 50, without zeros and buckets", func() {
		messages.With("logged", "sent").Inc()
		messages.With("never", "sent")
		for number := range 60 {
			messages.With(strconv.Itoa(number), "logged").Inc()
		}
		waits.With("logged").Observe(20 * time.Millisecond)
		ctx, cancel := context.WithCancel(context.Background())
		lines, done := make(lineWriter, 100), make(chan error)
		ticker := manualClock{clock.System(), make(chan time.Time, 1)}
		ticker.ticks <- time.Time{}
		go func() { done <- metrics.Logging(logging.New(lines, 0), ticker, time.Second)(ctx) }()
		all := metrics.Samples{}
		for len(all) == 0 || all["test_wait_seconds_count{kind=\"logged\"}"] == 0 {
			var line struct {
				Msg     string          `json:"msg"`
				Metrics metrics.Samples `json:"metrics"`
			}
			var text []byte
			Eventually(lines, 10*time.Second).Should(Receive(&text))
			Expect(json.Unmarshal(text, &line)).To(Succeed())
			Expect(line.Msg).To(Equal("metrics"))
			Expect(len(line.Metrics)).To(BeNumerically("<=", 50))
			all.Add(line.Metrics)
		}
		cancel()
		Expect(<-done).To(Succeed())
		Expect(all).To(HaveKeyWithValue(`test_letters_total{kind="logged",side="sent"}`, 1.0))
		Expect(all).NotTo(HaveKey(`test_letters_total{kind="never",side="sent"}`))
		Expect(all).NotTo(HaveKey(`test_wait_seconds_bucket{kind="logged",le="0.03"}`))
	})

	DescribeTable("names the malformed line of a page", func(text, line string) {
		_, err := metrics.Parse(strings.NewReader(text))
		Expect(err).To(MatchError(ContainSubstring(line)))
	},
		Entry("a line without a value", "# TYPE a counter\na 1\nb\n", "line 3"),
		Entry("a value that is not a number", "a 1\nb{c=\"d\"} many\n", "line 2"),
	)

	It("fetches the page of another process, and returns an error for an address without one", func() {
		mux := http.NewServeMux()
		metrics.Handle(mux)
		messages.With("fetched", "sent").Inc()
		server, other := httptest.NewServer(mux), httptest.NewServer(http.NotFoundHandler())
		defer server.Close()
		defer other.Close()
		samples, err := metrics.Fetch(http.DefaultClient, server.Listener.Addr().String(), time.Minute)
		Expect(err).NotTo(HaveOccurred())
		Expect(samples).To(HaveKeyWithValue(`test_letters_total{kind="fetched",side="sent"}`, 1.0))
		_, err = metrics.Fetch(http.DefaultClient, other.Listener.Addr().String(), time.Minute)
		Expect(err).To(MatchError(ContainSubstring("status 404")))
	})
})

func BenchmarkCounting(b *testing.B) {
	for b.Loop() {
		messages.With("a", "sent").Inc()
	}
}

func BenchmarkObserving(b *testing.B) {
	metric := waits.With("a")
	for b.Loop() {
		metric.Observe(time.Millisecond)
	}
}

func BenchmarkPage(b *testing.B) {
	for b.Loop() {
		metrics.Own()
	}
}
