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

func committedVersion(version int64, text []byte) *wire.Configuration {
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

func versionOf(versions ...*wire.Configuration) *configcache.Version {
	var current *configcache.Version
	for _, element := range versions {
		current = current.Next(element)
	}
	return current
}

var _ = Describe("changes of a configuration", func() {
	old := committedVersion(3, body(3, routes(40)...))
	changed := func(version int64, index, timeout int) *wire.Configuration {
		all := routes(40)
		all[index] = route(fmt.Sprintf("r-%d", index), timeout)
		return committedVersion(version, body(version, all...))
	}

	It("carry one route, and rebuild the body byte for byte", func() {
		next := changed(5, 7, 4000)
		next.InitialVoters = append(next.InitialVoters, wire.InitialVoters{Service: "t", Voters: []string{"c"}})
		next.Moved = []wire.MovedRoute{{Route: "r-7", Services: []string{"s"}}}
		answer := versionOf(old, next).AnswerTo(&wire.ConfigurationCall{HeldVersion: 3, AcceptsChanges: true})
		Expect(answer.Full).To(BeNil())
		GinkgoWriter.Printf("a change of one route of 40 takes %d bytes, the whole %d\n", size(answer), size(&wire.ConfigurationAnswer{Full: next}))
		Expect(size(answer)).To(BeNumerically("<", 700))
		taken, err := versionOf(old).Apply(sent(answer))
		Expect(err).NotTo(HaveOccurred())
		Expect(taken.Committed).To(Equal(next))
	})

	It("rebuild whatever an operator may send", func() {
		draw := rand.New(rand.NewPCG(1, 2))
		current := versionOf(old)
		for version := int64(4); version < 200; version++ {
			all := routes(20 + draw.IntN(30))
			for range draw.IntN(4) {
				all[draw.IntN(len(all))] = route("x-"+fmt.Sprint(version), draw.IntN(9999))
			}
			draw.Shuffle(draw.IntN(len(all)), func(i, j int) { all[i], all[j] = all[j], all[i] })
			next := committedVersion(version, body(version, all...))
			answer := current.Next(next).AnswerTo(&wire.ConfigurationCall{HeldVersion: version - 1, AcceptsChanges: true})
			taken, err := current.Apply(sent(answer))
			Expect(err).NotTo(HaveOccurred())
			Expect(string(taken.Committed.Body)).To(Equal(string(next.Body)))
			current = taken
		}
	})

	It("lead over several versions, in one answer", func() {
		ahead := versionOf(old, changed(4, 1, 1), changed(5, 2, 2), changed(9, 3, 3))
		answer := ahead.AnswerTo(&wire.ConfigurationCall{HeldVersion: 3, AcceptsChanges: true})
		Expect(answer.Changes).To(HaveLen(3))
		taken, err := versionOf(old).Apply(sent(answer))
		Expect(err).NotTo(HaveOccurred())
		Expect(taken.Committed).To(Equal(ahead.Committed))
		again := taken.AnswerTo(&wire.ConfigurationCall{HeldVersion: 4, AcceptsChanges: true})
		Expect(again.Changes).To(HaveLen(2))
	})

	It("are kept for 32 versions, and the full configuration is sent beyond", func() {
		all := routes(400)
		current := versionOf(committedVersion(3, body(3, all...)))
		for version := range int64(33) {
			all[version] = route(fmt.Sprintf("r-%d", version), 1)
			current = current.Next(committedVersion(4+version, body(4+version, all...)))
		}
		Expect(current.AnswerTo(&wire.ConfigurationCall{HeldVersion: 3, AcceptsChanges: true}).Full).NotTo(BeNil())
		Expect(current.AnswerTo(&wire.ConfigurationCall{HeldVersion: 4, AcceptsChanges: true}).Changes).To(HaveLen(32))
	})

	It("are the full configuration where all of them together are longer than it", func() {
		current := versionOf(old)
		for version := int64(4); version < 9; version++ {
			all := routes(40)
			for index := range 15 {
				all[index] = route(fmt.Sprintf("new-%d-%d", version, index), 1)
			}
			current = current.Next(committedVersion(version, body(version, all...)))
		}
		Expect(current.AnswerTo(&wire.ConfigurationCall{HeldVersion: 7, AcceptsChanges: true}).Changes).To(HaveLen(1))
		Expect(current.AnswerTo(&wire.ConfigurationCall{HeldVersion: 3, AcceptsChanges: true}).Full).NotTo(BeNil())
	})

	It("are not sent over a gap, to one without a base, or to a peer of an earlier version", func() {
		ahead := versionOf(old, changed(5, 1, 1), changed(7, 2, 2))
		for _, call := range []*wire.ConfigurationCall{{HeldVersion: 6, AcceptsChanges: true}, {HeldVersion: 0, AcceptsChanges: true}, {HeldVersion: 5}} {
			answer := ahead.AnswerTo(call)
			Expect(answer.Changes).To(BeEmpty())
			Expect(answer.Full.Version).To(Equal(int64(7)))
		}
		taken, err := versionOf(old).Apply(&wire.ConfigurationAnswer{Full: ahead.Committed})
		Expect(err).NotTo(HaveOccurred())
		Expect(taken.Committed.Version).To(Equal(int64(7)))
	})

	It("that come twice, late or in another order never lead back", func() {
		four, five := changed(4, 1, 1), changed(5, 2, 2)
		first := versionOf(old, four).AnswerTo(&wire.ConfigurationCall{HeldVersion: 3, AcceptsChanges: true})
		second := versionOf(old, four, five).AnswerTo(&wire.ConfigurationCall{HeldVersion: 4, AcceptsChanges: true})
		current := versionOf(old)
		_, err := current.Apply(second)
		Expect(err).To(And(MatchError(configcache.ErrBaseMismatch), MatchError(ContainSubstring("3 is in force"))))
		for _, answer := range []*wire.ConfigurationAnswer{first, second, first, second, {Full: four}, {}} {
			current, err = current.Apply(answer)
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(current.Committed).To(Equal(five))
	})

	It("are refused where the digest differs, the base is another or gone, or a part is beyond it", func() {
		next := changed(5, 7, 4000)
		answer := versionOf(old, next).AnswerTo(&wire.ConfigurationCall{HeldVersion: 3, AcceptsChanges: true})
		current := versionOf(changed(3, 9, 1))
		kept, err := current.Apply(answer)
		Expect(err).To(MatchError(ContainSubstring("is not version 5")))
		Expect(kept).To(BeIdenticalTo(current))
		var none *configcache.Version
		_, err = none.Apply(answer)
		Expect(err).To(HaveOccurred())
		for _, part := range []wire.DeltaPart{{From: 9999, Count: 1}, {From: 1, Count: 1 << 40}, {From: -1, Count: 1}, {From: 1, Count: -1}} {
			wrong := *answer.Changes[0]
			wrong.Parts = []wire.DeltaPart{part}
			_, err = versionOf(old).Apply(&wire.ConfigurationAnswer{Changes: []*wire.ConfigurationDelta{&wrong}})
			Expect(err).To(MatchError(ContainSubstring("not in the configuration's base")))
		}
	})

	It("are the full configuration where nearly all is new", func() {
		var fresh []string
		for number := range 40 {
			fresh = append(fresh, route(fmt.Sprintf("other-%d", number), 1))
		}
		answer := versionOf(old, committedVersion(5, body(5, fresh...))).AnswerTo(&wire.ConfigurationCall{HeldVersion: 3, AcceptsChanges: true})
		Expect(answer.Full).NotTo(BeNil())
	})

	It("of a configuration of 1 MB are as short as those of a small one", func() {
		all := routes(8000)
		big := committedVersion(3, body(3, all...))
		Expect(len(big.Body)).To(BeNumerically(">", 1<<20))
		all[4000] = route("r-4000", 1)
		next := committedVersion(4, body(4, all...))
		answer := versionOf(big, next).AnswerTo(&wire.ConfigurationCall{HeldVersion: 3, AcceptsChanges: true})
		Expect(size(answer)).To(BeNumerically("<", 700))
		taken, err := versionOf(big).Apply(sent(answer))
		Expect(err).NotTo(HaveOccurred())
		Expect(bytes.Equal(taken.Committed.Body, next.Body)).To(BeTrue())
	})
})

var _ = Describe("cutting a configuration", func() {
	It("loses no byte, and cuts around each route", func() {
		text := body(3, route("a", 1), route("b", 2))
		segments := configcache.Segments(text)
		Expect(bytes.Join(segments, nil)).To(Equal(text))
		Expect(segments).To(ContainElement([]byte(route("a", 1))))
	})
})
