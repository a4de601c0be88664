package coordination

import (
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/mailru/easyjson"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/logging"
)

const (
	testHistory = 20 * time.Second
	testRelease = 1500 * time.Millisecond
	testHold    = 3 * time.Second
)

// fakeLeadership is a leadership that the test controls: commitOldest commits its changes, and hasLease is its lease.
type fakeLeadership struct {
	epoch    uint64
	hasLease bool
	// durable holds the committed records by name.
	durable map[string]wire.Op
	pending []fakeCommit
}

// fakeCommit is a proposed change that is not committed yet, and its callback.
type fakeCommit struct {
	ops  []wire.Op
	done func(error)
}

func (l *fakeLeadership) Epoch() uint64  { return l.epoch }
func (l *fakeLeadership) HasLease() bool { return l.hasLease }
func (l *fakeLeadership) Commit(ops []wire.Op, done func(error)) {
	l.pending = append(l.pending, fakeCommit{ops, done})
}

// commitOldest commits the given number of the oldest pending changes.
func (l *fakeLeadership) commitOldest(count int) {
	ready := l.pending[:count]
	l.pending = l.pending[count:]
	for _, commit := range ready {
		for _, op := range commit.ops {
			l.durable[op.Name] = op
			if op.Value == nil {
				delete(l.durable, op.Name)
			}
		}
		commit.done(nil)
	}
}

// harness holds a partition, its leadership and the answers to its calls in the order in which they came.
type harness struct {
	clock      *clock.Fake
	leadership *fakeLeadership
	part       *Part
	answers    []wire.ClientAnswer
}

func newHarness() *harness {
	h := &harness{clock: clock.NewFake(0), leadership: &fakeLeadership{epoch: 1, hasLease: true, durable: map[string]wire.Op{}}}
	h.part = New("coordination/0", Dependencies{Clock: h.clock, Log: logging.Silent(), HistoryTime: testHistory, ReleaseTime: testRelease})
	Expect(h.part.Open(h.leadership, nil)).To(Succeed())
	return h
}

// changeLeader ends the leadership, fails the pending changes and opens the partition for the next leader with the durable records.
func (h *harness) changeLeader() {
	for _, commit := range h.leadership.pending {
		commit.done(errors.New("lost"))
	}
	h.part.Close()
	h.leadership = &fakeLeadership{epoch: h.leadership.epoch + 1, hasLease: true, durable: h.leadership.durable}
	var pairs []wire.Op
	for _, pair := range h.leadership.durable {
		pairs = append(pairs, pair)
	}
	Expect(h.part.Open(h.leadership, pairs)).To(Succeed())
}

// send makes a call. Its answer is added to answers when it comes, which may be after send returns.
func (h *harness) send(call wire.ClientCall, body easyjson.Marshaler) {
	if body != nil {
		text, err := easyjson.Marshal(body)
		Expect(err).NotTo(HaveOccurred())
		call.Body = text
	}
	h.part.CommandFor(call.Verb)(&call, func(answer wire.ClientAnswer) { h.answers = append(h.answers, answer) })
}

// lastAnswer commits all pending changes and returns the latest answer as text: the status, and the body if there is one.
func (h *harness) lastAnswer() string {
	GinkgoHelper()
	h.leadership.commitOldest(len(h.leadership.pending))
	Expect(h.answers).NotTo(BeEmpty())
	return answerText(h.answers[len(h.answers)-1])
}

// answerText returns an answer as text: "unknown", "not leader", or the status and the body.
func answerText(answer wire.ClientAnswer) string {
	switch {
	case answer.OutcomeUnknown:
		return "unknown"
	case answer.NotLeader:
		return "not leader"
	}
	return strings.TrimSpace(errors.Errorf("%d %s", answer.Status, answer.Body).Error())
}

func (h *harness) acquire(name, holder string) string {
	h.send(wire.ClientCall{Verb: wire.VerbAcquire, ID: name}, &wire.LockCall{Holder: holder, HoldMs: testHold.Milliseconds()})
	return h.lastAnswer()
}

func (h *harness) renew(name, holder string, fence uint64, hold time.Duration) {
	h.send(wire.ClientCall{Verb: wire.VerbRenew, ID: name}, &wire.LockCall{Holder: holder, Fence: fence, HoldMs: hold.Milliseconds()})
}

func (h *harness) release(name, holder string, fence uint64) string {
	h.send(wire.ClientCall{Verb: wire.VerbRelease, ID: name}, &wire.LockCall{Holder: holder, Fence: fence})
	return h.lastAnswer()
}

func (h *harness) takeNumber(name string) string {
	h.send(wire.ClientCall{Verb: wire.VerbTakeNumber, ID: name}, nil)
	return h.lastAnswer()
}

func (h *harness) sendPut(name, value string, expected uint64) {
	h.send(wire.ClientCall{Verb: wire.VerbPut, ID: name}, &wire.PutCall{Value: value, Expected: expected})
}

func (h *harness) put(name, value string, expected uint64) string {
	h.sendPut(name, value, expected)
	return h.lastAnswer()
}

func (h *harness) get(name string) string {
	h.send(wire.ClientCall{Verb: wire.VerbGet, ID: name}, nil)
	return h.lastAnswer()
}

func (h *harness) watch(group string, above int64, wait time.Duration) {
	h.send(wire.ClientCall{Verb: wire.VerbWatch, ID: group, Base: above, RemainingMs: wait.Milliseconds()}, nil)
}

// advance moves the clock in steps of 50 ms with a tick after each.
func (h *harness) advance(length time.Duration) {
	const step = 50 * time.Millisecond
	for ; length > 0; length -= step {
		h.clock.Advance(min(step, length))
		h.part.Tick()
	}
}
