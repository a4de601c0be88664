package configcache_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strings"

	"github.com/mailru/easyjson"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/configcache"
	"gannetline/internal/cluster/peerapi/wire"
)

func route(name string, timeout int) string {
	return fmt.Sprintf(`{"name":"%s","host":"h.example","path-prefix":"/%s/","route-type":"non_idempotent","timeout-ms":%d,"service":"s","new":["{,\"]"]}`,
		name, name, timeout)
}

func body(version int64, routes ...string) []byte {
	return []byte(fmt.Sprintf(`{ "config-version":%d, "route-list":[%s], "service-list":[{"name":"s"} ],"limits":{"max-header-bytes":16384},"later":"ü"
}`,
		version, strings.Join(routes, ",\n ")))
}

func routes(count int) []string {
	var all []string
	for number := range count {
		all = append(all, route(fmt.Sprintf("r-%d", number), 3000))
	}
	return all
}

func fact(version int64, text []byte) *wire.Configuration {
	return &wire.Configuration{Version: version, Body: text, InitialVoters: []wire.InitialVoters{{Service: "s", Voters: []string{"a", "b"}}}}
}

func size(answer *wire.ConfigurationAnswer) int {
	text, err := easyjson.Marshal(answer)
	Expect(err).NotTo(HaveOccurred())
	return len(text)
}

// sent is the answer as it arrives over the wire.
func sent(answer *wire.ConfigurationAnswer) *wire.ConfigurationAnswer {
	text, err := easyjson.Marshal(answer)
	Expect(err).NotTo(HaveOccurred())
	arrived := &wire.ConfigurationAnswer{}
	Expect(easyjson.Unmarshal(text, arrived)).To(Succeed())
	return arrived
}

func versionOf(facts ...*wire.Configuration) *configcache.Version {
	var held *configcache.Version
	for _, one := range facts {
		held = held.Follow(one)
	}
	return held
}

var _ = Describe("changes of a plan", func() {
	old := fact(3, body(3, routes(40)...))
	changed := func(version int64, place, timeout int) *wire.Configuration {
		all := routes(40)
		all[place] = route(fmt.Sprintf("r-%d", place), timeout)
		return fact(version, body(version, all...))
	}

	It("carry one route, and rebuild the body byte for byte", func() {
		next := changed(5, 7, 4000)
		next.InitialVoters = append(next.InitialVoters, wire.InitialVoters{Service: "t", Voters: []string{"c"}})
		next.Moved = []wire.MovedRoute{{Route: "r-7", Services: []string{"s"}}}
		answer := versionOf(old, next).Answer(&wire.ConfigurationCall{HeldVersion: 3, AcceptsChanges: true})
		Expect(answer.Full).To(BeNil())
		GinkgoWriter.Printf("a change of one route of 40 takes %d bytes, the whole %d\n", size(answer), size(&wire.ConfigurationAnswer{Full: next}))
		Expect(size(answer)).To(BeNumerically("<", 700))
		taken, err := versionOf(old).Take(sent(answer))
		Expect(err).NotTo(HaveOccurred())
		Expect(taken.Fact).To(Equal(next))
	})

	It("rebuild whatever an operator may send", func() {
		draw := rand.New(rand.NewPCG(1, 2))
		held := versionOf(old)
		for version := int64(4); version < 200; version++ {
			all := routes(20 + draw.IntN(30))
			for range draw.IntN(4) {
				all[draw.IntN(len(all))] = route("x-"+fmt.Sprint(version), draw.IntN(9999))
			}
			draw.Shuffle(draw.IntN(len(all)), func(i, j int) { all[i], all[j] = all[j], all[i] })
			next := fact(version, body(version, all...))
			answer := held.Follow(next).Answer(&wire.ConfigurationCall{HeldVersion: version - 1, AcceptsChanges: true})
			taken, err := held.Take(sent(answer))
			Expect(err).NotTo(HaveOccurred())
			Expect(string(taken.Fact.Body)).To(Equal(string(next.Body)))
			held = taken
		}
	})

	It("lead over several versions, in one answer", func() {
		ahead := versionOf(old, changed(4, 1, 1), changed(5, 2, 2), changed(9, 3, 3))
		answer := ahead.Answer(&wire.ConfigurationCall{HeldVersion: 3, AcceptsChanges: true})
		Expect(answer.Changes).To(HaveLen(3))
		taken, err := versionOf(old).Take(sent(answer))
		Expect(err).NotTo(HaveOccurred())
		Expect(taken.Fact).To(Equal(ahead.Fact))
		again := taken.Answer(&wire.ConfigurationCall{HeldVersion: 4, AcceptsChanges: true})
		Expect(again.Changes).To(HaveLen(2))
	})

	It("are kept for 32 versions, and the whole is sent beyond", func() {
		all := routes(400)
		held := versionOf(fact(3, body(3, all...)))
		for version := range int64(33) {
			all[version] = route(fmt.Sprintf("r-%d", version), 1)
			held = held.Follow(fact(4+version, body(4+version, all...)))
		}
		Expect(held.Answer(&wire.ConfigurationCall{HeldVersion: 3, AcceptsChanges: true}).Full).NotTo(BeNil())
		Expect(held.Answer(&wire.ConfigurationCall{HeldVersion: 4, AcceptsChanges: true}).Changes).To(HaveLen(32))
	})

	It("are the whole where all of them together are longer than it", func() {
		held := versionOf(old)
		for version := int64(4); version < 9; version++ {
			all := routes(40)
			for place := range 15 {
				all[place] = route(fmt.Sprintf("new-%d-%d", version, place), 1)
			}
			held = held.Follow(fact(version, body(version, all...)))
		}
		Expect(held.Answer(&wire.ConfigurationCall{HeldVersion: 7, AcceptsChanges: true}).Changes).To(HaveLen(1))
		Expect(held.Answer(&wire.ConfigurationCall{HeldVersion: 3, AcceptsChanges: true}).Full).NotTo(BeNil())
	})

	It("are not sent over a gap, to one without a base, or to a peer of the older form", func() {
		ahead := versionOf(old, changed(5, 1, 1), changed(7, 2, 2))
		for _, call := range []*wire.ConfigurationCall{{HeldVersion: 6, AcceptsChanges: true}, {HeldVersion: 0, AcceptsChanges: true}, {HeldVersion: 5}} {
			answer := ahead.Answer(call)
			Expect(answer.Changes).To(BeEmpty())
			Expect(answer.Full.Version).To(Equal(int64(7)))
		}
		taken, err := versionOf(old).Take(&wire.ConfigurationAnswer{Full: ahead.Fact})
		Expect(err).NotTo(HaveOccurred())
		Expect(taken.Fact.Version).To(Equal(int64(7)))
	})

	It("that come twice, late or in another order never lead back", func() {
		four, five := changed(4, 1, 1), changed(5, 2, 2)
		first := versionOf(old, four).Answer(&wire.ConfigurationCall{HeldVersion: 3, AcceptsChanges: true})
		second := versionOf(old, four, five).Answer(&wire.ConfigurationCall{HeldVersion: 4, AcceptsChanges: true})
		held := versionOf(old)
		_, err := held.Take(second)
		Expect(err).To(MatchError(ContainSubstring("3 is held")))
		for _, answer := range []*wire.ConfigurationAnswer{first, second, first, second, {Full: four}, {}} {
			held, err = held.Take(answer)
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(held.Fact).To(Equal(five))
	})

	It("are refused where the digest differs, the base is another or gone, or a part is beyond it", func() {
		next := changed(5, 7, 4000)
		answer := versionOf(old, next).Answer(&wire.ConfigurationCall{HeldVersion: 3, AcceptsChanges: true})
		held := versionOf(changed(3, 9, 1))
		kept, err := held.Take(answer)
		Expect(err).To(MatchError(ContainSubstring("is not version 5")))
		Expect(kept).To(BeIdenticalTo(held))
		var none *configcache.Version
		_, err = none.Take(answer)
		Expect(err).To(HaveOccurred())
		for _, part := range []wire.DeltaPart{{From: 9999, Count: 1}, {From: 1, Count: 1 << 40}, {From: -1, Count: 1}, {From: 1, Count: -1}} {
			wrong := *answer.Changes[0]
			wrong.Parts = []wire.DeltaPart{part}
			_, err = versionOf(old).Take(&wire.ConfigurationAnswer{Changes: []*wire.ConfigurationDelta{&wrong}})
			Expect(err).To(MatchError(ContainSubstring("not in the plan's base")))
		}
	})

	It("are the whole where nearly all is new", func() {
		var fresh []string
		for number := range 40 {
			fresh = append(fresh, route(fmt.Sprintf("other-%d", number), 1))
		}
		answer := versionOf(old, fact(5, body(5, fresh...))).Answer(&wire.ConfigurationCall{HeldVersion: 3, AcceptsChanges: true})
		Expect(answer.Full).NotTo(BeNil())
	})

	It("of a plan of 1 MB are as short as those of a small one", func() {
		all := routes(8000)
		big := fact(3, body(3, all...))
		Expect(len(big.Body)).To(BeNumerically(">", 1<<20))
		all[4000] = route("r-4000", 1)
		next := fact(4, body(4, all...))
		answer := versionOf(big, next).Answer(&wire.ConfigurationCall{HeldVersion: 3, AcceptsChanges: true})
		Expect(size(answer)).To(BeNumerically("<", 700))
		taken, err := versionOf(big).Take(sent(answer))
		Expect(err).NotTo(HaveOccurred())
		Expect(bytes.Equal(taken.Fact.Body, next.Body)).To(BeTrue())
	})
})

var _ = Describe("cutting a plan", func() {
	It("loses no byte, and cuts around each route", func() {
		text := body(3, route("a", 1), route("b", 2))
		pieces := configcache.Pieces(text)
		Expect(bytes.Join(pieces, nil)).To(Equal(text))
		Expect(pieces).To(ContainElement([]byte(route("a", 1))))
	})
})
