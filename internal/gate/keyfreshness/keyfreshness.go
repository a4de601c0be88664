// Package keyfreshness tells whether a gate may still trust the keys of the configuration that it knows. Where a key that was taken
// away must not be of use anywhere after a while, not even at a gate that is cut off, the gate has the leader of the configuration
// confirm its version again and again, and trusts its keys for that while only.
package keyfreshness

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/mailru/easyjson/jlexer"

	"gannetline/internal/cluster/leaderclient"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/clock"
)

const (
	// configurationKey is the replicated key of the configuration.
	configurationKey = "plan"
	// asksPerTimeout is how often the version is confirmed within the time that a confirmation lasts.
	asksPerTimeout = 5
	// answerMargin is taken off that time, for the answer that a call may still take to leave.
	answerMargin = 100 * time.Millisecond
)

// Asker asks the leader of a key; leaderclient.Client is the real one.
type Asker interface {
	Ask(ctx context.Context, call *wire.ClientCall, limit time.Duration) leaderclient.Outcome
}

// Tracker confirms the configuration again and again. Any goroutine may ask IsFresh.
type Tracker struct {
	asker   Asker
	clock   clock.Clock
	timeout time.Duration
	held    func() int64
	// confirmedAt is when the last question was sent whose answer confirmed the version that is held, in nanoseconds of the monotonic
	// clock plus one; 0 is never.
	confirmedAt atomic.Int64
}

// New makes a watch of the version that held gives. A confirmation lasts for the timeout, from before it was asked for.
func New(asker Asker, clock clock.Clock, timeout time.Duration, held func() int64) *Tracker {
	return &Tracker{asker: asker, clock: clock, timeout: timeout, held: held}
}

// IsFresh tells whether no key that the configuration holds was taken away longer ago than the timeout. All that was acknowledged to
// the operator before a question was sent is in the leader's answer, so that what this gate can't know of is younger than the question.
func (w *Tracker) IsFresh() bool {
	confirmedAt := w.confirmedAt.Load()
	return confirmedAt > 0 && w.clock.Monotonic()-time.Duration(confirmedAt-1) < w.timeout-answerMargin
}

// Run confirms the version until ctx is done.
func (w *Tracker) Run(ctx context.Context) error {
	for {
		w.confirm(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-w.clock.After(w.timeout / asksPerTimeout):
		}
	}
}

// confirm asks once. A leader that has a newer version confirms nothing: that has to be fetched first.
func (w *Tracker) confirm(ctx context.Context) {
	askedAt := w.clock.Monotonic()
	outcome := w.asker.Ask(ctx, &wire.ClientCall{Key: configurationKey, Verb: wire.VerbVersion}, w.timeout/asksPerTimeout)
	if outcome.Answer == nil || outcome.Answer.Status != http.StatusOK {
		return
	}
	version, err := versionOf(outcome.Answer.Body)
	if err == nil && w.held() >= version {
		w.confirmedAt.Store(int64(askedAt) + 1)
	}
}

// versionOf reads the answer to VerbVersion.
func versionOf(body []byte) (int64, error) {
	lexer := jlexer.Lexer{Data: body}
	var version int64
	lexer.Delim('{')
	for !lexer.IsDelim('}') {
		name := lexer.String()
		lexer.WantColon()
		if name == "config-version" {
			version = lexer.Int64()
		} else {
			lexer.SkipRecursive()
		}
		lexer.WantComma()
	}
	lexer.Delim('}')
	return version, errors.Annotate(lexer.Error(), "the version of the configuration")
}
