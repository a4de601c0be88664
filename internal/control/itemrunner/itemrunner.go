// Package itemrunner carries the items of lots to executors, each run on a goroutine of its own, and gathers the events that they
// answer.
package itemrunner

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"gannetline/internal/control/lots"
	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/eventstream"
	"gannetline/internal/platform/headers"
	"gannetline/internal/platform/mailbox"
)

const (
	// runTimeout bounds a run: an executor that says nothing more is left by then.
	runTimeout = 30 * time.Second
	// itemPriority lets the requests that people wait for go first at an executor.
	itemPriority = "9"
	// maxRefusalBody is how much of the body of a refusal is read, so that the connection can be kept.
	maxRefusalBody = 4096
)

// Runner runs items, and posts their outcomes to a mailbox.
type Runner struct {
	ctx     context.Context
	clock   clock.Clock
	client  *http.Client
	mailbox *mailbox.Mailbox
}

// New makes a runner whose runs end with ctx and whose outcomes go to a mailbox.
func New(ctx context.Context, clock clock.Clock, client *http.Client, mailbox *mailbox.Mailbox) *Runner {
	return &Runner{ctx: ctx, clock: clock, client: client, mailbox: mailbox}
}

// Start begins a run; done is called on the goroutine of the mailbox.
func (r *Runner) Start(run lots.Run, done func(lots.Outcome, lots.Progress)) {
	go func() {
		outcome, progress := r.run(run)
		r.mailbox.Post(func() { done(outcome, progress) })
	}()
}

// run carries one item to its executor, and ends that once the executor is silent for too long.
func (r *Runner) run(run lots.Run) (lots.Outcome, lots.Progress) {
	ctx, cancel := context.WithTimeout(r.ctx, runTimeout)
	defer cancel()
	timer := newIdleTimer(r.clock, run.IdleTimeout)
	go timer.run(ctx, cancel)
	outcome, progress := r.carry(ctx, run, timer)
	if outcome == lots.OutcomeBroken && timer.hasExpired() {
		return lots.OutcomeTimedOut, progress
	}
	return outcome, progress
}

// carry calls the executor and reads its answer.
func (r *Runner) carry(ctx context.Context, run lots.Run, timer *idleTimer) (lots.Outcome, lots.Progress) {
	call, err := callOf(ctx, run)
	if err != nil {
		return lots.OutcomeImpossible, run.Progress
	}
	answer, err := r.client.Do(call)
	if err != nil {
		return lots.OutcomeBroken, run.Progress
	}
	defer answer.Body.Close()
	switch {
	case answer.Header.Get(headers.NotExecuted) != "" || answer.StatusCode == http.StatusMisdirectedRequest:
		io.CopyN(io.Discard, answer.Body, maxRefusalBody)
		return lots.OutcomeRefused, run.Progress
	case answer.Header.Get(headers.RequestID) != run.ItemID:
		return lots.OutcomeBroken, run.Progress
	case answer.StatusCode != http.StatusOK:
		io.CopyN(io.Discard, answer.Body, maxRefusalBody)
		return lots.StatusOutcome(answer.StatusCode), run.Progress
	case !strings.HasPrefix(answer.Header.Get("Content-Type"), eventstream.MediaType):
		return lots.OutcomeBroken, run.Progress
	}
	return gather(answer, run.Progress, timer)
}

// callOf makes the call of a run.
func callOf(ctx context.Context, run lots.Run) (*http.Request, error) {
	call, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+run.Executor.Address+run.Path, bytes.NewReader(run.Body))
	if err != nil {
		return nil, err
	}
	for name, value := range run.Headers {
		call.Header.Set(name, value)
	}
	call.Host, call.GetBody = run.Host, nil
	call.Header.Set(headers.RequestID, run.ItemID)
	call.Header.Set(headers.ExpectedExecutor, run.Executor.ID)
	call.Header.Set(headers.Priority, itemPriority)
	if run.Tenant != "" {
		call.Header.Set(headers.Tenant, run.Tenant)
	}
	if run.Progress.LastEventID != "" {
		call.Header.Set(headers.LastEventID, run.Progress.LastEventID)
	}
	return call, nil
}

// gather reads the events of an answer behind those of earlier runs. An answer whose length nothing tells can't be known to be whole.
func gather(answer *http.Response, progress lots.Progress, timer *idleTimer) (lots.Outcome, lots.Progress) {
	progress.Texts = slices.Clone(progress.Texts)
	isFramed := answer.ContentLength >= 0 || slices.Contains(answer.TransferEncoding, "chunked")
	events := eventstream.NewReader(answer.Body)
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) && isFramed {
			return lots.OutcomeCompleted, progress
		}
		if err != nil {
			return lots.OutcomeBroken, progress
		}
		timer.noteEvent()
		if event.HasData {
			progress.Texts = append(progress.Texts, string(event.Data))
		}
		if event.ID != "" {
			progress.LastEventID = event.ID
		}
	}
}
