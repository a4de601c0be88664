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
	var s *harness
	BeforeEach(func() { s = newHarness() })

	It("have one holder at a time and rising fencing tokens", func() {
		Expect(s.acquire("a", "x")).To(Equal(`200 {"fence-number":1}`))
		Expect(s.acquire("a", "y")).To(Equal("409"))
		Expect(s.acquire("b", "y")).To(Equal(`200 {"fence-number":2}`))
		Expect(s.release("a", "x", 1)).To(Equal("200"))
		Expect(s.release("a", "x", 1)).To(Equal("200"))
		Expect(s.acquire("a", "y")).To(Equal(`200 {"fence-number":3}`))
	})

	It("are confirmed only once they are durable, as are refusals that depend on them", func() {
		s.send(wire.ClientCall{Verb: wire.VerbAcquire, ID: "a"}, &wire.LockCall{Holder: "x", HoldMs: 3000})
		s.send(wire.ClientCall{Verb: wire.VerbAcquire, ID: "a"}, &wire.LockCall{Holder: "y", HoldMs: 3000})
		Expect(s.answers).To(BeEmpty())
		s.changeLeader()
		Expect(answerText(s.answers[0])).To(Equal("unknown"))
		Expect(answerText(s.answers[1])).To(Equal("not leader"), "the refused call was never proposed")
		Expect(s.acquire("a", "y")).To(HavePrefix("200"))
	})

	It("issue a higher token for each acquisition and ignore a late release with an earlier token", func() {
		s.acquire("a", "x")
		Expect(s.acquire("a", "x")).To(Equal(`200 {"fence-number":2}`))
		Expect(s.release("a", "x", 1)).To(Equal("200"))
		Expect(s.acquire("a", "y")).To(Equal("409"))
		s.renew("a", "x", 1, testHold)
		Expect(s.lastAnswer()).To(Equal("200"), "an earlier token of the same hold renews the lock")
		Expect(s.release("a", "x", 2)).To(Equal("200"))
		s.acquire("a", "x")
		s.renew("a", "x", 2, testHold)
		Expect(s.lastAnswer()).To(Equal("409"), "a token from before the release is invalid")
	})

	It("can be acquired by another holder only after the hold time and the clock margin, which is below the release time", func() {
		s.acquire("a", "x")
		s.advance(testHold)
		Expect(s.acquire("a", "y")).To(Equal("409"), "the holder's clock may be slow")
		s.advance(testHold / clockRateDivisor)
		s.renew("a", "x", 1, testHold)
		Expect(s.lastAnswer()).To(Equal("409"))
		Expect(s.acquire("a", "y")).To(Equal(`200 {"fence-number":2}`))
		Expect(withClockMargin(longTestHold, testRelease) - longTestHold).To(BeNumerically("<", testRelease))
	})

	It("are renewed without a commit unless the requested time is longer than the recorded one", func() {
		s.acquire("a", "x")
		s.advance(testHold - time.Second)
		s.renew("a", "x", 1, testHold)
		Expect(s.leadership.pending).To(BeEmpty())
		s.advance(testHold - time.Second)
		Expect(s.acquire("a", "y")).To(Equal("409"))
		s.renew("a", "x", 1, 2*testHold)
		Expect(s.leadership.pending).To(HaveLen(1))
		Expect(s.lastAnswer()).To(Equal("200"))
		s.changeLeader()
		s.advance(2 * testHold)
		Expect(s.acquire("a", "y")).To(Equal("409"))
	})

	It("are held for their full time again after a change of leader", func() {
		s.acquire("a", "x")
		s.advance(testHold - 100*time.Millisecond)
		s.changeLeader()
		s.advance(testHold - 100*time.Millisecond)
		Expect(s.acquire("a", "y")).To(Equal("409"))
		s.renew("a", "x", 1, testHold)
		Expect(s.lastAnswer()).To(Equal("200"))
	})

	It("keep rising tokens over expiry, a change of leader and an empty table", func() {
		s.acquire("a", "x")
		s.advance(testHold + cleanUpInterval + time.Second)
		s.lastAnswer()
		Expect(s.leadership.durable).NotTo(HaveKey("l/a"), "a new leader would hold the expired lock again")
		s.changeLeader()
		Expect(s.acquire("a", "y")).To(Equal(`200 {"fence-number":2}`))
	})

	It("are neither granted, renewed nor released without the lease", func() {
		s.acquire("a", "x")
		s.leadership.hasLease = false
		Expect(s.acquire("a", "y")).To(Equal("not leader"))
		s.renew("a", "x", 1, testHold)
		Expect(s.lastAnswer()).To(Equal("not leader"))
		Expect(s.release("a", "y", 1)).To(Equal("not leader"))
	})

	It("refuse a token that was never issued and an invalid body", func() {
		s.acquire("a", "x")
		s.renew("a", "x", 2, testHold)
		Expect(s.lastAnswer()).To(Equal("400"))
		Expect(s.release("a", "x", 2)).To(Equal("400"))
		s.part.Renew(&wire.ClientCall{Body: []byte("[")}, func(answer wire.ClientAnswer) { s.answers = append(s.answers, answer) })
		Expect(s.lastAnswer()).To(Equal("400"))
	})

	It("are reported with their holders", func() {
		s.acquire("a", "x")
		s.advance(time.Second)
		s.send(wire.ClientCall{Verb: wire.VerbCoordination}, nil)
		Expect(s.lastAnswer()).To(Equal(`200 {"key":"coordination/0","epoch":1,"locks":[{"name":"a","holder":"x","fence-number":1,"held-ms":1000,` +
			`"remaining-ms":2060}],"numbers":0,"cells":0,"events":0,"watchers":0,"bytes":0}`))
	})
})

const longTestHold = 10 * time.Minute

var _ = Describe("numbers", func() {
	It("rise within a durably reserved range and start above it after a change of leader", func() {
		s := newHarness()
		s.send(wire.ClientCall{Verb: wire.VerbTakeNumber, ID: "n"}, nil)
		Expect(s.answers).To(BeEmpty(), "the range is not durable yet")
		Expect(s.takeNumber("n")).To(Equal(`200 {"value":2}`))
		Expect(s.takeNumber("m")).To(Equal(`200 {"value":1}`))
		for range numberRange - 2 {
			s.takeNumber("n")
			Expect(s.leadership.pending).To(BeEmpty())
		}
		Expect(s.takeNumber("n")).To(Equal(fmt.Sprintf(`200 {"value":%d}`, numberRange+1)))
		s.changeLeader()
		Expect(s.takeNumber("n")).To(Equal(fmt.Sprintf(`200 {"value":%d}`, 2*numberRange+1)))
		s.leadership.hasLease = false
		Expect(s.takeNumber("n")).To(Equal("not leader"))
	})
})

var _ = Describe("cells", func() {
	var s *harness
	BeforeEach(func() { s = newHarness() })

	It("accept a put only at the expected revision and count revisions per group", func() {
		Expect(s.get("g.a")).To(Equal("404"))
		Expect(s.put("g.a", "v1", 0)).To(Equal(`200 {"revision":1}`))
		Expect(s.put("g.b", "v2", 0)).To(Equal(`200 {"revision":2}`))
		Expect(s.put("h.a", "v3", 0)).To(Equal(`200 {"revision":1}`))
		Expect(s.put("g.a", "v4", 0)).To(Equal(`412 {"revision":1}`))
		Expect(s.put("g.c", "v4", 2)).To(Equal(`412 {"revision":0}`))
		Expect(s.put("g.a", "v4", 1)).To(Equal(`200 {"revision":3}`))
		Expect(s.get("g.a")).To(Equal(`200 {"value":"v4","revision":3}`))
	})

	It("answer a retried put with its first revision, also after later puts and a change of leader", func() {
		expectFirstRevision := func() {
			GinkgoHelper()
			Expect(s.put("g.a", "v1", 0)).To(Equal(`200 {"revision":1}`))
			Expect(s.get("g.a")).To(Equal(`200 {"value":"v2","revision":2}`))
		}
		s.put("g.a", "v1", 0)
		s.put("g.a", "v2", 1)
		expectFirstRevision()
		s.changeLeader()
		expectFirstRevision()
		s.advance(testHistory - time.Second)
		expectFirstRevision()
		s.advance(2 * cleanUpInterval)
		Expect(s.put("g.a", "v2", 1)).To(Equal(`200 {"revision":2}`), "the last put of a cell is detected as a retry at any time")
		Expect(s.put("g.a", "v1", 2)).To(Equal(`200 {"revision":3}`), "with another expected revision it is another put")
	})

	It("neither return uncommitted values nor refuse calls because of them", func() {
		s.sendPut("g.a", "v1", 0)
		s.sendPut("g.a", "v2", 0)
		s.send(wire.ClientCall{Verb: wire.VerbGet, ID: "g.a"}, nil)
		s.sendPut("g.a", "v1", 0)
		Expect(s.answers).To(BeEmpty())
		s.changeLeader()
		Expect([]string{answerText(s.answers[0]), answerText(s.answers[1]), answerText(s.answers[2]), answerText(s.answers[3])}).To(
			Equal([]string{"unknown", "not leader", "not leader", "not leader"}))
		Expect(s.get("g.a")).To(Equal("404"))
		s.leadership.hasLease = false
		Expect(s.get("g.a")).To(Equal("not leader"))
	})

	It("refuse puts above the size limit of a group until old events are removed", func() {
		value := strings.Repeat("v", 64<<10)
		refusal := ""
		for revision := uint64(0); refusal == "" && revision < 1000; revision++ {
			if answer := s.put("g.a", fmt.Sprint(revision, value), revision); !strings.HasPrefix(answer, "200") {
				refusal = answer
			}
		}
		Expect(refusal).To(Equal("429"))
		Expect(s.part.cells.groups["g."].bytes).To(BeNumerically("<=", maxGroupBytes))
		s.advance(testHistory + cleanUpInterval)
		s.lastAnswer()
		Expect(s.part.cells.eventCount).To(BeZero())
		Expect(s.put("g.b", "v", 0)).To(HavePrefix("200"))
		Expect(s.part.cells.bytes).To(Equal(s.part.cells.groups["g."].bytes + len("g.a") + len(s.part.cells.cell("g.a").put.value) + len("g.bv")))
	})

	It("refuse changes before proposing them while too many wait for the quorum", func() {
		for index := range maxPendingCommits {
			s.sendPut(fmt.Sprint("g.", index), "v", 0)
		}
		for _, call := range []func(){func() { s.sendPut("g.x", "v", 0) }, func() { s.send(wire.ClientCall{Verb: wire.VerbTakeNumber, ID: "n"}, nil) },
			func() {
				s.send(wire.ClientCall{Verb: wire.VerbAcquire, ID: "a"}, &wire.LockCall{Holder: "x", HoldMs: 1})
			}} {
			call()
			Expect(answerText(s.answers[len(s.answers)-1])).To(Equal("503"))
		}
		Expect(s.leadership.pending).To(HaveLen(maxPendingCommits))
	})

	It("answer a put exactly once, with an unknown outcome, if the part is closed before the commit", func() {
		s.sendPut("g.a", "v", 0)
		late := s.leadership.pending
		s.leadership.pending = nil
		s.changeLeader()
		Expect(s.answers).To(HaveLen(1))
		Expect(answerText(s.answers[0])).To(Equal("unknown"))
		late[0].done(nil)
		Expect(s.answers).To(HaveLen(1))
	})

	It("cause an error that names the record if it is invalid", func() {
		for _, name := range []string{"f", "l/a", "n/a", "c/g.a", "e/g./1"} {
			Expect(s.part.Open(s.leadership, []wire.Op{{Name: name, Value: []byte("[")}})).To(MatchError(ContainSubstring(name)))
		}
	})
})

var _ = Describe("watches", func() {
	var s *harness
	BeforeEach(func() {
		s = newHarness()
		s.put("g.a", "v1", 0)
		s.put("g.b", "v2", 0)
		s.answers = nil
	})
	const events = `{"events":[{"name":"g.b","value":"v2","revision":2}],"revision":2}`

	It("return the puts above a revision immediately", func() {
		s.watch("g.", 1, time.Second)
		Expect(s.lastAnswer()).To(Equal("200 " + events))
		s.watch("g.", 0, time.Second)
		Expect(s.lastAnswer()).To(Equal(`200 {"events":[],"revision":2}`), "revision 0 asks for the current revision only")
		s.watch("g.", 2, 0)
		Expect(s.lastAnswer()).To(Equal(`200 {"events":[],"revision":2}`))
	})

	It("wait for a put and return it once it is durable", func() {
		s.watch("g.", 2, time.Second)
		s.watch("new.", 0, time.Second)
		s.sendPut("g.a", "v3", 1)
		s.sendPut("new.a", "v1", 0)
		s.sendPut("g.b", "v4", 2)
		s.leadership.commitOldest(2)
		Expect(s.answers).To(HaveLen(4), "two puts and one watcher of each group")
		Expect(answerText(s.answers[1])).To(Equal(`200 {"events":[{"name":"g.a","value":"v3","revision":3}],"revision":3}`))
		Expect(answerText(s.answers[3])).To(Equal(`200 {"events":[{"name":"new.a","value":"v1","revision":1}],"revision":1}`))
		s.watch("g.", 2, time.Second)
		Expect(answerText(s.answers[4])).To(ContainSubstring(`"revision":3}],"revision":3`), "the next put is not durable yet")
	})

	It("end without puts at their deadline and are referred to the next leader without the leadership or the lease", func() {
		s.watch("g.", 2, time.Second)
		s.advance(950 * time.Millisecond)
		Expect(s.answers).To(BeEmpty())
		s.advance(50 * time.Millisecond)
		Expect(s.lastAnswer()).To(Equal(`200 {"events":[],"revision":2}`))
		Expect(s.part.cells.watcherCount).To(BeZero())
		s.watch("g.", 2, time.Second)
		s.changeLeader()
		Expect(s.lastAnswer()).To(Equal("not leader"))
		s.watch("g.", 2, time.Second)
		s.leadership.hasLease = false
		s.advance(time.Second)
		Expect(s.lastAnswer()).To(Equal("not leader"), "another leader may have accepted puts since")
	})

	It("return all puts of the history time, also after a change of leader, and are refused after it", func() {
		s.advance(testHistory - time.Second)
		s.changeLeader()
		s.advance(testHistory - time.Second)
		s.watch("g.", 1, time.Second)
		Expect(s.lastAnswer()).To(Equal("200 "+events), "a new leader doesn't know the age of a put and keeps it for the full time again")
		s.advance(time.Second + cleanUpInterval)
		s.watch("g.", 1, time.Second)
		Expect(s.lastAnswer()).To(Equal("410"))
		s.watch("g.", 2, 0)
		Expect(s.lastAnswer()).To(HavePrefix("200"))
		s.changeLeader()
		s.watch("g.", 1, time.Second)
		Expect(s.lastAnswer()).To(Equal("410"))
		s.put("g.c", "v3", 0)
		s.watch("g.", 2, time.Second)
		Expect(s.lastAnswer()).To(ContainSubstring(`"revision":3}],"revision":3}`))
	})

	It("start the history time of a put when it is durable", func() {
		s.sendPut("g.c", "v3", 0)
		s.advance(cleanUpInterval + time.Second)
		s.lastAnswer()
		s.advance(testHistory - time.Second)
		s.watch("g.", 2, time.Second)
		Expect(s.lastAnswer()).To(ContainSubstring("v3"))
	})

	It("are limited in number, and groups without cells are removed after their watches end", func() {
		for index := range maxWatchers {
			s.watch(fmt.Sprint(index, "."), 0, time.Second)
		}
		s.watch("g.", 2, time.Second)
		Expect(s.lastAnswer()).To(Equal("429"))
		s.advance(cleanUpInterval + time.Second)
		Expect(s.part.cells.groups).To(HaveLen(1))
		Expect(s.part.cells.watched).To(BeEmpty())
	})
})
