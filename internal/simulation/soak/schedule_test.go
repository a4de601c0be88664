package soak

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A schedule", func() {
	options := func(seed uint64, processes int) Options {
		return Options{Seed: seed, Length: 2 * time.Minute, Processes: processes, Kinds: AllFaults, Network: "127.92"}
	}
	draw := func(seed uint64, processes int) *Schedule {
		return Draw(options(seed, processes), NewLayout(processes, "127.92"))
	}

	It("depends on the seed", func() {
		Expect(draw(7, 20)).To(Equal(draw(7, 20)))
		Expect(draw(7, 20)).NotTo(Equal(draw(8, 20)))
	})

	It("never makes more stewards unavailable at the same time than the layout tolerates", func() {
		for seed := range uint64(40) {
			for _, processes := range []int{MinProcesses, 30} {
				schedule, losses := draw(seed, processes), NewLayout(processes, "127.92").Losses
				for _, event := range schedule.Events {
					Expect(lostAt(schedule, event.at())).To(BeNumerically("<=", losses), "seed %d at %v", seed, event.at())
				}
			}
		}
	})

	It("has no event for a steward after its replacement", func() {
		kinds := []FaultKind{FaultReplace, FaultKill}
		for seed := range uint64(20) {
			chosen := options(seed, MinProcesses)
			chosen.Kinds = kinds
			replaced := map[string]bool{}
			for _, event := range Draw(chosen, NewLayout(MinProcesses, "127.92")).Events {
				Expect(replaced[event.Target]).To(BeFalse())
				replaced[event.Target] = replaced[event.Target] || event.Kind == FaultReplace
			}
		}
	})

	It("has no event near the end, and none at all without kinds of faults", func() {
		for _, event := range draw(3, 40).Events {
			Expect(event.at()).To(BeNumerically("<", 2*time.Minute-faultFreeEnd))
		}
		withoutKinds := options(3, 40)
		withoutKinds.Kinds = nil
		Expect(Draw(withoutKinds, NewLayout(40, "127.92")).Events).To(BeEmpty())
	})

	It("shrinks to the events that are needed for the failure", func() {
		schedule := draw(5, 20)
		needed := []Event{schedule.Events[3], schedule.Events[len(schedule.Events)-2]}
		shorter := Shrink(schedule, 1000, func(tried *Schedule) bool {
			return containsAll(tried.Events, needed)
		})
		Expect(shorter.Events).To(Equal(needed))
	})

	It("shrinks with at most the given number of trials", func() {
		trials := 0
		Shrink(draw(5, 20), 4, func(*Schedule) bool { trials++; return false })
		Expect(trials).To(Equal(4))
	})

	It("is refused with the name of its flag if a kind or a time is invalid, or the file is no schedule", func() {
		path := filepath.Join(GinkgoT().TempDir(), "schedule.json")
		Expect(os.WriteFile(path, []byte(`{"length-ms":1000,"events":[{"at-ms":5,"kind":"quake"},{"at-ms":2000,"kind":"kill"}]}`), 0o600)).To(Succeed())
		schedule, err := LoadSchedule(path)
		Expect(err).NotTo(HaveOccurred())
		Expect(schedule.check(NewLayout(MinProcesses, "127.92"))).To(MatchError(And(ContainSubstring("--schedule"), ContainSubstring("quake"), ContainSubstring("event 1"))))
		Expect(os.WriteFile(path, []byte("no schedule"), 0o600)).To(Succeed())
		_, err = LoadSchedule(path)
		Expect(err).To(MatchError(ContainSubstring("--schedule")))
	})
})

var _ = Describe("A schedule from a file", func() {
	// Guards against a panic of the soak at a cut of a process that no client is connected to, and against events that were passed over.
	DescribeTable("is refused if a process can't have a fault", func(kind FaultKind, target string, isRefused bool) {
		schedule := &Schedule{LengthMs: 1000, Events: []Event{{AtMs: 5, Kind: kind, Target: target}}}
		problems := schedule.check(NewLayout(MinProcesses, "127.92"))
		Expect(problems != nil).To(Equal(isRefused))
	},
		Entry("a cut of a steward", FaultCut, "steward-1", true), Entry("a stall of a local proxy", FaultStall, "worker-1", true),
		Entry("a cut of a gate", FaultCut, "gate-1", false), Entry("a kill of an unknown process", FaultKill, "gate-99", true),
		Entry("a wipe of a gate", FaultWipe, "gate-1", true), Entry("a kill of a replacement steward", FaultKill, "steward-9", false),
		Entry("a wave, which has no target", FaultWave, "", false))
})

var _ = Describe("The records of the fake executors", func() {
	It("cause an error if they can't be read", func() {
		server := httptest.NewServer(http.NotFoundHandler())
		defer server.Close()
		var records []string
		Expect(fetch(context.Background(), http.DefaultClient, server.Listener.Addr().String()+"/records", &records)).To(MatchError(ContainSubstring("404")))
		server.Close()
		Expect(fetch(context.Background(), http.DefaultClient, server.Listener.Addr().String()+"/records", &records)).NotTo(Succeed())
	})
})

// lostAt returns the number of stewards that count as lost at a time.
func lostAt(schedule *Schedule, at time.Duration) int {
	lost := map[string]bool{}
	for _, event := range schedule.Events {
		isSteward := len(event.Target) > len("steward-") && event.Target[:len("steward-")] == "steward-"
		if isSteward && event.Kind.makesUnavailable() && event.at() <= at && at < event.at()+event.duration()+recoveryMargin {
			lost[event.Target] = true
		}
	}
	return len(lost)
}

// containsAll reports whether all wanted events are among the events, in the same order.
func containsAll(events, wanted []Event) bool {
	found := 0
	for _, event := range events {
		if found < len(wanted) && event == wanted[found] {
			found++
		}
	}
	return found == len(wanted)
}

var _ = Describe("Options", func() {
	It("are refused with the names of their flags", func() {
		bad := Options{Length: time.Second, Processes: 4000, Kinds: []FaultKind{"quake"}, InjectedFault: "weed", Network: "10.0", Program: "/nowhere/gannetline"}
		err := bad.Check()
		for _, flag := range []string{"--seconds", "--processes", "--faults", "--plant", "--network", "--program"} {
			Expect(err).To(MatchError(ContainSubstring(flag)))
		}
	})
})

var _ = Describe("A job ID", func() {
	It("encodes the shape of the job", func() {
		Expect(shapeOf("00000000000003a2")).To(Equal(shape{3, 10, 2 * shapeUnit, 1}))
		Expect(shapeOf("000000000000f3a2")).To(Equal(shape{3, 10, 2 * shapeUnit, largeSize}))
		Expect(shapeOf("no ID").tasks()).To(BeZero())
	})
})
