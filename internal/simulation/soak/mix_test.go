package soak

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/platform/settings"
	"gannetline/internal/simulation/hollow"
)

var _ = Describe("Mixes", func() {
	It("are the same for the same seed, and cover every combination of features over consecutive seeds", func() {
		seen := map[string]bool{}
		for seed := range uint64(1 << len(AllFeatures)) {
			mix := DrawMix(seed)
			Expect(DrawMix(seed)).To(Equal(mix))
			seen[fmt.Sprint(mix.Features)] = true
		}
		Expect(seen).To(HaveLen(1 << len(AllFeatures)))
	})

	It("have valid settings for each role with any seed", func() {
		for seed := range uint64(500) {
			layout := NewMixedLayout(MinProcesses+int(seed%40), "127.92", DrawMix(seed))
			for _, role := range []Role{RoleSteward, RoleStorage, RoleGate, RoleProxy} {
				for _, node := range layout.nodes(role) {
					text, err := layout.settingsOf(node, "/folder", []string{"127.92.2.1:8166"}, true, NoSettingsFault)
					Expect(err).NotTo(HaveOccurred())
					parsed, err := settings.Parse(text)
					Expect(err).NotTo(HaveOccurred(), "seed %d, %s", seed, node.Name)
					Expect(parsed.Require(string(role))).To(Succeed())
					Expect(parsed.Bounds.Unknown).To(BeEmpty())
					Expect(parsed.ServesJobs()).To(BeTrue())
					Expect(parsed.ServesRequests()).To(Equal(layout.Mix.Has(FeatureTier)))
					Expect(parsed.ServesCoordination()).To(Equal(layout.Mix.Has(FeatureLocks)))
					Expect(parsed.HasZone(layout.zoneOf(node))).To(BeTrue())
				}
			}
			Expect(layout.Storages).To(HaveLen(map[bool]int{true: 2*layout.Losses + 1}[layout.Mix.Has(FeatureTier)]))
		}
	})

	DescribeTable("have wrong settings with a settings fault", func(fault SettingsFault, isWrong func(*settings.Settings) bool) {
		layout := NewMixedLayout(MinProcesses, "127.92", DrawMix(15))
		text, err := layout.settingsOf(layout.Gates[0], "/folder", []string{"127.92.2.1:8166"}, true, fault)
		Expect(err).NotTo(HaveOccurred())
		parsed, err := settings.Parse(text)
		Expect(err).NotTo(HaveOccurred())
		Expect(isWrong(parsed)).To(BeTrue())
	},
		Entry("left-out contracts", ForgetContracts, func(s *settings.Settings) bool { return !s.ServesRequests() && s.ServesCoordination() }),
		Entry("a wrong bound", WrongBound, func(s *settings.Settings) bool { return s.Bounds.StatusS == wrongStatusSeconds }),
	)

	It("are refused with options that contradict each other", func() {
		options := Options{Length: MinLength, Processes: MinProcesses, Network: "127.92", Program: "/", SettingsFault: "nothing"}
		Expect(options.Check()).To(MatchError(ContainSubstring("--wrong-settings")))
		options.SettingsFault = ForgetContracts
		Expect(options.Check()).To(MatchError(ContainSubstring("--mix")))
		options.Mix, options.Rollouts, options.Processes = DrawMix(1), true, 20
		Expect(options.Check()).To(MatchError(ContainSubstring("--rollouts")))
	})
})

var _ = Describe("The oracles of mixes", func() {
	It("report a start in an evacuated zone only after the deadline, before the end of the evacuation and not near a fault", func() {
		h := flawlessHistory()
		h.Mix = &Mix{EvacuationMs: 3000, Zones: 2}
		h.Zones, h.Stewards = map[string]string{"worker-1": "zone-1", "worker-2": "zone-1"}, map[string]bool{"steward-1": true}
		h.Evacuations = []Evacuation{{Zone: "zone-1", AcknowledgedAt: 10 * time.Second, TerminateSentAt: 20 * time.Second}}
		startAt := func(node string, ms int64) {
			h.Runs = []hollow.RunRecord{{Task: "t.0.0.0", Run: 1, Node: node, StartMs: h.StartMs + ms}}
		}
		startAt("worker-1", 12_900)
		Expect(startsInEvacuatedZones(h)).To(BeEmpty())
		startAt("worker-1", 20_100)
		Expect(startsInEvacuatedZones(h)).To(BeEmpty())
		startAt("worker-1", 15_000)
		Expect(startsInEvacuatedZones(h)).To(HaveLen(1))
		h.Troubles = []Trouble{{Target: "steward-1", Kind: FaultKill, From: 12 * time.Second, To: 13 * time.Second}}
		Expect(startsInEvacuatedZones(h)).To(BeEmpty())
	})

	It("report a tenant only above its limit plus one task, and count an end before a start in the same millisecond", func() {
		h := flawlessHistory()
		h.Mix, h.Calls = &Mix{Features: []Feature{FeatureTenants}}, []Call{{Verb: verbSubmit, Job: "0000000000000991"}}
		h.Runs = nil
		for number := range tenantLimitTasks + 1 {
			h.Runs = append(h.Runs, hollow.RunRecord{Task: fmt.Sprintf("0000000000000991.0.0.%d", number), StartMs: 5, EndMs: 10})
		}
		h.Runs = append(h.Runs, hollow.RunRecord{Task: "0000000000000991.0.1.0", StartMs: 10, EndMs: 20})
		Expect(exceededLimits(h)).To(BeEmpty())
		for number := range h.Runs[:tenantLimitTasks+1] {
			h.Runs[number].EndMs = 11
		}
		Expect(exceededLimits(h)).To(HaveLen(1))
	})

	It("report a lot whose results change, a lot that is unknown, and a lot with an item at two positions", func() {
		lot := Lot{ID: "0000000000000000", Items: 2}
		for _, number := range []int{1, 0} {
			lot.Last = append(lot.Last, LotResult{Item: lot.item(number), State: "completed", Text: expectedText(lot.item(number))})
		}
		lot.Reads = []LotRead{{From: 1, Results: lot.Last[1:]}, {From: 0}}
		Expect(lot.problem(false)).To(BeEmpty())
		lot.Reads = append(lot.Reads, LotRead{From: 0, Results: lot.Last[1:]})
		Expect(lot.problem(false)).To(ContainSubstring("are others at last"))
		lot.Reads = []LotRead{{From: -1}}
		Expect(lot.problem(false)).To(ContainSubstring("is not known"))
		givenUp := Lot{ID: lot.ID, Items: 1, Last: []LotResult{{Item: lot.item(0), State: "dead_letter"}}}
		Expect(givenUp.problem(false)).To(ContainSubstring("dead_letter"))
		Expect(givenUp.problem(true)).To(BeEmpty(), "its route may have been removed")
		lot.Reads, lot.Last = nil, []LotResult{lot.Last[0], lot.Last[0]}
		Expect(lot.problem(false)).To(ContainSubstring("two positions"))
	})

	It("report a broken stream only of a gate without a fault, and a stream that was refused as unknown", func() {
		h := flawlessHistory()
		h.Streams = []StreamCall{{Gate: "gate-1", ID: "s", SentAt: 21 * time.Second, EndedAt: 22 * time.Second, Status: http.StatusOK, IsBroken: true},
			{Gate: "gate-2", ID: "s", Status: http.StatusServiceUnavailable}}
		Expect(badStreams(h)).To(BeEmpty())
		h.Streams[0].Gate = "gate-2"
		h.Streams[1].Status = http.StatusNotFound
		Expect(badStreams(h)).To(HaveLen(2))
	})
})

var _ = Describe("The fake executor of requests", func() {
	send := func(headers map[string]string) *httptest.ResponseRecorder {
		request, answer := httptest.NewRequest(http.MethodPost, "/ask/1", strings.NewReader("prompt")), httptest.NewRecorder()
		for name, value := range headers {
			request.Header.Set(name, value)
		}
		(&engine{id: "e-0"}).ServeHTTP(answer, request)
		return answer
	}

	It("answers with the whole stream, or with the events after Last-Event-Id", func() {
		call := StreamCall{ID: "s", Status: http.StatusOK}
		answer := send(map[string]string{"X-Request-Id": "s", "X-Expected-Executor": "e-0"})
		call.Body = answer.Body.String()
		Expect(call.isWhole()).To(BeTrue())
		rest := send(map[string]string{"X-Request-Id": "s", "X-Expected-Executor": "e-0", "Last-Event-Id": "3"}).Body.String()
		Expect(strings.HasPrefix(rest, "id: 4\n")).To(BeTrue())
		Expect(strings.HasSuffix(call.Body, rest)).To(BeTrue())
	})

	It("refuses a request for another executor", func() {
		Expect(send(map[string]string{"X-Request-Id": "s", "X-Expected-Executor": "e-1"}).Code).To(Equal(http.StatusMisdirectedRequest))
	})

	It("has instances in all zones of the mix", func() {
		layout := NewMixedLayout(MinProcesses, "127.92", &Mix{Features: []Feature{FeatureTier}, Zones: 2})
		zones := map[string]bool{}
		for _, started := range layout.engines() {
			zones[started.zone] = true
		}
		Expect(zones).To(HaveLen(2))
		Expect(slices.Contains(layout.Mix.contracts(), settings.ContractJobs)).To(BeTrue())
	})
})
