// Package keyfreshness reports whether a gate can still trust the API keys in its configuration. A revoked key must not be accepted
// anywhere after a timeout, not even at a partitioned gate. Therefore the gate has the leader of the configuration confirm its version
// periodically, and trusts its keys only for the timeout after a confirmation.
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

// Tracker has the version of the configuration confirmed periodically. Any goroutine may call IsFresh.
type Tracker struct {
	asker   Asker
	clock   clock.Clock
	timeout time.Duration
	// currentVersion returns the version of the gate's configuration.
	currentVersion func() int64
	// confirmedAt is when the last call was sent whose answer confirmed the current version, in nanoseconds of the monotonic clock plus
	// one; 0 means never.
	confirmedAt atomic.Int64
}

// New returns a tracker that confirms the version that currentVersion returns. A confirmation lasts for the timeout, from the time its
// call was sent.
func New(asker Asker, clock clock.Clock, timeout time.Duration, currentVersion func() int64) *Tracker {
	return &Tracker{asker: asker, clock: clock, timeout: timeout, currentVersion: currentVersion}
}

// IsFresh reports whether no key in the configuration was revoked longer ago than the timeout. The leader's answer includes every
// change that was acknowledged to the operator before the call was sent, so any change that this gate misses is newer than the call.
func (t *Tracker) IsFresh() bool {
	confirmedAt := t.confirmedAt.Load()
	return confirmedAt > 0 && t.clock.Monotonic()-time.Duration(confirmedAt-1) < t.timeout-answerMargin
}

// Run has the version confirmed periodically until ctx is done.
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

// confirm makes one call to the leader. A leader with a newer version confirms nothing; the gate has to fetch that version first.
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
