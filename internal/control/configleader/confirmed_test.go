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

// leaderFixture is a leader with its stored records and helpers that call it.
type leaderFixture struct {
	leadership *scriptedLeadership
	stored     map[string][]byte
	leader     *configleader.Leader
}

func newLeaderFixture() *leaderFixture {
	f := &leaderFixture{leadership: &scriptedLeadership{hasLease: true}, stored: map[string][]byte{}}
	f.changeLeader()
	return f
}

// changeLeader replaces the leader by a new one that reads the stored records.
func (f *leaderFixture) changeLeader() {
	f.leader = configleader.New(logging.Silent(), func(*wire.Configuration) {})
	Expect(f.leader.Open(f.leadership, listPairs(f.stored))).To(Succeed())
}

// send calls Replace without completing the commit. It returns the answer, which is filled in later.
func (f *leaderFixture) send(base int64, body []byte) *wire.ClientAnswer {
	response := &wire.ClientAnswer{}
	f.leader.Replace(&wire.ClientCall{Base: base, Body: body}, func(answer wire.ClientAnswer) { *response = answer })
	return response
}

// replace calls Replace, completes all commits and returns the status of the answer.
func (f *leaderFixture) replace(base int64, body []byte) int {
	response := f.send(base, body)
	f.leadership.commitInto(f.stored)
	return response.Status
}

// commitVersions commits versions 1 to count, each with the version before as its base.
func (f *leaderFixture) commitVersions(count int) {
	for version := 1; version <= count; version++ {
		Expect(f.replace(int64(version-1), newBody(version, "s"))).To(Equal(200))
	}
}

var _ = Describe("confirmed versions", func() {
	It("are confirmed again by a new leader after 400 other changes, but only with the same body", func() {
		f := newLeaderFixture()
		f.commitVersions(401)
		f.changeLeader()
		for version := 1; version <= 401; version++ {
			Expect(f.replace(int64(version-1), newBody(version, "s"))).To(Equal(200))
			Expect(f.replace(int64(version-1), append(newBody(version, "s"), '\n'))).To(Equal(200))
		}
		for _, version := range []int{1, 200, 401} {
			Expect(f.replace(int64(version-1), newBody(version, "other"))).To(Equal(412))
			Expect(f.replace(401, newBody(version, "other"))).To(Equal(400))
		}
	})

	It("add one small record per change and rewrite no other", func() {
		f := newLeaderFixture()
		f.commitVersions(300)
		f.send(300, newBody(301, "s"))
		Expect(f.leadership.ops).To(HaveLen(2))
		GinkgoWriter.Printf("the record of a confirmed version takes %d bytes with its name\n", len(f.leadership.ops[1].Name)+len(f.leadership.ops[1].Value))
		Expect(len(f.leadership.ops[1].Value)).To(BeNumerically("<", 120))
		Expect(len(f.leadership.ops[0].Value)).To(BeNumerically("<", 400))
	})

	It("are limited in number, and a repeated change whose record was dropped is answered 503", func() {
		f := newLeaderFixture()
		f.commitVersions(2100)
		Expect(f.stored).To(HaveLen(2049))
		f.changeLeader()
		Expect(f.replace(51, newBody(52, "s"))).To(Equal(503))
		Expect(f.replace(52, newBody(53, "s"))).To(Equal(200))
		Expect(f.replace(2100, newBody(52, "s"))).To(Equal(400))
	})

	It("are read in the older format, and written as records with the next change", func() {
		legacy := &wire.Configuration{Version: 164, Body: newBody(164, "s")}
		for version := 101; version <= 164; version++ {
			sum := sha256.Sum256(newBody(version, "s"))
			legacy.Confirmed = append(legacy.Confirmed, wire.ConfirmedVersion{Version: int64(version), Digest: hex.EncodeToString(sum[:8])})
		}
		value, err := easyjson.Marshal(legacy)
		Expect(err).NotTo(HaveOccurred())
		f := newLeaderFixture()
		f.stored["fact"] = value
		for range 2 {
			f.changeLeader()
			Expect(f.replace(100, newBody(101, "s"))).To(Equal(200))
			Expect(f.replace(100, newBody(101, "other"))).To(Equal(412))
			Expect(f.replace(99, newBody(100, "s"))).To(Equal(503))
			f.replace(164, newBody(165, "s"))
		}
		Expect(string(f.stored["fact"])).NotTo(ContainSubstring("taken"))
		Expect(f.stored).To(HaveLen(66))
	})

	It("cause an error that names the record if they can't be decoded", func() {
		f := newLeaderFixture()
		Expect(f.leader.Open(f.leadership, []wire.Op{{Name: "confirmed/7", Value: []byte("{")}})).To(MatchError(ContainSubstring("confirmed/7")))
	})
})

var _ = Describe("concurrent changes", func() {
	It("with the same base are queued, and all are answered once one of them is committed", func() {
		f := newLeaderFixture()
		f.commitVersions(3)
		var answers []*wire.ClientAnswer
		for number := range 8 {
			answers = append(answers, f.send(3, newBody(4+number%4, fmt.Sprintf("s%d", number%4))))
		}
		f.leadership.commitInto(f.stored)
		var statuses []int
		for _, answer := range answers {
			statuses = append(statuses, answer.Status)
		}
		Expect(statuses).To(Equal([]int{200, 412, 412, 412, 200, 412, 412, 412}))
	})

	It("are committed one after the other if each is based on the one before", func() {
		f := newLeaderFixture()
		var answers []*wire.ClientAnswer
		for number := range 8 {
			answers = append(answers, f.send(int64(number), newBody(number+1, "s")))
		}
		f.leadership.commitInto(f.stored)
		for _, answer := range answers {
			Expect(answer.Status).To(Equal(200))
		}
	})

	It("are each answered NotLeader exactly once if the leadership ends", func() {
		f := newLeaderFixture()
		answerCount, unknownOutcomes := 0, 0
		for number := range 40 {
			f.leader.Replace(&wire.ClientCall{Base: 0, Body: newBody(number+1, "s")}, func(answer wire.ClientAnswer) {
				answerCount++
				Expect(answer.NotLeader).To(BeTrue())
				if answer.OutcomeUnknown {
					unknownOutcomes++
				}
			})
		}
		Expect(answerCount).To(Equal(40 - 33))
		lost := f.leadership.pending
		f.leader.Close()
		for _, done := range lost {
			done(errors.New("lost"))
		}
		Expect(answerCount).To(Equal(40))
		Expect(unknownOutcomes).To(Equal(1))
	})

	// A leader loses its leadership during a commit, so the operators don't know whether their changes were committed. They repeat the changes
	// at the new leader.
	DescribeTable("get a definite answer from the new leader if the old leadership ended during the commit", func(isStored bool, others int) {
		f := newLeaderFixture()
		f.commitVersions(400)
		bodies := make([][]byte, 8)
		for number := range bodies {
			bodies[number] = newBody(401, fmt.Sprintf("s%d", number))
		}
		first := f.send(400, bodies[0])
		for _, body := range bodies[1:] {
			f.send(400, body)
		}
		if isStored {
			for _, op := range f.leadership.ops {
				f.stored[op.Name] = op.Value
			}
		}
		lost := f.leadership.pending
		f.leader.Close()
		f.leadership.pending = nil
		lost[0](errors.New("lost"))
		Expect(*first).To(Equal(wire.ClientAnswer{NotLeader: true, OutcomeUnknown: true}))
		f.changeLeader()
		committedNumber := 0
		if !isStored {
			committedNumber = 3
			Expect(f.replace(400, bodies[committedNumber])).To(Equal(200))
		}
		for version := 402; version < 402+others; version++ {
			Expect(f.replace(int64(version-1), newBody(version, "s"))).To(Equal(200))
		}
		for number, body := range bodies {
			Expect(f.replace(400, body)).To(Equal(map[bool]int{true: 200, false: 412}[number == committedNumber]))
		}
	},
		Entry("and the change was stored", true, 0),
		Entry("and the change was not stored", false, 0),
		Entry("and the change was stored and 400 others followed", true, 400),
		Entry("and the change was not stored and 400 others followed", false, 400),
	)

	It("have no effect if their commit completes after the next leadership began", func() {
		f := newLeaderFixture()
		response := f.send(0, newBody(1, "s"))
		late := f.leadership.pending
		f.leadership = &scriptedLeadership{hasLease: true}
		Expect(f.leader.Open(f.leadership, nil)).To(Succeed())
		late[0](nil)
		Expect(*response).To(Equal(wire.ClientAnswer{NotLeader: true, OutcomeUnknown: true}))
		Expect(f.replace(0, newBody(2, "s"))).To(Equal(200))
	})
})

var _ = Describe("the stored configuration", func() {
	It("stays bounded while routes move between services and are dropped", func() {
		f := newLeaderFixture()
		committed := func() *wire.Configuration {
			read := &wire.Configuration{}
			Expect(easyjson.Unmarshal(f.stored["fact"], read)).To(Succeed())
			return read
		}
		newRoutesBody := func(version, route int, service string) []byte {
			var routes []string
			for number := range 10 {
				routes = append(routes, fmt.Sprintf(`{"name":"r%d","host":"h","path-prefix":"/%d","timeout-ms":1,"service":"%s"}`, route+number, number, service))
			}
			return []byte(fmt.Sprintf(`{"config-version":%d,"route-list":[%s],"service-list":[{"name":"%s"}]}`, version, strings.Join(routes, ","), service))
		}
		for version := 1; version <= 800; version++ {
			Expect(f.replace(int64(version-1), newRoutesBody(version, version/2*10, []string{"a", "b"}[version%2]))).To(Equal(200))
		}
		Expect(len(committed().Moved)).To(BeNumerically("<=", 2048))
		// The routes at this path led to both services before.
		Expect(findMoved(committed().Moved, "r3990").Services).To(ConsistOf("a", "b"))
		Expect(committed().InitialVoters).To(HaveLen(2))
		for version := 801; version <= 840; version++ {
			Expect(f.replace(int64(version-1), newRoutesBody(version, 0, fmt.Sprintf("s%d", version)))).To(Equal(200))
		}
		for _, moved := range committed().Moved {
			Expect(len(moved.Services)).To(BeNumerically("<=", 16))
			Expect(len(moved.Names)).To(BeNumerically("<=", 8))
		}
	})
})
