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
	var h *harness
	BeforeEach(func() { h = newHarness() })

	It("have one holder at a time and rising fencing tokens", func() {
		Expect(h.acquire("a", "x")).To(Equal(`200 {"fence-number":1}`))
		Expect(h.acquire("a", "y")).To(Equal("409"))
		Expect(h.acquire("b", "y")).To(Equal(`200 {"fence-number":2}`))
		Expect(h.release("a", "x", 1)).To(Equal("200"))
		Expect(h.release("a", "x", 1)).To(Equal("200"))
		Expect(h.acquire("a", "y")).To(Equal(`200 {"fence-number":3}`))
	})

	It("are confirmed only once they are durable, as are refusals that depend on them", func() {
		h.send(wire.ClientCall{Verb: wire.VerbAcquire, ID: "a"}, &wire.LockCall{Holder: "x", HoldMs: 3000})
		h.send(wire.ClientCall{Verb: wire.VerbAcquire, ID: "a"}, &wire.LockCall{Holder: "y", HoldMs: 3000})
		Expect(h.answers).To(BeEmpty())
		h.changeLeader()
		Expect(answerText(h.answers[0])).To(Equal("unknown"))
		Expect(answerText(h.answers[1])).To(Equal("not leader"), "the refused call was never proposed")
		Expect(h.acquire("a", "y")).To(HavePrefix("200"))
	})

	It("issue a higher token for each acquisition and ignore a late release with an earlier token", func() {
		h.acquire("a", "x")
		Expect(h.acquire("a", "x")).To(Equal(`200 {"fence-number":2}`))
		Expect(h.release("a", "x", 1)).To(Equal("200"))
		Expect(h.acquire("a", "y")).To(Equal("409"))
		h.renew("a", "x", 1, testHold)
		Expect(h.lastAnswer()).To(Equal("200"), "an earlier token of the same hold renews the lock")
		Expect(h.release("a", "x", 2)).To(Equal("200"))
		h.acquire("a", "x")
		h.renew("a", "x", 2, testHold)
		Expect(h.lastAnswer()).To(Equal("409"), "a token from before the release is invalid")
	})

	It("can be acquired by another holder only after the hold time and the clock margin, which is below the release time", func() {
		h.acquire("a", "x")
		h.advance(testHold)
		Expect(h.acquire("a", "y")).To(Equal("409"), "the holder's clock may be slow")
		h.advance(testHold / clockRateDivisor)
		h.renew("a", "x", 1, testHold)
		Expect(h.lastAnswer()).To(Equal("409"))
		Expect(h.acquire("a", "y")).To(Equal(`200 {"fence-number":2}`))
		Expect(withClockMargin(longTestHold, testRelease) - longTestHold).To(BeNumerically("<", testRelease))
	})

	It("are renewed without a commit unless the requested time is longer than the recorded one", func() {
		h.acquire("a", "x")
		h.advance(testHold - time.Second)
		h.renew("a", "x", 1, testHold)
		Expect(h.leadership.pending).To(BeEmpty())
		h.advance(testHold - time.Second)
		Expect(h.acquire("a", "y")).To(Equal("409"))
		h.renew("a", "x", 1, 2*testHold)
		Expect(h.leadership.pending).To(HaveLen(1))
		Expect(h.lastAnswer()).To(Equal("200"))
		h.changeLeader()
		h.advance(2 * testHold)
		Expect(h.acquire("a", "y")).To(Equal("409"))
	})

	It("are held for their full time again after a change of leader", func() {
		h.acquire("a", "x")
		h.advance(testHold - 100*time.Millisecond)
		h.changeLeader()
		h.advance(testHold - 100*time.Millisecond)
		Expect(h.acquire("a", "y")).To(Equal("409"))
		h.renew("a", "x", 1, testHold)
		Expect(h.lastAnswer()).To(Equal("200"))
	})

	It("get rising tokens across expiry, a change of leader and an empty table", func() {
		h.acquire("a", "x")
		h.advance(testHold + cleanUpInterval + time.Second)
		h.lastAnswer()
		Expect(h.leadership.durable).NotTo(HaveKey("l/a"), "a new leader would hold the expired lock again")
		h.changeLeader()
		Expect(h.acquire("a", "y")).To(Equal(`200 {"fence-number":2}`))
	})

	It("are neither granted, renewed nor released without the lease", func() {
		h.acquire("a", "x")
		h.leadership.hasLease = false
		Expect(h.acquire("a", "y")).To(Equal("not leader"))
		h.renew("a", "x", 1, testHold)
		Expect(h.lastAnswer()).To(Equal("not leader"))
		Expect(h.release("a", "y", 1)).To(Equal("not leader"))
	})

	It("refuse a token that was never issued and an invalid body", func() {
		h.acquire("a", "x")
		h.renew("a", "x", 2, testHold)
		Expect(h.lastAnswer()).To(Equal("400"))
		Expect(h.release("a", "x", 2)).To(Equal("400"))
		h.part.Renew(&wire.ClientCall{Body: []byte("[")}, func(answer wire.ClientAnswer) { h.answers = append(h.answers, answer) })
		Expect(h.lastAnswer()).To(Equal("400"))
	})

	It("are reported with their holders", func() {
		h.acquire("a", "x")
		h.advance(time.Second)
		h.send(wire.ClientCall{Verb: wire.VerbCoordination}, nil)
		Expect(h.lastAnswer()).To(Equal(`200 {"key":"coordination/0","epoch":1,"locks":[{"name":"a","holder":"x","fence-number":1,"held-ms":1000,` +
			`"remaining-ms":2060}],"numbers":0,"cells":0,"events":0,"watchers":0,"bytes":0}`))
	})
})

const longTestHold = 10 * time.Minute

var _ = Describe("numbers", func() {
	It("rise within a durably reserved range and start above it after a change of leader", func() {
		h := newHarness()
		h.send(wire.ClientCall{Verb: wire.VerbTakeNumber, ID: "n"}, nil)
		Expect(h.answers).To(BeEmpty(), "the range is not durable yet")
		Expect(h.takeNumber("n")).To(Equal(`200 {"value":2}`))
		Expect(h.takeNumber("m")).To(Equal(`200 {"value":1}`))
		for range numberRange - 2 {
			h.takeNumber("n")
			Expect(h.leadership.pending).To(BeEmpty())
		}
		Expect(h.takeNumber("n")).To(Equal(fmt.Sprintf(`200 {"value":%d}`, numberRange+1)))
		h.changeLeader()
		Expect(h.takeNumber("n")).To(Equal(fmt.Sprintf(`200 {"value":%d}`, 2*numberRange+1)))
		h.leadership.hasLease = false
		Expect(h.takeNumber("n")).To(Equal("not leader"))
	})
})

var _ = Describe("cells", func() {
	var h *harness
	BeforeEach(func() { h = newHarness() })

	It("accept a put only at the expected revision and count revisions per group", func() {
		Expect(h.get("g.a")).To(Equal("404"))
		Expect(h.put("g.a", "v1", 0)).To(Equal(`200 {"revision":1}`))
		Expect(h.put("g.b", "v2", 0)).To(Equal(`200 {"revision":2}`))
		Expect(h.put("h.a", "v3", 0)).To(Equal(`200 {"revision":1}`))
		Expect(h.put("g.a", "v4", 0)).To(Equal(`412 {"revision":1}`))
		Expect(h.put("g.c", "v4", 2)).To(Equal(`412 {"revision":0}`))
		Expect(h.put("g.a", "v4", 1)).To(Equal(`200 {"revision":3}`))
		Expect(h.get("g.a")).To(Equal(`200 {"value":"v4","revision":3}`))
	})

	It("answer a retried put with its first revision, also after later puts and a change of leader", func() {
		expectFirstRevision := func() {
			GinkgoHelper()
			Expect(h.put("g.a", "v1", 0)).To(Equal(`200 {"revision":1}`))
			Expect(h.get("g.a")).To(Equal(`200 {"value":"v2","revision":2}`))
		}
		h.put("g.a", "v1", 0)
		h.put("g.a", "v2", 1)
		expectFirstRevision()
		h.changeLeader()
		expectFirstRevision()
		h.advance(testHistory - time.Second)
		expectFirstRevision()
		h.advance(2 * cleanUpInterval)
		Expect(h.put("g.a", "v2", 1)).To(Equal(`200 {"revision":2}`), "the last put of a cell is detected as a retry at any time")
		Expect(h.put("g.a", "v1", 2)).To(Equal(`200 {"revision":3}`), "with another expected revision it is another put")
	})

	It("neither return uncommitted values nor refuse calls because of them", func() {
		h.sendPut("g.a", "v1", 0)
		h.sendPut("g.a", "v2", 0)
		h.send(wire.ClientCall{Verb: wire.VerbGet, ID: "g.a"}, nil)
		h.sendPut("g.a", "v1", 0)
		Expect(h.answers).To(BeEmpty())
		h.changeLeader()
		Expect([]string{answerText(h.answers[0]), answerText(h.answers[1]), answerText(h.answers[2]), answerText(h.answers[3])}).To(
			Equal([]string{"unknown", "not leader", "not leader", "not leader"}))
		Expect(h.get("g.a")).To(Equal("404"))
		h.leadership.hasLease = false
		Expect(h.get("g.a")).To(Equal("not leader"))
	})

	It("refuse puts above the size limit of a group until old events are removed", func() {
		value := strings.Repeat("v", 64<<10)
		refusal := ""
		for revision := uint64(0); refusal == "" && revision < 1000; revision++ {
			if answer := h.put("g.a", fmt.Sprint(revision, value), revision); !strings.HasPrefix(answer, "200") {
				refusal = answer
			}
		}
		Expect(refusal).To(Equal("429"))
		Expect(h.part.cells.groups["g."].eventBytes).To(BeNumerically("<=", maxGroupBytes))
		h.advance(testHistory + cleanUpInterval)
		h.lastAnswer()
		Expect(h.part.cells.eventCount).To(BeZero())
		Expect(h.put("g.b", "v", 0)).To(HavePrefix("200"))
		Expect(h.part.cells.bytes).To(Equal(h.part.cells.groups["g."].eventBytes + len("g.a") + len(h.part.cells.cell("g.a").put.value) + len("g.bv")))
	})

	It("refuse changes before proposing them while too many wait for the quorum", func() {
		for index := range maxPendingCommits {
			h.sendPut(fmt.Sprint("g.", index), "v", 0)
		}
		for _, call := range []func(){func() { h.sendPut("g.x", "v", 0) }, func() { h.send(wire.ClientCall{Verb: wire.VerbTakeNumber, ID: "n"}, nil) },
			func() {
				h.send(wire.ClientCall{Verb: wire.VerbAcquire, ID: "a"}, &wire.LockCall{Holder: "x", HoldMs: 1})
			}} {
			call()
			Expect(answerText(h.answers[len(h.answers)-1])).To(Equal("503"))
		}
		Expect(h.leadership.pending).To(HaveLen(maxPendingCommits))
	})

	It("answer a put exactly once, with an unknown outcome, if the partition is closed before the commit", func() {
		h.sendPut("g.a", "v", 0)
		late := h.leadership.pending
		h.leadership.pending = nil
		h.changeLeader()
		Expect(h.answers).To(HaveLen(1))
		Expect(answerText(h.answers[0])).To(Equal("unknown"))
		late[0].done(nil)
		Expect(h.answers).To(HaveLen(1))
	})

	It("can't be taken over if a record is invalid, and the error names the record", func() {
		for _, name := range []string{"f", "l/a", "n/a", "c/g.a", "e/g./1"} {
			Expect(h.part.Open(h.leadership, []wire.Op{{Name: name, Value: []byte("[")}})).To(MatchError(ContainSubstring(name)))
		}
	})
})

var _ = Describe("watches", func() {
	var h *harness
	BeforeEach(func() {
		h = newHarness()
		h.put("g.a", "v1", 0)
		h.put("g.b", "v2", 0)
		h.answers = nil
	})
	const events = `{"events":[{"name":"g.b","value":"v2","revision":2}],"revision":2}`

	It("return the puts above a revision immediately", func() {
		h.watch("g.", 1, time.Second)
		Expect(h.lastAnswer()).To(Equal("200 " + events))
		h.watch("g.", 0, time.Second)
		Expect(h.lastAnswer()).To(Equal(`200 {"events":[],"revision":2}`), "revision 0 asks for the current revision only")
		h.watch("g.", 2, 0)
		Expect(h.lastAnswer()).To(Equal(`200 {"events":[],"revision":2}`))
	})

	It("wait for a put and return it once it is durable", func() {
		h.watch("g.", 2, time.Second)
		h.watch("new.", 0, time.Second)
		h.sendPut("g.a", "v3", 1)
		h.sendPut("new.a", "v1", 0)
		h.sendPut("g.b", "v4", 2)
		h.leadership.commitOldest(2)
		Expect(h.answers).To(HaveLen(4), "two puts and one watcher of each group")
		Expect(answerText(h.answers[1])).To(Equal(`200 {"events":[{"name":"g.a","value":"v3","revision":3}],"revision":3}`))
		Expect(answerText(h.answers[3])).To(Equal(`200 {"events":[{"name":"new.a","value":"v1","revision":1}],"revision":1}`))
		h.watch("g.", 2, time.Second)
		Expect(answerText(h.answers[4])).To(ContainSubstring(`"revision":3}],"revision":3`), "the next put is not durable yet")
	})

	It("end without puts at their deadline, and are referred to the next leader if the leadership or the lease is lost", func() {
		h.watch("g.", 2, time.Second)
		h.advance(950 * time.Millisecond)
		Expect(h.answers).To(BeEmpty())
		h.advance(50 * time.Millisecond)
		Expect(h.lastAnswer()).To(Equal(`200 {"events":[],"revision":2}`))
		Expect(h.part.cells.watcherCount).To(BeZero())
		h.watch("g.", 2, time.Second)
		h.changeLeader()
		Expect(h.lastAnswer()).To(Equal("not leader"))
		h.watch("g.", 2, time.Second)
		h.leadership.hasLease = false
		h.advance(time.Second)
		Expect(h.lastAnswer()).To(Equal("not leader"), "another leader may have accepted puts since")
	})

	It("are not refused for puts whose removal a loss of all power can still undo", func() {
		h.advance(testHistory + cleanUpInterval)
		h.watch("g.", 1, time.Second)
		Expect(h.answers).To(BeEmpty())
		h.changeLeader()
		Expect(h.lastAnswer()).To(Equal("not leader"))
		h.watch("g.", 1, time.Second)
		Expect(h.lastAnswer()).To(Equal("200 " + events))
	})

	It("return all puts of the history time, also after a change of leader, and are refused after it", func() {
		h.advance(testHistory - time.Second)
		h.changeLeader()
		h.advance(testHistory - time.Second)
		h.watch("g.", 1, time.Second)
		Expect(h.lastAnswer()).To(Equal("200 "+events), "a new leader doesn't know the age of a put and keeps it for the full time again")
		h.advance(time.Second + cleanUpInterval)
		h.watch("g.", 1, time.Second)
		Expect(h.lastAnswer()).To(Equal("410"))
		h.watch("g.", 2, 0)
		Expect(h.lastAnswer()).To(HavePrefix("200"))
		h.changeLeader()
		h.watch("g.", 1, time.Second)
		Expect(h.lastAnswer()).To(Equal("410"))
		h.put("g.c", "v3", 0)
		h.watch("g.", 2, time.Second)
		Expect(h.lastAnswer()).To(ContainSubstring(`"revision":3}],"revision":3}`))
	})

	It("start the history time of a put when it is durable", func() {
		h.sendPut("g.c", "v3", 0)
		h.advance(cleanUpInterval + time.Second)
		h.lastAnswer()
		h.advance(testHistory - time.Second)
		h.watch("g.", 2, time.Second)
		Expect(h.lastAnswer()).To(ContainSubstring("v3"))
	})

	It("are limited in number, and groups without cells are removed after their watches end", func() {
		for index := range maxWatchers {
			h.watch(fmt.Sprint(index, "."), 0, time.Second)
		}
		h.watch("g.", 2, time.Second)
		Expect(h.lastAnswer()).To(Equal("429"))
		h.advance(cleanUpInterval + time.Second)
		Expect(h.part.cells.groups).To(HaveLen(1))
		Expect(h.part.cells.watched).To(BeEmpty())
	})
})
