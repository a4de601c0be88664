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
	dawn    = 1_790_000_000_000
)

// exampleDay makes a day of the project's own: rota checks, rebuilds, settlements and orchard seasons.
func exampleDay() []byte {
	draw := rand.New(rand.NewPCG(2026, 12))
	var out bytes.Buffer
	put := func(event recording.Event) {
		line, err := easyjson.Marshal(event)
		Expect(err).NotTo(HaveOccurred())
		out.Write(append(line, '\n'))
	}
	put(recording.Event{Kind: recording.KindHeader, AtMs: dawn, Version: recording.Version, Node: "steward-1"})
	for number := range 6 {
		put(recording.Event{Kind: recording.KindExecutor, AtMs: dawn, Machine: fmt.Sprintf("side-%02d", number+1),
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
		for kind, one := range kinds {
			if draw.IntN(one.every/50) == 0 {
				put(recording.Event{Kind: recording.KindSubmit, AtMs: dawn + 1000 + int64(at)*50, Queue: one.queue,
					ID: fmt.Sprintf("%04x%012x", kind, at), Terms: one.terms, Body: []byte(one.body)})
			}
		}
	}
	return out.Bytes()
}

// crowdedDay asks one executor for more than it can do; only priority decides who gets it.
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

func read(text string, isLenient bool) (*recording.Day, error) {
	path := filepath.Join(GinkgoT().TempDir(), "day.jsonl")
	Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	return recording.ReadFiles([]string{path}, isLenient)
}

func change(text string) (*rehearsal.Change, error) {
	path := filepath.Join(GinkgoT().TempDir(), "change.yaml")
	Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	return rehearsal.LoadChange(path)
}

func rehearse(text string, faults ...rehearsal.Fault) *rehearsal.Report {
	day, err := recording.ReadFiles([]string{example}, false)
	Expect(err).NotTo(HaveOccurred())
	proposal, err := change(text)
	Expect(err).NotTo(HaveOccurred())
	report, err := rehearsal.Rehearse(rehearsal.Setup{Day: day, Change: proposal, Seed: 1, Horizon: time.Minute, Faults: faults})
	Expect(err).NotTo(HaveOccurred())
	return report
}

var _ = Describe("a rehearsal", func() {
	It("has an example day that is what its maker makes", func() {
		if os.Getenv("UPDATE_EXAMPLE") != "" {
			Expect(os.WriteFile(example, exampleDay(), 0o644)).To(Succeed())
		}
		kept, err := os.ReadFile(example)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(kept)).To(Equal(string(exampleDay())))
	})

	It("shows no difference for a change that changes nothing", func() {
		report := rehearse("resend-ms: 200\n")
		Expect(report.Differences).To(BeEmpty())
		Expect(report.Worse).To(BeEmpty())
		for queue, pair := range report.Queues {
			Expect(pair.AsIs).To(Equal(pair.Changed), queue)
			Expect(pair.AsIs.Missing).To(BeZero(), queue)
			Expect(pair.AsIs.Twice).To(BeZero(), queue)
		}
	})

	It("shows that a queue starves", func() {
		day, err := read(crowdedDay(), false)
		Expect(err).NotTo(HaveOccurred())
		proposal, err := change("queues:\n  urgent: {priority: 9, stretch-factor: 1, target-latency-ms: 1}\n")
		Expect(err).NotTo(HaveOccurred())
		report, err := rehearsal.Rehearse(rehearsal.Setup{Day: day, Change: proposal, Seed: 1, Horizon: 5 * time.Second})
		Expect(err).NotTo(HaveOccurred())
		urgent := report.Queues["urgent"]
		Expect(urgent.AsIs.Late + urgent.AsIs.Missing).To(BeZero())
		Expect(urgent.Changed.Late + urgent.Changed.Missing).To(BeNumerically(">", urgent.Changed.Jobs/2))
		Expect(report.Worse).NotTo(BeEmpty())
	})

	It("shows that a queue that is put last, and whose work is still on time, does not starve", func() {
		day, err := read(crowdedDay(), false)
		Expect(err).NotTo(HaveOccurred())
		proposal, err := change("queues:\n  urgent: {priority: 9}\n")
		Expect(err).NotTo(HaveOccurred())
		report, err := rehearsal.Rehearse(rehearsal.Setup{Day: day, Change: proposal, Seed: 1, Horizon: 5 * time.Second})
		Expect(err).NotTo(HaveOccurred())
		urgent := report.Queues["urgent"]
		Expect(urgent.Changed.Late + urgent.Changed.Missing).To(BeZero())
	})

	It("rehearses rules of queues, which order work and leave none undone", func() {
		report := rehearse("queues:\n  week-rebuild: {use: '\"r2\" in labels', order: 'due - estimate'}\n  rota-check: {use: 'cpu > 99000'}\n")
		for queue, pair := range report.Queues {
			Expect(pair.Changed.Missing).To(BeZero(), queue)
			Expect(pair.Changed.Twice).To(BeZero(), queue)
		}
		Expect(report.Queues["rota-check"].Changed.HalfMs).To(BeNumerically(">", 1000))
	})

	It("gives the same report to the byte", func() {
		var one, two bytes.Buffer
		Expect(rehearse("grant-ms: 3000\n").Write(&one, true)).To(Succeed())
		Expect(rehearse("grant-ms: 3000\n").Write(&two, true)).To(Succeed())
		Expect(one.String()).To(Equal(two.String()))
	})

	It("plays with faults over the day, and nothing lands twice or goes missing", func() {
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

	It("sees what lands twice, when proxies hold longer than they were granted", func() {
		day, err := recording.ReadFiles([]string{example}, false)
		Expect(err).NotTo(HaveOccurred())
		setup := rehearsal.Setup{Day: day, Change: &rehearsal.Change{}, Seed: 1, Horizon: time.Minute}
		for _, machine := range []string{"side-01", "side-02"} {
			setup.Faults = append(setup.Faults, rehearsal.Fault{Kind: "cut", Target: machine, At: 6 * time.Second, Length: 20 * time.Second})
		}
		twice := func() (count int) {
			outcomes, err := rehearsal.Play(setup)
			Expect(err).NotTo(HaveOccurred())
			for _, one := range outcomes {
				if one.RanTwice {
					count++
				}
			}
			return count
		}
		Expect(twice()).To(BeZero())
		setup.ClusterOptions = []simcluster.Option{simcluster.WithGrantFactor(5)}
		Expect(twice()).To(BeNumerically(">", 0))
	})

	It("rehearses what the system recorded itself, a retried submission once", func() {
		path := filepath.Join(GinkgoT().TempDir(), "own.jsonl")
		writer := recording.NewWriter(path, "steward-1", false)
		day, err := recording.ReadFiles([]string{example}, false)
		Expect(err).NotTo(HaveOccurred())
		_, err = rehearsal.Play(rehearsal.Setup{Day: day, Change: &rehearsal.Change{}, Seed: 3, Horizon: time.Minute, Record: writer})
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
	DescribeTable("refuses a bad recording with file, line and field", func(text, why string) {
		_, err := read(text, false)
		Expect(err).To(MatchError(ContainSubstring(why)))
	},
		Entry("a broken line", header+"{\n", "day.jsonl:2"),
		Entry("an unknown version", strings.Replace(header, `"version":1`, `"version":7`, 1), "field version"),
		Entry("no header", `{"kind":"cancel","at-ms":1}`+"\n", "day.jsonl:1: field kind"),
		Entry("time that goes backwards", header+`{"kind":"plan","at-ms":4}`+"\n", "day.jsonl:2: field at-ms"),
		Entry("an unknown kind", header+`{"kind":"dance","at-ms":6}`+"\n", "field kind"),
		Entry("an ID that is none", header+`{"kind":"hand-in","at-ms":6,"id":"x"}`+"\n", "field id"),
		Entry("a body that is none", header+`{"kind":"hand-in","at-ms":6,"id":"5c0e7a21d94b36f8","body":{}}`+"\n", "field body"),
	)

	It("skips and counts broken lines if asked to, and says what was lost", func() {
		day, err := read(header+"{\n"+`{"kind":"lost","at-ms":6,"count":12}`+"\n", true)
		Expect(err).NotTo(HaveOccurred())
		Expect(day.Skipped).To(Equal(1))
		Expect(day.Lost).To(Equal(int64(12)))
	})

	DescribeTable("refuses a bad proposal with the field", func(text, why string) {
		_, err := change(text)
		Expect(err).To(MatchError(ContainSubstring(why)))
	},
		Entry("an unknown field", "speed: 7\n", "speed"),
		Entry("out of range", "most-reserved: 1.5\n", "most-reserved"),
		Entry("a rule that can't be read", "queues:\n  a: {use: \"speed > 3\"}\n", "field use"),
		Entry("a queue's field out of range", "queues:\n  a: {max-attempts: 0}\n", "max-attempts"),
	)

	DescribeTable("refuses a bad fault", func(text string) {
		_, err := rehearsal.ParseFault(text)
		Expect(err).To(HaveOccurred())
	}, Entry("kind", "burn:side-01:5"), Entry("time", "cut:side-01:soon"), Entry("short", "cut"))
})
