// Package itemrunner runs the items of lots at executors, each run on its own goroutine, and collects the events of the executors'
// answers.
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
	"gannetline/internal/platform/executorclient"
	"gannetline/internal/platform/headers"
	"gannetline/internal/platform/mailbox"
)

const (
	// runTimeout limits the duration of a run, also while its executor sends events.
	runTimeout = 30 * time.Second
	// itemPriority is the value of the Priority header of items. Lower numbers go first, so that interactive requests overtake items at
	// an executor.
	itemPriority = "9"
)

// Runner runs items at executors and posts the outcomes to a mailbox. It implements lots.Runner.
type Runner struct {
	ctx     context.Context
	clock   clock.Clock
	client  *http.Client
	mailbox *mailbox.Mailbox
}

// New returns a runner that posts outcomes to the mailbox. All runs are cancelled when ctx is done.
func New(ctx context.Context, clock clock.Clock, client *http.Client, mailbox *mailbox.Mailbox) *Runner {
	return &Runner{ctx: ctx, clock: clock, client: client, mailbox: mailbox}
}

// Start starts a run. done is called on the goroutine of the mailbox.
func (r *Runner) Start(run lots.Run, done func(lots.Outcome, lots.Progress)) {
	go func() {
		outcome, progress := r.run(run)
		r.mailbox.Post(func() { done(outcome, progress) })
	}()
}

// run runs an item at its executor and cancels the call when the executor sends no event for run.IdleTimeout.
func (r *Runner) run(run lots.Run) (lots.Outcome, lots.Progress) {
	ctx, cancel := context.WithTimeout(r.ctx, runTimeout)
	defer cancel()
	timer := newIdleTimer(r.clock, run.IdleTimeout)
	go timer.run(ctx, cancel)
	outcome, progress := r.callExecutor(ctx, run, timer)
	if outcome == lots.OutcomeBroken && timer.hasExpired() {
		return lots.OutcomeTimedOut, progress
	}
	return outcome, progress
}

// callExecutor sends the item to the executor and reads the answer. The progress that it returns includes the progress of earlier runs.
func (r *Runner) callExecutor(ctx context.Context, run lots.Run, timer *idleTimer) (lots.Outcome, lots.Progress) {
	call, err := newCall(ctx, run)
	if err != nil {
		return lots.OutcomeImpossible, run.Progress
	}
	answer, statement, err := executorclient.Do(r.client, call)
	if err != nil {
		return lots.OutcomeBroken, run.Progress
	}
	defer answer.Body.Close()
	switch {
	case statement == executorclient.StatementNone:
		return lots.OutcomeBroken, run.Progress
	case statement == executorclient.StatementNotExecuted:
		executorclient.Drain(answer)
		return lots.OutcomeRefused, run.Progress
	case answer.StatusCode != http.StatusOK:
		executorclient.Drain(answer)
		return lots.StatusOutcome(answer.StatusCode), run.Progress
	case !strings.HasPrefix(answer.Header.Get("Content-Type"), eventstream.MediaType):
		return lots.OutcomeBroken, run.Progress
	}
	return readEvents(answer, run.Progress, timer)
}

// newCall returns the HTTP request of a run. Without GetBody, the HTTP client can't send the body a second time by itself.
func newCall(ctx context.Context, run lots.Run) (*http.Request, error) {
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

// readEvents adds the events of an answer to the progress of earlier runs. If the answer has neither a content length nor chunked
// encoding, its end can't be distinguished from a broken connection, so the outcome is OutcomeBroken.
func readEvents(answer *http.Response, progress lots.Progress, timer *idleTimer) (lots.Outcome, lots.Progress) {
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
		timer.reset()
		if event.HasData {
			progress.Texts = append(progress.Texts, string(event.Data))
		}
		if event.ID != "" {
			progress.LastEventID = event.ID
		}
	}
}
