// Package supervise runs the long-lived parts of a process side by side and restarts those that fail.
package supervise

import (
	"context"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/juju/errors"

	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/logging"
)

// Part runs one long-lived part of a process. It returns nil when its work or ctx is done, and an error if it fails.
type Part func(ctx context.Context) error

// Tree runs parts side by side and restarts each one that fails or panics, until one fails too often.
type Tree struct {
	clock clock.Clock
	log   logging.Logger
	// maxFailures is the number of failures of a part that are tolerated within a window.
	maxFailures int
	window      time.Duration
	// restartPause is the time from a failure until the restart.
	restartPause time.Duration
	parts        []namedPart
}

// namedPart is a part with its name for the log.
type namedPart struct {
	name string
	part Part
}

// Option configures a tree.
type Option func(*Tree)

// WithLimit ends the tree once a part has failed more than maxFailures times within a time window.
func WithLimit(maxFailures int, window time.Duration) Option {
	return func(t *Tree) { t.maxFailures, t.window = maxFailures, window }
}

// New creates an empty tree. By default a part may fail five times a minute and is restarted after 100 ms.
func New(clock clock.Clock, log logging.Logger, options ...Option) *Tree {
	tree := &Tree{clock: clock, log: log, maxFailures: 5, window: time.Minute, restartPause: 100 * time.Millisecond}
	for _, option := range options {
		option(tree)
	}
	return tree
}

// Add adds a part under a name for the log. It must be called before Run.
func (t *Tree) Add(name string, part Part) { t.parts = append(t.parts, namedPart{name, part}) }

// Run runs all parts and returns nil once each has returned nil. If ctx is done before, Run waits until all parts have returned, and returns nil.
// If a part fails too often, Run cancels the others, doesn't wait for them, and returns the error.
func (t *Tree) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan error, len(t.parts))
	for _, part := range t.parts {
		go func() { results <- t.runWithRestarts(ctx, part) }()
	}
	for range t.parts {
		if err := <-results; err != nil {
			return err
		}
	}
	return nil
}

// runWithRestarts runs a part and restarts it after a pause when it fails. It returns an error, which ends the tree, once the part has
// failed more than maxFailures times within the window.
func (t *Tree) runWithRestarts(ctx context.Context, part namedPart) error {
	var failures []time.Duration
	for {
		err := runRecovered(ctx, part.part)
		if ctx.Err() != nil {
			return nil
		}
		if err == nil {
			return nil
		}
		now := t.clock.Monotonic()
		failures = append(failures, now)
		for len(failures) > 0 && now-failures[0] > t.window {
			failures = failures[1:]
		}
		t.log.Error(err, "part failed", "part", part.name, "times", len(failures))
		if len(failures) > t.maxFailures {
			return errors.Annotatef(err, "part %s failed too often", part.name)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-t.clock.After(t.restartPause):
		}
	}
}

// runRecovered runs a part and turns a panic into an error with the stack.
func runRecovered(ctx context.Context, part Part) (err error) {
	defer func() {
		if panicValue := recover(); panicValue != nil {
			err = errors.Errorf("panic: %v\n%s", panicValue, debug.Stack())
		}
	}()
	return part(ctx)
}

// UntilSignal returns a context that is cancelled by SIGTERM, SIGINT or the returned function. The function must be called to release the
// signal handler.
func UntilSignal() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}
