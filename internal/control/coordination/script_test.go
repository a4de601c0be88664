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

// fakeLeadership is a leadership whose commits complete and whose lease ends when the test says so.
type fakeLeadership struct {
	epoch    uint64
	hasLease bool
	// durable holds the committed records by name.
	durable map[string]wire.Op
	pending []fakeCommit
}

// fakeCommit is a proposed change that is not committed yet.
type fakeCommit struct {
	ops  []wire.Op
	done func(error)
}

func (s *fakeLeadership) Epoch() uint64  { return s.epoch }
func (s *fakeLeadership) HasLease() bool { return s.hasLease }
func (s *fakeLeadership) Commit(ops []wire.Op, done func(error)) {
	s.pending = append(s.pending, fakeCommit{ops, done})
}

// commitOldest commits the given number of the oldest pending changes.
func (s *fakeLeadership) commitOldest(count int) {
	ready := s.pending[:count]
	s.pending = s.pending[count:]
	for _, commit := range ready {
		for _, op := range commit.ops {
			s.durable[op.Name] = op
			if op.Value == nil {
				delete(s.durable, op.Name)
			}
		}
		commit.done(nil)
	}
}

// harness holds a part, its leadership and the answers to its calls in the order in which they came.
type harness struct {
	clock      *clock.Fake
	leadership *fakeLeadership
	part       *Part
	answers    []wire.ClientAnswer
}

func newHarness() *harness {
	s := &harness{clock: clock.NewFake(0), leadership: &fakeLeadership{epoch: 1, hasLease: true, durable: map[string]wire.Op{}}}
	s.part = New("coordination/0", Surroundings{Clock: s.clock, Log: logging.Silent(), HistoryTime: testHistory, ReleaseTime: testRelease})
	Expect(s.part.Open(s.leadership, nil)).To(Succeed())
	return s
}

// changeLeader ends the leadership, fails the pending changes and opens the part for the next leader with the durable records.
func (s *harness) changeLeader() {
	for _, commit := range s.leadership.pending {
		commit.done(errors.New("lost"))
	}
	s.part.Close()
	s.leadership = &fakeLeadership{epoch: s.leadership.epoch + 1, hasLease: true, durable: s.leadership.durable}
	var pairs []wire.Op
	for _, pair := range s.leadership.durable {
		pairs = append(pairs, pair)
	}
	Expect(s.part.Open(s.leadership, pairs)).To(Succeed())
}

// send makes a call. The answer may be added to answers later.
func (s *harness) send(call wire.ClientCall, body easyjson.Marshaler) {
	if body != nil {
		text, err := easyjson.Marshal(body)
		Expect(err).NotTo(HaveOccurred())
		call.Body = text
	}
	s.part.CommandFor(call.Verb)(&call, func(answer wire.ClientAnswer) { s.answers = append(s.answers, answer) })
}

// lastAnswer commits all pending changes and returns the latest answer as text: the status, and the body if there is one.
func (s *harness) lastAnswer() string {
	GinkgoHelper()
	s.leadership.commitOldest(len(s.leadership.pending))
	Expect(s.answers).NotTo(BeEmpty())
	return answerText(s.answers[len(s.answers)-1])
}

// answerText returns an answer as text.
func answerText(answer wire.ClientAnswer) string {
	switch {
	case answer.OutcomeUnknown:
		return "unknown"
	case answer.NotLeader:
		return "not leader"
	}
	return strings.TrimSpace(errors.Errorf("%d %s", answer.Status, answer.Body).Error())
}

func (s *harness) acquire(name, holder string) string {
	s.send(wire.ClientCall{Verb: wire.VerbAcquire, ID: name}, &wire.LockCall{Holder: holder, HoldMs: testHold.Milliseconds()})
	return s.lastAnswer()
}

func (s *harness) renew(name, holder string, fence uint64, hold time.Duration) {
	s.send(wire.ClientCall{Verb: wire.VerbRenew, ID: name}, &wire.LockCall{Holder: holder, Fence: fence, HoldMs: hold.Milliseconds()})
}

func (s *harness) release(name, holder string, fence uint64) string {
	s.send(wire.ClientCall{Verb: wire.VerbRelease, ID: name}, &wire.LockCall{Holder: holder, Fence: fence})
	return s.lastAnswer()
}

func (s *harness) takeNumber(name string) string {
	s.send(wire.ClientCall{Verb: wire.VerbTakeNumber, ID: name}, nil)
	return s.lastAnswer()
}

func (s *harness) sendPut(name, value string, expected uint64) {
	s.send(wire.ClientCall{Verb: wire.VerbPut, ID: name}, &wire.PutCall{Value: value, Expected: expected})
}

func (s *harness) put(name, value string, expected uint64) string {
	s.sendPut(name, value, expected)
	return s.lastAnswer()
}

func (s *harness) get(name string) string {
	s.send(wire.ClientCall{Verb: wire.VerbGet, ID: name}, nil)
	return s.lastAnswer()
}

func (s *harness) watch(group string, above int64, wait time.Duration) {
	s.send(wire.ClientCall{Verb: wire.VerbWatch, ID: group, Base: above, RemainingMs: wait.Milliseconds()}, nil)
}

// advance moves the clock in steps of 50 ms with a tick after each.
func (s *harness) advance(length time.Duration) {
	const step = 50 * time.Millisecond
	for ; length > 0; length -= step {
		s.clock.Advance(min(step, length))
		s.part.Tick()
	}
}
