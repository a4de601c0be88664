package simcluster

import (
	"fmt"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/scheduling/jobs"
)

// maxUnanswered is how many calls of one question may wait for their answers at once.
const maxUnanswered = 8

// Shown is what an answer shows of a subject that only moves forward, such as a job, which is open and then completed. A higher rank is a
// later state. Answers of equal rank must have equal texts.
type Shown struct {
	Rank int64
	Text string
}

// Question is a call that clients make again and again about one subject.
type Question struct {
	Subject string
	// Call returns the next call.
	Call func() wire.ClientCall
	// Read returns what an answer shows. It returns false if the answer shows nothing.
	Read func(wire.ClientAnswer) (Shown, bool)
}

// History holds the latest state of each subject that any client was shown. It records a violation if a client that asks later is shown an
// earlier state: either the answer is stale, or what was shown has been taken back.
type History struct {
	cluster *Cluster
	latest  map[string]Shown
	// answers counts the answers on each subject since the last Restart.
	answers map[string]int
	// isOver ends the repeated questions.
	isOver bool
}

// NewHistory creates an empty history of a cluster's answers.
func NewHistory(cluster *Cluster) *History {
	return &History{cluster: cluster, latest: map[string]Shown{}, answers: map[string]int{}}
}

// Restart sets the counts of Answers to 0.
func (h *History) Restart() { clear(h.answers) }

// Answers returns the number of answers that have shown a state of the subject since the last Restart.
func (h *History) Answers(subject string) int { return h.answers[subject] }

// Latest returns the latest state of a subject that was shown.
func (h *History) Latest(subject string) Shown { return h.latest[subject] }

// Stop ends the questions of AskAlways.
func (h *History) Stop() { h.isOver = true }

// AskAlways asks a question until Stop, each time after an interval, unless too many calls have no answer yet.
func (h *History) AskAlways(question Question, interval func() time.Duration) {
	unanswered := 0
	var ask func()
	ask = func() {
		if h.isOver {
			return
		}
		if unanswered < maxUnanswered {
			unanswered++
			h.Ask(question, func(wire.ClientAnswer) { unanswered-- })
		}
		h.cluster.Events.After(interval(), ask)
	}
	ask()
}

// Ask asks a question once, checks the answer and passes it to done.
func (h *History) Ask(question Question, done func(wire.ClientAnswer)) {
	call := question.Call()
	if spec, err := jobs.Read(call.Body); call.Verb == wire.VerbSubmit && err == nil {
		h.cluster.Checker.expectJob(call.ID, spec, call.Terms.MaxAttempts)
	}
	before, wasShown := h.latest[question.Subject]
	h.cluster.CallLeader(call, func(answer wire.ClientAnswer) {
		if shown, isShown := question.Read(answer); isShown {
			h.record(question.Subject, shown, before, wasShown)
		}
		done(answer)
	})
}

// record checks a state that was shown to a client. before is the latest state that any client had been shown when this client asked.
func (h *History) record(subject string, shown, before Shown, wasShown bool) {
	h.answers[subject]++
	if wasShown && (shown.Rank < before.Rank || shown.Rank == before.Rank && shown.Text != before.Text) {
		h.cluster.Checker.recordViolation("%s was shown as %v and then as %v", subject, before, shown)
	}
	if latest, isKnown := h.latest[subject]; !isKnown || shown.Rank > latest.Rank {
		h.latest[subject] = shown
	}
}

// String returns the state as text.
func (s Shown) String() string { return fmt.Sprintf("%d %s", s.Rank, s.Text) }
