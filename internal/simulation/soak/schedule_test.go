package soak

import (
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a schedule", func() {
	options := func(seed uint64, processes int) Options {
		return Options{Seed: seed, Length: 2 * time.Minute, Processes: processes, Kinds: AllFaults, Network: "127.92"}
	}
	draw := func(seed uint64, processes int) *Schedule {
		return Draw(options(seed, processes), NewLayout(processes, "127.92"))
	}

	It("is the same for a seed, and another for another", func() {
		Expect(draw(7, 20)).To(Equal(draw(7, 20)))
		Expect(draw(7, 20)).NotTo(Equal(draw(8, 20)))
	})

	It("never takes away more stewards than may be lost at once", func() {
		for seed := range uint64(40) {
			for _, processes := range []int{MinProcesses, 30} {
				schedule, losses := draw(seed, processes), NewLayout(processes, "127.92").Losses
				for _, event := range schedule.Events {
					Expect(lostAt(schedule, event.at())).To(BeNumerically("<=", losses), "seed %d at %v", seed, event.at())
				}
			}
		}
	})

	It("strikes no steward that was replaced, and its successor like all others", func() {
		kinds := []FaultKind{FaultReplace, FaultKill}
		for seed := range uint64(20) {
			chosen := options(seed, MinProcesses)
			chosen.Kinds = kinds
			gone := map[string]bool{}
			for _, event := range Draw(chosen, NewLayout(MinProcesses, "127.92")).Events {
				Expect(gone[event.Target]).To(BeFalse())
				gone[event.Target] = gone[event.Target] || event.Kind == FaultReplace
			}
		}
	})

	It("leaves the end calm, and has no events without kinds", func() {
		for _, event := range draw(3, 40).Events {
			Expect(event.at()).To(BeNumerically("<", 2*time.Minute-faultFreeEnd))
		}
		calm := options(3, 40)
		calm.Kinds = nil
		Expect(Draw(calm, NewLayout(40, "127.92")).Events).To(BeEmpty())
	})

	It("is shrunk to what still fails", func() {
		schedule := draw(5, 20)
		needed := []Event{schedule.Events[3], schedule.Events[len(schedule.Events)-2]}
		shorter := Shrink(schedule, 1000, func(tried *Schedule) bool {
			return containsAll(tried.Events, needed)
		})
		Expect(shorter.Events).To(Equal(needed))
	})

	It("is shrunk no further than there are plays", func() {
		plays := 0
		Shrink(draw(5, 20), 4, func(*Schedule) bool { plays++; return false })
		Expect(plays).To(Equal(4))
	})

	It("is refused if it names what there is not, by its flag", func() {
		path := filepath.Join(GinkgoT().TempDir(), "schedule.json")
		Expect(os.WriteFile(path, []byte(`{"length-ms":1000,"events":[{"at-ms":5,"kind":"quake"},{"at-ms":2000,"kind":"kill"}]}`), 0o600)).To(Succeed())
		schedule, err := LoadSchedule(path)
		Expect(err).NotTo(HaveOccurred())
		Expect(schedule.check()).To(MatchError(And(ContainSubstring("--schedule"), ContainSubstring("quake"), ContainSubstring("event 1"))))
		Expect(os.WriteFile(path, []byte("no schedule"), 0o600)).To(Succeed())
		_, err = LoadSchedule(path)
		Expect(err).To(MatchError(ContainSubstring("--schedule")))
	})
})

// lostAt counts the stewards that are away at a moment.
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

func containsAll(events, wanted []Event) bool {
	found := 0
	for _, event := range events {
		if found < len(wanted) && event == wanted[found] {
			found++
		}
	}
	return found == len(wanted)
}

var _ = Describe("options", func() {
	It("are refused by the names of their flags", func() {
		bad := Options{Length: time.Second, Processes: 4000, Kinds: []FaultKind{"quake"}, InjectedFault: "weed", Network: "10.0", Program: "/nowhere/gannetline"}
		err := bad.Check()
		for _, flag := range []string{"--seconds", "--processes", "--faults", "--plant", "--network", "--program"} {
			Expect(err).To(MatchError(ContainSubstring(flag)))
		}
	})
})

var _ = Describe("a job", func() {
	It("has its shape in its ID", func() {
		Expect(shapeOf("00000000000003a2")).To(Equal(shape{3, 10, 2 * shapeUnit}))
		Expect(shapeOf("no ID").tasks()).To(BeZero())
	})
})
