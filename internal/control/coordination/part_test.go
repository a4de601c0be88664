package coordination

import (
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/peerapi/wire"
)

var _ = Describe("locks", func() {
	var s *scene
	BeforeEach(func() { s = newScene() })

	It("are held by one, and given under rising fencing tokens", func() {
		Expect(s.acquire("a", "x")).To(Equal(`200 {"fence-number":1}`))
		Expect(s.acquire("a", "y")).To(Equal("409"))
		Expect(s.acquire("b", "y")).To(Equal(`200 {"fence-number":2}`))
		Expect(s.release("a", "x", 1)).To(Equal("200"))
		Expect(s.release("a", "x", 1)).To(Equal("200"))
		Expect(s.acquire("a", "y")).To(Equal(`200 {"fence-number":3}`))
	})

	It("are told only once they are durable, and what is refused for them too", func() {
		s.send(wire.ClientCall{Verb: wire.VerbAcquire, ID: "a"}, &wire.LockCall{Holder: "x", HoldMs: 3000})
		s.send(wire.ClientCall{Verb: wire.VerbAcquire, ID: "a"}, &wire.LockCall{Holder: "y", HoldMs: 3000})
		Expect(s.answers).To(BeEmpty())
		s.takeOver()
		Expect(told(s.answers[0])).To(Equal("unknown"))
		Expect(told(s.answers[1])).To(Equal("not leader"), "the refused call was never proposed")
		Expect(s.acquire("a", "y")).To(HavePrefix("200"))
	})

	It("get their holder a higher token each time, and a release that comes late ends no later hold", func() {
		s.acquire("a", "x")
		Expect(s.acquire("a", "x")).To(Equal(`200 {"fence-number":2}`))
		Expect(s.release("a", "x", 1)).To(Equal("200"))
		Expect(s.acquire("a", "y")).To(Equal("409"))
		s.renew("a", "x", 1, testHold)
		Expect(s.last()).To(Equal("200"), "its earlier token still renews")
		Expect(s.release("a", "x", 2)).To(Equal("200"))
		s.acquire("a", "x")
		s.renew("a", "x", 2, testHold)
		Expect(s.last()).To(Equal("409"), "a token of before the release is lost")
	})

	It("go to another once their time is over, soon but not before", func() {
		s.acquire("a", "x")
		s.pass(testHold)
		Expect(s.acquire("a", "y")).To(Equal("409"), "the holder's clock may be slow")
		s.pass(testHold / clockRateDivisor)
		s.renew("a", "x", 1, testHold)
		Expect(s.last()).To(Equal("409"))
		Expect(s.acquire("a", "y")).To(Equal(`200 {"fence-number":2}`))
		Expect(withMargin(maxHoldOfTest, testRelease) - maxHoldOfTest).To(BeNumerically("<", testRelease))
	})

	It("are renewed without a commit, unless for longer than on disk", func() {
		s.acquire("a", "x")
		s.pass(testHold - time.Second)
		s.renew("a", "x", 1, testHold)
		Expect(s.leadership.waiting).To(BeEmpty())
		s.pass(testHold - time.Second)
		Expect(s.acquire("a", "y")).To(Equal("409"))
		s.renew("a", "x", 1, 2*testHold)
		Expect(s.leadership.waiting).To(HaveLen(1))
		Expect(s.last()).To(Equal("200"))
		s.takeOver()
		s.pass(2 * testHold)
		Expect(s.acquire("a", "y")).To(Equal("409"))
	})

	It("begin their time anew in full with a new leader", func() {
		s.acquire("a", "x")
		s.pass(testHold - 100*time.Millisecond)
		s.takeOver()
		s.pass(testHold - 100*time.Millisecond)
		Expect(s.acquire("a", "y")).To(Equal("409"))
		s.renew("a", "x", 1, testHold)
		Expect(s.last()).To(Equal("200"))
	})

	It("rise in their tokens over expiry, take-overs and an empty table", func() {
		s.acquire("a", "x")
		s.pass(testHold + cleanUpInterval + time.Second)
		s.last()
		Expect(s.leadership.disk).NotTo(HaveKey("l/a"), "a new leader would hold it again")
		s.takeOver()
		Expect(s.acquire("a", "y")).To(Equal(`200 {"fence-number":2}`))
	})

	It("give nothing once the lease is over", func() {
		s.acquire("a", "x")
		s.leadership.hasLease = false
		Expect(s.acquire("a", "y")).To(Equal("not leader"))
		s.renew("a", "x", 1, testHold)
		Expect(s.last()).To(Equal("not leader"))
		Expect(s.release("a", "y", 1)).To(Equal("not leader"))
	})

	It("know a token that was never given", func() {
		s.acquire("a", "x")
		s.renew("a", "x", 2, testHold)
		Expect(s.last()).To(Equal("400"))
		Expect(s.release("a", "x", 2)).To(Equal("400"))
		s.part.Renew(&wire.ClientCall{Body: []byte("[")}, func(answer wire.ClientAnswer) { s.answers = append(s.answers, answer) })
		Expect(s.last()).To(Equal("400"))
	})

	It("are listed with their holders", func() {
		s.acquire("a", "x")
		s.pass(time.Second)
		s.send(wire.ClientCall{Verb: wire.VerbCoordination}, nil)
		Expect(s.last()).To(Equal(`200 {"key":"coordination/0","epoch":1,"locks":[{"name":"a","holder":"x","fence-number":1,"held-ms":1000,` +
			`"remaining-ms":2060}],"numbers":0,"cells":0,"events":0,"watchers":0,"bytes":0}`))
	})
})

const maxHoldOfTest = 10 * time.Minute

var _ = Describe("numbers", func() {
	It("rise within a range that is durable, and begin above it with a new leader", func() {
		s := newScene()
		s.send(wire.ClientCall{Verb: wire.VerbTakeNumber, ID: "n"}, nil)
		Expect(s.answers).To(BeEmpty(), "the range is not durable yet")
		Expect(s.number("n")).To(Equal(`200 {"value":2}`))
		Expect(s.number("m")).To(Equal(`200 {"value":1}`))
		for range numberRange - 2 {
			s.number("n")
			Expect(s.leadership.waiting).To(BeEmpty())
		}
		Expect(s.number("n")).To(Equal(fmt.Sprintf(`200 {"value":%d}`, numberRange+1)))
		s.takeOver()
		Expect(s.number("n")).To(Equal(fmt.Sprintf(`200 {"value":%d}`, 2*numberRange+1)))
		s.leadership.hasLease = false
		Expect(s.number("n")).To(Equal("not leader"))
	})
})

var _ = Describe("cells", func() {
	var s *scene
	BeforeEach(func() { s = newScene() })

	It("take a put on top of the revision that it names, in one count of revisions for a group", func() {
		Expect(s.get("g.a")).To(Equal("404"))
		Expect(s.put("g.a", "v1", 0)).To(Equal(`200 {"revision":1}`))
		Expect(s.put("g.b", "v2", 0)).To(Equal(`200 {"revision":2}`))
		Expect(s.put("h.a", "v3", 0)).To(Equal(`200 {"revision":1}`))
		Expect(s.put("g.a", "v4", 0)).To(Equal(`412 {"revision":1}`))
		Expect(s.put("g.c", "v4", 2)).To(Equal(`412 {"revision":0}`))
		Expect(s.put("g.a", "v4", 1)).To(Equal(`200 {"revision":3}`))
		Expect(s.get("g.a")).To(Equal(`200 {"value":"v4","revision":3}`))
	})

	It("give a put that comes again its first revision, whatever came after it", func() {
		again := func() {
			GinkgoHelper()
			Expect(s.put("g.a", "v1", 0)).To(Equal(`200 {"revision":1}`))
			Expect(s.get("g.a")).To(Equal(`200 {"value":"v2","revision":2}`))
		}
		s.put("g.a", "v1", 0)
		s.put("g.a", "v2", 1)
		again()
		s.takeOver()
		again()
		s.pass(testHistory - time.Second)
		again()
		s.pass(2 * cleanUpInterval)
		Expect(s.put("g.a", "v2", 1)).To(Equal(`200 {"revision":2}`), "the last put of a cell is known for good")
		Expect(s.put("g.a", "v1", 2)).To(Equal(`200 {"revision":3}`), "on top of another revision it is another put")
	})

	It("show nothing that is not durable, and refuse nothing for it", func() {
		s.sendPut("g.a", "v1", 0)
		s.sendPut("g.a", "v2", 0)
		s.send(wire.ClientCall{Verb: wire.VerbGet, ID: "g.a"}, nil)
		s.sendPut("g.a", "v1", 0)
		Expect(s.answers).To(BeEmpty())
		s.takeOver()
		Expect([]string{told(s.answers[0]), told(s.answers[1]), told(s.answers[2]), told(s.answers[3])}).To(
			Equal([]string{"unknown", "not leader", "not leader", "not leader"}))
		Expect(s.get("g.a")).To(Equal("404"))
		s.leadership.hasLease = false
		Expect(s.get("g.a")).To(Equal("not leader"))
	})

	It("refuse what there is no room for, and have room again once puts are forgotten", func() {
		value := strings.Repeat("v", 64<<10)
		refused := ""
		for revision := uint64(0); refused == "" && revision < 1000; revision++ {
			if answer := s.put("g.a", fmt.Sprint(revision, value), revision); !strings.HasPrefix(answer, "200") {
				refused = answer
			}
		}
		Expect(refused).To(Equal("429"))
		Expect(s.part.cells.groups["g."].bytes).To(BeNumerically("<=", maxGroupBytes))
		s.pass(testHistory + cleanUpInterval)
		s.last()
		Expect(s.part.cells.eventCount).To(BeZero())
		Expect(s.put("g.b", "v", 0)).To(HavePrefix("200"))
		Expect(s.part.cells.bytes).To(Equal(s.part.cells.groups["g."].bytes + len("g.a") + len(s.part.cells.cell("g.a").put.value) + len("g.bv")))
	})

	It("refuse changes while too many wait for the quorum, before anything is proposed", func() {
		for index := range maxPendingCommits {
			s.sendPut(fmt.Sprint("g.", index), "v", 0)
		}
		for _, call := range []func(){func() { s.sendPut("g.x", "v", 0) }, func() { s.send(wire.ClientCall{Verb: wire.VerbTakeNumber, ID: "n"}, nil) },
			func() {
				s.send(wire.ClientCall{Verb: wire.VerbAcquire, ID: "a"}, &wire.LockCall{Holder: "x", HoldMs: 1})
			}} {
			call()
			Expect(told(s.answers[len(s.answers)-1])).To(Equal("503"))
		}
		Expect(s.leadership.waiting).To(HaveLen(maxPendingCommits))
	})

	It("have an unknown outcome, once, if the part is closed while they wait for the quorum", func() {
		s.sendPut("g.a", "v", 0)
		late := s.leadership.waiting
		s.leadership.waiting = nil
		s.takeOver()
		Expect(s.answers).To(HaveLen(1))
		Expect(told(s.answers[0])).To(Equal("unknown"))
		late[0].done(nil)
		Expect(s.answers).To(HaveLen(1))
	})

	It("name a record that can't be read", func() {
		for _, name := range []string{"f", "l/a", "n/a", "c/g.a", "e/g./1"} {
			Expect(s.part.Open(s.leadership, []wire.Op{{Name: name, Value: []byte("[")}})).To(MatchError(ContainSubstring(name)))
		}
	})
})

var _ = Describe("watches", func() {
	var s *scene
	BeforeEach(func() {
		s = newScene()
		s.put("g.a", "v1", 0)
		s.put("g.b", "v2", 0)
		s.answers = nil
	})
	const events = `{"events":[{"name":"g.b","value":"v2","revision":2}],"revision":2}`

	It("get all puts above a revision at once", func() {
		s.watch("g.", 1, time.Second)
		Expect(s.last()).To(Equal("200 " + events))
		s.watch("g.", 0, time.Second)
		Expect(s.last()).To(Equal(`200 {"events":[],"revision":2}`), "from 0 on only the present revision is asked for")
		s.watch("g.", 2, 0)
		Expect(s.last()).To(Equal(`200 {"events":[],"revision":2}`))
	})

	It("wait for a put, and see it once it is durable", func() {
		s.watch("g.", 2, time.Second)
		s.watch("new.", 0, time.Second)
		s.sendPut("g.a", "v3", 1)
		s.sendPut("new.a", "v1", 0)
		s.sendPut("g.b", "v4", 2)
		s.leadership.sync(2)
		Expect(s.answers).To(HaveLen(4), "two puts, and a watcher of each group")
		Expect(told(s.answers[1])).To(Equal(`200 {"events":[{"name":"g.a","value":"v3","revision":3}],"revision":3}`))
		Expect(told(s.answers[3])).To(Equal(`200 {"events":[{"name":"new.a","value":"v1","revision":1}],"revision":1}`))
		s.watch("g.", 2, time.Second)
		Expect(told(s.answers[4])).To(ContainSubstring(`"revision":3}],"revision":3`), "the put after it is not durable yet")
	})

	It("end with nothing after their time, and go to the next leader with a take-over", func() {
		s.watch("g.", 2, time.Second)
		s.pass(950 * time.Millisecond)
		Expect(s.answers).To(BeEmpty())
		s.pass(50 * time.Millisecond)
		Expect(s.last()).To(Equal(`200 {"events":[],"revision":2}`))
		Expect(s.part.cells.watcherCount).To(BeZero())
		s.watch("g.", 2, time.Second)
		s.takeOver()
		Expect(s.last()).To(Equal("not leader"))
		s.watch("g.", 2, time.Second)
		s.leadership.hasLease = false
		s.pass(time.Second)
		Expect(s.last()).To(Equal("not leader"), "another leader may have taken puts since")
	})

	It("find all puts for the time that was promised, also after take-overs, and are told when it is over", func() {
		s.pass(testHistory - time.Second)
		s.takeOver()
		s.pass(testHistory - time.Second)
		s.watch("g.", 1, time.Second)
		Expect(s.last()).To(Equal("200 "+events), "a new leader can't know how old a put is")
		s.pass(time.Second + cleanUpInterval)
		s.watch("g.", 1, time.Second)
		Expect(s.last()).To(Equal("410"))
		s.watch("g.", 2, 0)
		Expect(s.last()).To(HavePrefix("200"))
		s.takeOver()
		s.watch("g.", 1, time.Second)
		Expect(s.last()).To(Equal("410"))
		s.put("g.c", "v3", 0)
		s.watch("g.", 2, time.Second)
		Expect(s.last()).To(ContainSubstring(`"revision":3}],"revision":3}`))
	})

	It("count the time of a put from when it was durable", func() {
		s.sendPut("g.c", "v3", 0)
		s.pass(cleanUpInterval + time.Second)
		s.last()
		s.pass(testHistory - time.Second)
		s.watch("g.", 2, time.Second)
		Expect(s.last()).To(ContainSubstring("v3"))
	})

	It("are bounded in number, and groups that are only asked for are forgotten", func() {
		for index := range maxWatchers {
			s.watch(fmt.Sprint(index, "."), 0, time.Second)
		}
		s.watch("g.", 2, time.Second)
		Expect(s.last()).To(Equal("429"))
		s.pass(cleanUpInterval + time.Second)
		Expect(s.part.cells.groups).To(HaveLen(1))
		Expect(s.part.cells.watched).To(BeEmpty())
	})
})
