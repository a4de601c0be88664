// Package keyfreshness reports whether a gate can still trust the API keys in its configuration. No gate may accept a key that was revoked
// longer ago than a timeout, not even a gate that is cut off from the leader. Therefore the gate periodically asks the leader of the
// configuration to confirm the gate's version, and trusts its keys only for the timeout after a confirmed call.
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
	// configurationKey is the replicated key whose leader holds the configuration.
	configurationKey = "plan"
	// confirmationsPerTimeout is how often the version is confirmed within the timeout.
	confirmationsPerTimeout = 5
	// answerMargin is subtracted from the timeout, as the answer to a request that was accepted last still has to be sent.
	answerMargin = 100 * time.Millisecond
)

// Asker calls the leader of a key. leaderclient.Client implements it.
type Asker interface {
	Ask(ctx context.Context, call *wire.ClientCall, timeout time.Duration) leaderclient.Outcome
}

// Tracker periodically asks the leader to confirm the version of the gate's configuration. Any goroutine may call IsFresh.
type Tracker struct {
	asker   Asker
	clock   clock.Clock
	timeout time.Duration
	// currentVersion returns the version of the gate's configuration.
	currentVersion func() int64
	// confirmedAt is 1 more than the time at which the last confirmed call was sent, in nanoseconds of the monotonic clock. A call is
	// confirmed if its answer showed no newer version. 0 means that there was none.
	confirmedAt atomic.Int64
}

// New returns a tracker of the version that currentVersion returns. A confirmation is valid for the timeout, less answerMargin, from the time
// its call was sent.
func New(asker Asker, clock clock.Clock, timeout time.Duration, currentVersion func() int64) *Tracker {
	return &Tracker{asker: asker, clock: clock, timeout: timeout, currentVersion: currentVersion}
}

// IsFresh reports whether the keys can be trusted: no key in the gate's configuration was revoked longer ago than the timeout. The leader's
// answer covers every change that was acknowledged to the operator before the call was sent, so any change that this gate lacks is newer
// than the call.
func (t *Tracker) IsFresh() bool {
	confirmedAt := t.confirmedAt.Load()
	return confirmedAt > 0 && t.clock.Monotonic()-time.Duration(confirmedAt-1) < t.timeout-answerMargin
}

// Run asks the leader to confirm the version periodically, until ctx is done.
func (t *Tracker) Run(ctx context.Context) error {
	for {
		t.confirm(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-t.clock.After(t.timeout / confirmationsPerTimeout):
		}
	}
}

// confirm makes one call to the leader. The answer is no confirmation if it has a newer version, which the gate has to fetch first.
func (t *Tracker) confirm(ctx context.Context) {
	askedAt := t.clock.Monotonic()
	outcome := t.asker.Ask(ctx, &wire.ClientCall{Key: configurationKey, Verb: wire.VerbVersion}, t.timeout/confirmationsPerTimeout)
	if outcome.Answer == nil || outcome.Answer.Status != http.StatusOK {
		return
	}
	version, err := versionOf(outcome.Answer.Body)
	if err == nil && t.currentVersion() >= version {
		t.confirmedAt.Store(int64(askedAt) + 1)
	}
}

// versionOf decodes the answer to VerbVersion. Unknown fields are skipped.
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
	return version, errors.Annotate(lexer.Error(), "decoding the version of the configuration")
}
