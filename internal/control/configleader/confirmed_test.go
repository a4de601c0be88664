package configleader_test

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/juju/errors"
	"github.com/mailru/easyjson"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/configleader"
	"gannetline/internal/platform/logging"
)

// operated is a leader, its disk, and calls to it.
type operated struct {
	leadership *scriptedLeadership
	kept       map[string][]byte
	leader     *configleader.Leader
}

func newOperated() *operated {
	o := &operated{leadership: &scriptedLeadership{hasLease: true}, kept: map[string][]byte{}}
	o.takeOver()
	return o
}

// takeOver is a new leader of what is on disk.
func (o *operated) takeOver() {
	o.leader = configleader.New(logging.Silent(), func(*wire.Configuration) {})
	Expect(o.leader.Open(o.leadership, pairsOf(o.kept))).To(Succeed())
}

// send calls without waiting for commits.
func (o *operated) send(base int64, body []byte) *wire.ClientAnswer {
	response := &wire.ClientAnswer{}
	o.leader.Replace(&wire.ClientCall{Base: base, Body: body}, func(answer wire.ClientAnswer) { *response = answer })
	return response
}

func (o *operated) replace(base int64, body []byte) int {
	response := o.send(base, body)
	o.leadership.commitInto(o.kept)
	return response.Status
}

// grow confirms versions 1 to count, each on the one before.
func (o *operated) grow(count int) {
	for version := 1; version <= count; version++ {
		Expect(o.replace(int64(version-1), configurationBody(version, "s"))).To(Equal(200))
	}
}

var _ = Describe("confirmed versions", func() {
	It("are confirmed again after 400 other changes and at a new leader, and no other body is", func() {
		o := newOperated()
		o.grow(401)
		o.takeOver()
		for version := 1; version <= 401; version++ {
			Expect(o.replace(int64(version-1), configurationBody(version, "s"))).To(Equal(200))
			Expect(o.replace(int64(version-1), append(configurationBody(version, "s"), '\n'))).To(Equal(200))
		}
		for _, version := range []int{1, 200, 401} {
			Expect(o.replace(int64(version-1), configurationBody(version, "other"))).To(Equal(412))
			Expect(o.replace(401, configurationBody(version, "other"))).To(Equal(400))
		}
	})

	It("take one small record for each change, and leave the others alone", func() {
		o := newOperated()
		o.grow(300)
		o.send(300, configurationBody(301, "s"))
		Expect(o.leadership.ops).To(HaveLen(2))
		GinkgoWriter.Printf("the record of a confirmed version takes %d bytes with its name\n", len(o.leadership.ops[1].Name)+len(o.leadership.ops[1].Value))
		Expect(len(o.leadership.ops[1].Value)).To(BeNumerically("<", 120))
		Expect(len(o.leadership.ops[0].Value)).To(BeNumerically("<", 400))
	})

	It("are bounded: the oldest go, and what is sent of them again gets no clear answer", func() {
		o := newOperated()
		o.grow(2100)
		Expect(o.kept).To(HaveLen(2049))
		o.takeOver()
		Expect(o.replace(51, configurationBody(52, "s"))).To(Equal(503))
		Expect(o.replace(52, configurationBody(53, "s"))).To(Equal(200))
		Expect(o.replace(2100, configurationBody(52, "s"))).To(Equal(400))
	})

	It("are read in the form of an earlier version, and written as records with the next change", func() {
		earlier := &wire.Configuration{Version: 164, Body: configurationBody(164, "s")}
		for version := 101; version <= 164; version++ {
			sum := sha256.Sum256(configurationBody(version, "s"))
			earlier.Confirmed = append(earlier.Confirmed, wire.ConfirmedVersion{Version: int64(version), Digest: hex.EncodeToString(sum[:8])})
		}
		value, err := easyjson.Marshal(earlier)
		Expect(err).NotTo(HaveOccurred())
		o := newOperated()
		o.kept["fact"] = value
		for range 2 {
			o.takeOver()
			Expect(o.replace(100, configurationBody(101, "s"))).To(Equal(200))
			Expect(o.replace(100, configurationBody(101, "other"))).To(Equal(412))
			Expect(o.replace(99, configurationBody(100, "s"))).To(Equal(503))
			o.replace(164, configurationBody(165, "s"))
		}
		Expect(string(o.kept["fact"])).NotTo(ContainSubstring("taken"))
		Expect(o.kept).To(HaveLen(66))
	})

	It("that can't be read are an error that names the record", func() {
		o := newOperated()
		Expect(o.leader.Open(o.leadership, []wire.Op{{Name: "confirmed/7", Value: []byte("{")}})).To(MatchError(ContainSubstring("confirmed/7")))
	})
})

var _ = Describe("orders under way at once", func() {
	It("wait for their turn: of eight one is taken, and all get a clear answer with its commit", func() {
		o := newOperated()
		o.grow(3)
		var response []*wire.ClientAnswer
		for number := range 8 {
			response = append(response, o.send(3, configurationBody(4+number%4, fmt.Sprintf("s%d", number%4))))
		}
		o.leadership.commitInto(o.kept)
		var statuses []int
		for _, answer := range response {
			statuses = append(statuses, answer.Status)
		}
		Expect(statuses).To(Equal([]int{200, 412, 412, 412, 200, 412, 412, 412}))
	})

	It("are taken one after the other where each builds on the one before", func() {
		o := newOperated()
		var response []*wire.ClientAnswer
		for number := range 8 {
			response = append(response, o.send(int64(number), configurationBody(number+1, "s")))
		}
		o.leadership.commitInto(o.kept)
		for _, answer := range response {
			Expect(answer.Status).To(Equal(200))
		}
	})

	It("are not taken where the leadership ends, and none is answered twice", func() {
		o := newOperated()
		answers, unclear := 0, 0
		for number := range 40 {
			o.leader.Replace(&wire.ClientCall{Base: 0, Body: configurationBody(number+1, "s")}, func(answer wire.ClientAnswer) {
				answers++
				Expect(answer.NotLeader).To(BeTrue())
				if answer.OutcomeUnknown {
					unclear++
				}
			})
		}
		Expect(answers).To(Equal(40 - 33))
		lost := o.leadership.pending
		o.leader.Close()
		for _, done := range lost {
			done(errors.New("lost"))
		}
		Expect(answers).To(Equal(40))
		Expect(unclear).To(Equal(1))
	})

	DescribeTable("are clear once sent again, to a new leader and after 400 changes, if the leadership ended during the commit", func(isStored bool, others int) {
		o := newOperated()
		o.grow(400)
		orders := make([][]byte, 8)
		for number := range orders {
			orders[number] = configurationBody(401, fmt.Sprintf("s%d", number))
		}
		first := o.send(400, orders[0])
		for _, order := range orders[1:] {
			o.send(400, order)
		}
		if isStored {
			for _, op := range o.leadership.ops {
				o.kept[op.Name] = op.Value
			}
		}
		lost := o.leadership.pending
		o.leader.Close()
		o.leadership.pending = nil
		lost[0](errors.New("lost"))
		Expect(*first).To(Equal(wire.ClientAnswer{NotLeader: true, OutcomeUnknown: true}))
		o.takeOver()
		taken := 0
		if !isStored {
			taken = 3
			Expect(o.replace(400, orders[taken])).To(Equal(200))
		}
		for version := 402; version < 402+others; version++ {
			Expect(o.replace(int64(version-1), configurationBody(version, "s"))).To(Equal(200))
		}
		for number, order := range orders {
			Expect(o.replace(400, order)).To(Equal(map[bool]int{true: 200, false: 412}[number == taken]))
		}
	},
		Entry("and the change was stored", true, 0),
		Entry("and the change was not stored", false, 0),
		Entry("stored, with 400 others since", true, 400),
		Entry("not stored, with 400 others since", false, 400),
	)

	It("that settle after the key was taken over again change nothing there", func() {
		o := newOperated()
		response := o.send(0, configurationBody(1, "s"))
		late := o.leadership.pending
		o.leadership = &scriptedLeadership{hasLease: true}
		Expect(o.leader.Open(o.leadership, nil)).To(Succeed())
		late[0](nil)
		Expect(*response).To(Equal(wire.ClientAnswer{NotLeader: true, OutcomeUnknown: true}))
		Expect(o.replace(0, configurationBody(2, "s"))).To(Equal(200))
	})
})

var _ = Describe("state that grows with changes", func() {
	It("is bounded where routes move between services and are dropped", func() {
		o := newOperated()
		committed := func() *wire.Configuration {
			read := &wire.Configuration{}
			Expect(easyjson.Unmarshal(o.kept["fact"], read)).To(Succeed())
			return read
		}
		text := func(version, route int, service string) []byte {
			var routes []string
			for number := range 10 {
				routes = append(routes, fmt.Sprintf(`{"name":"r%d","host":"h","path-prefix":"/%d","timeout-ms":1,"service":"%s"}`, route+number, number, service))
			}
			return []byte(fmt.Sprintf(`{"config-version":%d,"route-list":[%s],"service-list":[{"name":"%s"}]}`, version, strings.Join(routes, ","), service))
		}
		for version := 1; version <= 800; version++ {
			Expect(o.replace(int64(version-1), text(version, version/2*10, []string{"a", "b"}[version%2]))).To(Equal(200))
		}
		Expect(len(committed().Moved)).To(BeNumerically("<=", 2048))
		Expect(committed().Moved).To(ContainElement(wire.MovedRoute{Route: "r3990", Services: []string{"a"}}))
		Expect(committed().InitialVoters).To(HaveLen(2))
		for version := 801; version <= 840; version++ {
			Expect(o.replace(int64(version-1), text(version, 0, fmt.Sprintf("s%d", version)))).To(Equal(200))
		}
		for _, moved := range committed().Moved {
			Expect(len(moved.Services)).To(BeNumerically("<=", 16))
		}
	})
})
