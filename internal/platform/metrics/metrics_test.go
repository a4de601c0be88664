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
	letters = metrics.NewCounters("test_letters_total", "kind", "side")
	crowd   = metrics.NewCounters("test_crowd_total", "name")
	waits   = metrics.NewHistograms("test_wait_seconds", "kind")
)

func page() string {
	var text bytes.Buffer
	metrics.Write(&text)
	return text.String()
}

type lineWriter chan []byte

func (w lineWriter) Write(line []byte) (int, error) {
	w <- bytes.Clone(line)
	return len(line), nil
}

// ringing is a clock that rings when the test says so.
type ringing struct {
	clock.Clock
	rings chan time.Time
}

func (r ringing) After(time.Duration) <-chan time.Time { return r.rings }

var _ = Describe("metrics", func() {
	It("counts by labels, and shows counts and durations in the exposition format", func() {
		letters.With("a", "sent").Inc()
		letters.With("a", "sent").Add(4)
		letters.With("b\"\n", "sent").Inc()
		waits.With("a").Observe(20 * time.Millisecond)
		own := metrics.Own()
		Expect(own).To(HaveKeyWithValue(`test_letters_total{kind="a",side="sent"}`, 5.0))
		Expect(own).To(HaveKeyWithValue(`test_letters_total{kind="b__",side="sent"}`, 1.0))
		Expect(own).To(HaveKeyWithValue(`test_wait_seconds_count{kind="a"}`, 1.0))
		Expect(own).To(HaveKeyWithValue(`test_wait_seconds_bucket{kind="a",le="0.03"}`, 1.0))
		Expect(own).NotTo(HaveKey(`test_wait_seconds_bucket{kind="a",le="0.01"}`))
		Expect(own["process_cpu_seconds_total"]).To(BeNumerically(">", 0))
		Expect(own["go_goroutines"]).To(BeNumerically(">", 0))
		Expect(page()).To(ContainSubstring("# TYPE test_letters_total counter\n"))
		for _, line := range strings.Split(strings.TrimSpace(page()), "\n") {
			Expect(line).To(MatchRegexp(`^(# (HELP|TYPE) .*|[a-z_]+(\{[a-z]+="[^"]*"(,[a-z]+="[^"]*")*\})? [0-9.e+-]+)$`))
		}
	})

	It("holds no more series of a name than its bound, and counts the rest together", func() {
		for number := range 400 {
			crowd.With(strconv.Itoa(number)).Inc()
		}
		own := metrics.Own()
		var series int
		var sum float64
		for name, value := range own {
			if strings.HasPrefix(name, "test_crowd_total") {
				series, sum = series+1, sum+value
			}
		}
		Expect(series).To(Equal(257))
		Expect(sum).To(Equal(400.0))
		Expect(own).To(HaveKeyWithValue(`test_crowd_total{name="other"}`, 144.0))
	})

	It("logs what was counted, without the zeros, as short lines of JSON at each interval", func() {
		letters.With("logged", "sent").Inc()
		letters.With("never", "sent")
		for number := range 60 {
			letters.With(strconv.Itoa(number), "logged").Inc()
		}
		waits.With("logged").Observe(20 * time.Millisecond)
		ctx, end := context.WithCancel(context.Background())
		lines, over := make(lineWriter, 100), make(chan error)
		ring := ringing{clock.System(), make(chan time.Time, 1)}
		ring.rings <- time.Time{}
		go func() { over <- metrics.Logging(logging.New(lines, 0), ring, time.Second)(ctx) }()
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
		end()
		Expect(<-over).To(Succeed())
		Expect(all).To(HaveKeyWithValue(`test_letters_total{kind="logged",side="sent"}`, 1.0))
		Expect(all).NotTo(HaveKey(`test_letters_total{kind="never",side="sent"}`))
		Expect(all).NotTo(HaveKey(`test_wait_seconds_bucket{kind="logged",le="0.03"}`))
	})

	DescribeTable("says which line of a page it can't read", func(text, where string) {
		_, err := metrics.Parse(strings.NewReader(text))
		Expect(err).To(MatchError(ContainSubstring(where)))
	},
		Entry("no value", "# TYPE a counter\na 1\nb\n", "line 3"),
		Entry("a value that is none", "a 1\nb{c=\"d\"} many\n", "line 2"),
	)

	It("fetches the page of another process, and tells an address that has none", func() {
		mux := http.NewServeMux()
		metrics.Handle(mux)
		letters.With("fetched", "sent").Inc()
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
		letters.With("a", "sent").Inc()
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
