package configleader_test

import (
	"github.com/juju/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/configleader"
	"gannetline/internal/platform/logging"
)

var _ = Describe("the order to empty a zone", func() {
	var leadership *scriptedLeadership
	var stored map[string][]byte
	var leader *configleader.Leader
	var published []*wire.Evacuations
	var answers []wire.ClientAnswer
	answer := func(received wire.ClientAnswer) { answers = append(answers, received) }
	open := func() {
		published = nil
		leader = configleader.New(logging.Silent(), func(*wire.Configuration) {}, configleader.WithEvacuations(func(list *wire.Evacuations) {
			published = append(published, list)
		}))
		Expect(leader.Open(leadership, listPairs(stored))).To(Succeed())
	}
	evacuate := func(zone string) { leader.Evacuate(&wire.ClientCall{ID: zone}, answer) }
	end := func(zone string) { leader.EndEvacuation(&wire.ClientCall{ID: zone}, answer) }
	zones := func() []string {
		var names []string
		for _, zone := range published[len(published)-1].Zones {
			names = append(names, zone.Zone)
		}
		return names
	}
	BeforeEach(func() {
		leadership, stored, answers = &scriptedLeadership{hasLease: true}, map[string][]byte{}, nil
		open()
	})

	It("is answered and published once it is durable, and is kept after a change of leader", func() {
		evacuate("a")
		Expect(answers).To(BeEmpty())
		Expect(published).To(BeEmpty())
		leadership.commitInto(stored)
		Expect(answers).To(Equal([]wire.ClientAnswer{{Status: 200}}))
		Expect(published).To(Equal([]*wire.Evacuations{{Number: 1, Zones: []wire.EvacuatedZone{{Zone: "a", SinceMs: 1000}}}}))
		open()
		Expect(zones()).To(Equal([]string{"a"}))
		leader.RetrieveEvacuations(answer)
		Expect(string(answers[1].Body)).To(Equal(`{"n":1,"z":[{"z":"a","t":1000}]}`))
	})

	It("has no effect when repeated, and increases the number with each change", func() {
		evacuate("a")
		leadership.commitInto(stored)
		evacuate("a")
		end("b")
		Expect(answers).To(HaveLen(3))
		Expect(leadership.pending).To(BeEmpty())
		for _, step := range []func(){func() { evacuate("b") }, func() { end("a") }, func() { end("b") }} {
			step()
			leadership.commitInto(stored)
		}
		Expect(published).To(HaveLen(4))
		Expect(published[3]).To(Equal(&wire.Evacuations{Number: 4, Zones: []wire.EvacuatedZone{}}))
	})

	It("is queued while another order or a configuration is being committed", func() {
		evacuate("a")
		end("a")
		leader.Replace(&wire.ClientCall{Body: []byte(`{"config-version":1}`)}, answer)
		evacuate("b")
		Expect(answers).To(BeEmpty())
		leadership.commitInto(stored)
		Expect(answers).To(HaveLen(4))
		Expect(zones()).To(Equal([]string{"b"}))
	})

	It("has an unknown outcome if the leadership is lost during its commit, and is not carried out if it was queued", func() {
		evacuate("a")
		evacuate("b")
		pending := leadership.pending
		leader.Close()
		for _, done := range pending {
			done(errors.New("lost"))
		}
		Expect(answers).To(ConsistOf(wire.ClientAnswer{NotLeader: true}, wire.ClientAnswer{NotLeader: true, OutcomeUnknown: true}))
		Expect(published).To(BeEmpty())
	})

	It("is answered NotLeader without a lease, and causes an error if its record is damaged", func() {
		evacuate("a")
		leadership.commitInto(stored)
		leadership.hasLease = false
		evacuate("a")
		end("b")
		leader.RetrieveEvacuations(answer)
		for _, received := range answers[1:] {
			Expect(received.NotLeader).To(BeTrue())
		}
		Expect(leader.Open(leadership, []wire.Op{{Name: "evacuations", Value: []byte("[")}})).To(MatchError(ContainSubstring("evacuations")))
	})
})
