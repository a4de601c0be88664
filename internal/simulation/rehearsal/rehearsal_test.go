package rehearsal_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/mailru/easyjson"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/scheduling/recording"
	"gannetline/internal/simulation/rehearsal"
	"gannetline/internal/simulation/simcluster"
)

const (
	example = "testdata/example-day.jsonl"
	startMs = 1_790_000_000_000
)

// exampleDay generates the recording in testdata, with jobs of four queues.
func exampleDay() []byte {
	draw := rand.New(rand.NewPCG(2026, 12))
	var out bytes.Buffer
	write := func(event recording.Event) {
		line, err := easyjson.Marshal(event)
		Expect(err).NotTo(HaveOccurred())
		out.Write(append(line, '\n'))
	}
	write(recording.Event{Kind: recording.KindHeader, AtMs: startMs, Version: recording.Version, Node: "steward-1"})
	for number := range 6 {
		write(recording.Event{Kind: recording.KindExecutor, AtMs: startMs, Machine: fmt.Sprintf("side-%02d", number+1),
			Capacity: wire.Capacity{CPU: 16000, Memory: 32768}, Labels: []string{"a", fmt.Sprintf("r%d", number/3+1)}})
	}
	kinds := []struct {
		queue, body string
		terms       wire.RouteTerms
		every       int
	}{
		{"rota-check", `{"task-descriptor":"","step-list":[{"task-count":8,"cpu-units":1500,"estimated-ms":250,"redundant":true}]}`,
			wire.RouteTerms{MaxAttempts: 4, Stretch: 1.5, TargetMs: 250}, 300},
		{"settlement", `{"task-descriptor":"","step-list":[{"task-count":4,"cpu-units":2000,"estimated-ms":350},{"task-count":1,"cpu-units":500,"estimated-ms":100,"depends-on":[0]}]}`,
			wire.RouteTerms{MaxAttempts: 2, Stretch: 1.5, TargetMs: 200}, 400},
		{"week-rebuild", `{"task-descriptor":"","step-list":[{"task-count":3,"cpu-units":2000,"estimated-ms":12000,"checkpointing":true}]}`,
			wire.RouteTerms{Priority: 2, MaxAttempts: 3, Stretch: 3.2, TargetMs: 3000}, 1100},
		{"orchard-season", `{"task-descriptor":"","step-list":[{"task-count":3,"cpu-units":4000,"estimated-ms":4000,"gang-scheduled":true}]}`,
			wire.RouteTerms{Priority: 2, MaxAttempts: 4, Stretch: 3.2, TargetMs: 3000}, 3000},
	}
	for at := range 20000 / 50 {
		for index, kind := range kinds {
			if draw.IntN(kind.every/50) == 0 {
				write(recording.Event{Kind: recording.KindSubmit, AtMs: startMs + 1000 + int64(at)*50, Queue: kind.queue,
					ID: fmt.Sprintf("%04x%012x", index, at), Terms: kind.terms, Body: []byte(kind.body)})
			}
		}
	}
	return out.Bytes()
}

// crowdedDay generates a recording whose jobs exceed the capacity of its one executor, so that priority decides which run in time.
func crowdedDay() string {
	lines := []string{`{"kind":"header","at-ms":1790000000000,"version":1}`,
		`{"kind":"executor","at-ms":1790000000000,"machine":"side-01","room":{"cpu-units":4000,"memory-req-mb":100},"labels":["a","r1"]}`}
	for number := range 60 {
		at := 1790000001000 + number*250
		lines = append(lines, fmt.Sprintf(`{"kind":"hand-in","at-ms":%d,"queue":"bulk","id":"b%015x","terms":{"p":2},"body":{"step-list":[{"task-count":1,"cpu-units":4000,"estimated-ms":500}]}}`, at, number))
		if number%4 == 0 {
			lines = append(lines, fmt.Sprintf(`{"kind":"hand-in","at-ms":%d,"queue":"urgent","id":"a%015x","terms":{"s":2,"t":1500},"body":{"step-list":[{"task-count":1,"cpu-units":4000,"estimated-ms":200}]}}`, at, number))
		}
	}
	return strings.Join(lines, "\n") + "\n"
}

func readRecording(text string, isLenient bool) (*recording.Day, error) {
	path := filepath.Join(GinkgoT().TempDir(), "day.jsonl")
	Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	return recording.ReadFiles([]string{path}, isLenient)
}

func loadChange(text string) (*rehearsal.Change, error) {
	path := filepath.Join(GinkgoT().TempDir(), "change.yaml")
	Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	return rehearsal.LoadChange(path)
}

func rehearse(text string, faults ...rehearsal.Fault) *rehearsal.Report {
	day, err := recording.ReadFiles([]string{example}, false)
	Expect(err).NotTo(HaveOccurred())
	proposedChange, err := loadChange(text)
	Expect(err).NotTo(HaveOccurred())
	report, err := rehearsal.Rehearse(rehearsal.Setup{Day: day, Change: proposedChange, Seed: 1, Horizon: time.Minute, Faults: faults})
	Expect(err).NotTo(HaveOccurred())
	return report
}

var _ = Describe("a rehearsal", func() {
	It("has an example recording equal to the generated one", func() {
		if os.Getenv("UPDATE_EXAMPLE") != "" {
			Expect(os.WriteFile(example, exampleDay(), 0o644)).To(Succeed())
		}
		stored, err := os.ReadFile(example)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(stored)).To(Equal(string(exampleDay())))
	})

	It("shows no difference for a change without effect", func() {
		report := rehearse("resend-ms: 200\n")
		Expect(report.Differences).To(BeEmpty())
		Expect(report.Worse).To(BeEmpty())
		for queue, pair := range report.Queues {
			Expect(pair.AsIs).To(Equal(pair.Changed), queue)
			Expect(pair.AsIs.Missing).To(BeZero(), queue)
			Expect(pair.AsIs.Twice).To(BeZero(), queue)
		}
	})

	It("shows a starved queue as worse", func() {
		day, err := readRecording(crowdedDay(), false)
		Expect(err).NotTo(HaveOccurred())
		proposedChange, err := loadChange("queues:\n  urgent: {priority: 9, stretch-factor: 1, target-latency-ms: 1}\n")
		Expect(err).NotTo(HaveOccurred())
		report, err := rehearsal.Rehearse(rehearsal.Setup{Day: day, Change: proposedChange, Seed: 1, Horizon: 5 * time.Second})
		Expect(err).NotTo(HaveOccurred())
		urgent := report.Queues["urgent"]
		Expect(urgent.AsIs.Late + urgent.AsIs.Missing).To(BeZero())
		Expect(urgent.Changed.Late + urgent.Changed.Missing).To(BeNumerically(">", urgent.Changed.Jobs/2))
		Expect(report.Worse).NotTo(BeEmpty())
	})

	It("shows no late jobs for a queue of low priority whose jobs are still in time", func() {
		day, err := readRecording(crowdedDay(), false)
		Expect(err).NotTo(HaveOccurred())
		proposedChange, err := loadChange("queues:\n  urgent: {priority: 9}\n")
		Expect(err).NotTo(HaveOccurred())
		report, err := rehearsal.Rehearse(rehearsal.Setup{Day: day, Change: proposedChange, Seed: 1, Horizon: 5 * time.Second})
		Expect(err).NotTo(HaveOccurred())
		urgent := report.Queues["urgent"]
		Expect(urgent.Changed.Late + urgent.Changed.Missing).To(BeZero())
	})

	It("applies the rules of queues, and misses no job", func() {
		report := rehearse("queues:\n  week-rebuild: {use: '\"r2\" in labels', order: 'due - estimate'}\n  rota-check: {use: 'cpu > 99000'}\n")
		for queue, pair := range report.Queues {
			Expect(pair.Changed.Missing).To(BeZero(), queue)
			Expect(pair.Changed.Twice).To(BeZero(), queue)
		}
		Expect(report.Queues["rota-check"].Changed.MedianMs).To(BeNumerically(">", 1000))
	})

	It("gives the same report, byte for byte, when repeated", func() {
		var first, second bytes.Buffer
		Expect(rehearse("grant-ms: 3000\n").Write(&first, true)).To(Succeed())
		Expect(rehearse("grant-ms: 3000\n").Write(&second, true)).To(Succeed())
		Expect(first.String()).To(Equal(second.String()))
	})

	It("runs no job twice and misses none under faults", func() {
		var faults []rehearsal.Fault
		for _, text := range []string{"kill:steward-1:4000:3000", "cut:side-02:6000:7000", "freeze:steward-2:9000:2000", "wipe:steward-3:15000",
			"drain:side-03:3000", "slow:side-04:5000:5000"} {
			fault, err := rehearsal.ParseFault(text)
			Expect(err).NotTo(HaveOccurred())
			faults = append(faults, fault)
		}
		report := rehearse("", faults...)
		for queue, pair := range report.Queues {
			Expect(pair.AsIs.Twice).To(BeZero(), queue)
			Expect(pair.AsIs.Missing).To(BeZero(), queue)
		}
	})

	It("finds jobs that run twice when proxies hold leases longer than granted", func() {
		day, err := recording.ReadFiles([]string{example}, false)
		Expect(err).NotTo(HaveOccurred())
		setup := rehearsal.Setup{Day: day, Change: &rehearsal.Change{}, Seed: 1, Horizon: time.Minute}
		for _, machine := range []string{"side-01", "side-02"} {
			setup.Faults = append(setup.Faults, rehearsal.Fault{Kind: "cut", Target: machine, At: 6 * time.Second, Length: 20 * time.Second})
		}
		countRanTwice := func() (count int) {
			outcomes, err := rehearsal.Replay(setup)
			Expect(err).NotTo(HaveOccurred())
			for _, outcome := range outcomes {
				if outcome.RanTwice {
					count++
				}
			}
			return count
		}
		Expect(countRanTwice()).To(BeZero())
		setup.ClusterOptions = []simcluster.Option{simcluster.WithGrantFactor(5)}
		Expect(countRanTwice()).To(BeNumerically(">", 0))
	})

	It("rehearses a recording made by a simulated cluster, in which jobs recorded twice count once", func() {
		path := filepath.Join(GinkgoT().TempDir(), "own.jsonl")
		writer := recording.NewWriter(path, "steward-1", false)
		day, err := recording.ReadFiles([]string{example}, false)
		Expect(err).NotTo(HaveOccurred())
		_, err = rehearsal.Replay(rehearsal.Setup{Day: day, Change: &rehearsal.Change{}, Seed: 3, Horizon: time.Minute, Recorder: writer})
		Expect(err).NotTo(HaveOccurred())
		Expect(writer.Flush()).To(Succeed())
		own, err := recording.ReadFiles([]string{path, path}, false)
		Expect(err).NotTo(HaveOccurred())
		Expect(own.Lost).To(BeZero())
		report, err := rehearsal.Rehearse(rehearsal.Setup{Day: own, Change: &rehearsal.Change{}, Seed: 1, Horizon: time.Minute})
		Expect(err).NotTo(HaveOccurred())
		Expect(report.Recorded).To(BeNumerically(">", 100))
		jobs := 0
		for _, event := range day.Events {
			if event.Kind == recording.KindSubmit {
				jobs++
			}
		}
		for _, pair := range report.Queues {
			jobs -= pair.AsIs.Jobs
		}
		Expect(jobs).To(BeZero())
	})

	header := `{"kind":"header","at-ms":5,"version":1,"terms":{},"room":{}}` + "\n"
	DescribeTable("refuses a bad recording with file, line and field", func(text, message string) {
		_, err := readRecording(text, false)
		Expect(err).To(MatchError(ContainSubstring(message)))
	},
		Entry("a broken line", header+"{\n", "day.jsonl:2"),
		Entry("an unknown version", strings.Replace(header, `"version":1`, `"version":7`, 1), "field version"),
		Entry("no header", `{"kind":"cancel","at-ms":1}`+"\n", "day.jsonl:1: field kind"),
		Entry("time that goes backwards", header+`{"kind":"plan","at-ms":4}`+"\n", "day.jsonl:2: field at-ms"),
		Entry("an unknown kind", header+`{"kind":"dance","at-ms":6}`+"\n", "field kind"),
		Entry("an invalid ID", header+`{"kind":"hand-in","at-ms":6,"id":"x"}`+"\n", "field id"),
		Entry("an invalid body", header+`{"kind":"hand-in","at-ms":6,"id":"5c0e7a21d94b36f8","body":{}}`+"\n", "field body"),
	)

	It("skips and counts broken lines if lenient, and counts lost lines", func() {
		day, err := readRecording(header+"{\n"+`{"kind":"lost","at-ms":6,"count":12}`+"\n", true)
		Expect(err).NotTo(HaveOccurred())
		Expect(day.Skipped).To(Equal(1))
		Expect(day.Lost).To(Equal(int64(12)))
	})

	DescribeTable("refuses a bad change with the field", func(text, message string) {
		_, err := loadChange(text)
		Expect(err).To(MatchError(ContainSubstring(message)))
	},
		Entry("an unknown field", "speed: 7\n", "speed"),
		Entry("out of range", "most-reserved: 1.5\n", "most-reserved"),
		Entry("an invalid rule", "queues:\n  a: {use: \"speed > 3\"}\n", "field use"),
		Entry("a queue's field out of range", "queues:\n  a: {max-attempts: 0}\n", "max-attempts"),
	)

	DescribeTable("refuses a bad fault", func(text string) {
		_, err := rehearsal.ParseFault(text)
		Expect(err).To(HaveOccurred())
	}, Entry("kind", "burn:side-01:5"), Entry("time", "cut:side-01:soon"), Entry("short", "cut"))
})
