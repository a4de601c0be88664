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

// encodedSize is the size of an answer on the wire, in bytes.
func encodedSize(answer *wire.ConfigurationAnswer) int {
	text, err := easyjson.Marshal(answer)
	Expect(err).NotTo(HaveOccurred())
	return len(text)
}

// decoded is an answer after it was encoded and decoded, as a peer receives it.
func decoded(answer *wire.ConfigurationAnswer) *wire.ConfigurationAnswer {
	text, err := easyjson.Marshal(answer)
	Expect(err).NotTo(HaveOccurred())
	received := &wire.ConfigurationAnswer{}
	Expect(easyjson.Unmarshal(text, received)).To(Succeed())
	return received
}

// versionOf is the version that a process holds after the given configurations were committed in turn.
func versionOf(configurations ...*wire.Configuration) *configcache.Version {
	var current *configcache.Version
	for _, committed := range configurations {
		current = current.Next(committed)
	}
	return current
}

var _ = Describe("the deltas in an answer", func() {
	old := committedVersion(3, body(3, routes(40)...))
	changed := func(version int64, index, timeout int) *wire.Configuration {
		all := routes(40)
		all[index] = route(fmt.Sprintf("r-%d", index), timeout)
		return committedVersion(version, body(version, all...))
	}

	It("carry only the changed route, and rebuild the body byte for byte", func() {
		next := changed(5, 7, 4000)
		next.InitialVoters = append(next.InitialVoters, wire.InitialVoters{Service: "t", Voters: []string{"c"}})
		next.Moved = []wire.MovedRoute{{Route: "r-7", Services: []string{"s"}}}
		answer := versionOf(old, next).AnswerTo(&wire.ConfigurationCall{HeldVersion: 3, AcceptsChanges: true})
		Expect(answer.Full).To(BeNil())
		GinkgoWriter.Printf("the delta for one changed route of 40 takes %d bytes, the full configuration %d\n", encodedSize(answer), encodedSize(&wire.ConfigurationAnswer{Full: next}))
		Expect(encodedSize(answer)).To(BeNumerically("<", 700))
		applied, err := versionOf(old).Apply(decoded(answer))
		Expect(err).NotTo(HaveOccurred())
		Expect(applied.Committed).To(Equal(next))
	})

	It("rebuild the body after any mix of added, changed and reordered routes", func() {
		random := rand.New(rand.NewPCG(1, 2))
		current := versionOf(old)
		for version := int64(4); version < 200; version++ {
			all := routes(20 + random.IntN(30))
			for range random.IntN(4) {
				all[random.IntN(len(all))] = route("x-"+fmt.Sprint(version), random.IntN(9999))
			}
			random.Shuffle(random.IntN(len(all)), func(i, j int) { all[i], all[j] = all[j], all[i] })
			next := committedVersion(version, body(version, all...))
			answer := current.Next(next).AnswerTo(&wire.ConfigurationCall{HeldVersion: version - 1, AcceptsChanges: true})
			applied, err := current.Apply(decoded(answer))
			Expect(err).NotTo(HaveOccurred())
			Expect(string(applied.Committed.Body)).To(Equal(string(next.Body)))
			current = applied
		}
	})

	It("may span several versions", func() {
		ahead := versionOf(old, changed(4, 1, 1), changed(5, 2, 2), changed(9, 3, 3))
		answer := ahead.AnswerTo(&wire.ConfigurationCall{HeldVersion: 3, AcceptsChanges: true})
		Expect(answer.Changes).To(HaveLen(3))
		applied, err := versionOf(old).Apply(decoded(answer))
		Expect(err).NotTo(HaveOccurred())
		Expect(applied.Committed).To(Equal(ahead.Committed))
		again := applied.AnswerTo(&wire.ConfigurationCall{HeldVersion: 4, AcceptsChanges: true})
		Expect(again.Changes).To(HaveLen(2))
	})

	It("are kept for 32 versions, beyond which the full configuration is sent", func() {
		all := routes(400)
		current := versionOf(committedVersion(3, body(3, all...)))
		for version := range int64(33) {
			all[version] = route(fmt.Sprintf("r-%d", version), 1)
			current = current.Next(committedVersion(4+version, body(4+version, all...)))
		}
		Expect(current.AnswerTo(&wire.ConfigurationCall{HeldVersion: 3, AcceptsChanges: true}).Full).NotTo(BeNil())
		Expect(current.AnswerTo(&wire.ConfigurationCall{HeldVersion: 4, AcceptsChanges: true}).Changes).To(HaveLen(32))
	})

	It("are replaced by the full configuration if together they are longer", func() {
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

	It("are not sent for an unknown base, without a base, or to a peer that doesn't accept them", func() {
		ahead := versionOf(old, changed(5, 1, 1), changed(7, 2, 2))
		for _, call := range []*wire.ConfigurationCall{{HeldVersion: 6, AcceptsChanges: true}, {HeldVersion: 0, AcceptsChanges: true}, {HeldVersion: 5}} {
			answer := ahead.AnswerTo(call)
			Expect(answer.Changes).To(BeEmpty())
			Expect(answer.Full.Version).To(Equal(int64(7)))
		}
		applied, err := versionOf(old).Apply(&wire.ConfigurationAnswer{Full: ahead.Committed})
		Expect(err).NotTo(HaveOccurred())
		Expect(applied.Committed.Version).To(Equal(int64(7)))
	})

	It("never lead to an older version when they come twice, late or out of order", func() {
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

	It("are rejected if the digest differs, the base is missing or different, or a part refers beyond the base", func() {
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

	It("are replaced by the full configuration if nearly all routes are new", func() {
		var newRoutes []string
		for number := range 40 {
			newRoutes = append(newRoutes, route(fmt.Sprintf("other-%d", number), 1))
		}
		answer := versionOf(old, committedVersion(5, body(5, newRoutes...))).AnswerTo(&wire.ConfigurationCall{HeldVersion: 3, AcceptsChanges: true})
		Expect(answer.Full).NotTo(BeNil())
	})

	It("are as short for a configuration of 1 MB as for a small one", func() {
		all := routes(8000)
		big := committedVersion(3, body(3, all...))
		Expect(len(big.Body)).To(BeNumerically(">", 1<<20))
		all[4000] = route("r-4000", 1)
		next := committedVersion(4, body(4, all...))
		answer := versionOf(big, next).AnswerTo(&wire.ConfigurationCall{HeldVersion: 3, AcceptsChanges: true})
		Expect(encodedSize(answer)).To(BeNumerically("<", 700))
		applied, err := versionOf(big).Apply(decoded(answer))
		Expect(err).NotTo(HaveOccurred())
		Expect(bytes.Equal(applied.Committed.Body, next.Body)).To(BeTrue())
	})
})

var _ = Describe("the segments of a configuration", func() {
	It("join to the same bytes, and hold each route on its own", func() {
		text := body(3, route("a", 1), route("b", 2))
		segments := configcache.Segments(text)
		Expect(bytes.Join(segments, nil)).To(Equal(text))
		Expect(segments).To(ContainElement([]byte(route("a", 1))))
	})
})
