// Package supervise runs a tree of long-lived parts and starts again those that fail.
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

// Part is one long-lived activity. It returns nil when it is done or ctx is done, and an error if it failed.
type Part func(ctx context.Context) error

// Tree runs parts side by side and starts each again that fails or panics, until one fails too often.
type Tree struct {
	clock       clock.Clock
	log         logging.Logger
	maxFailures int
	within      time.Duration
	pause       time.Duration
	parts       []named
}

type named struct {
	name string
	part Part
}

// Option changes how a tree is made.
type Option func(*Tree)

// WithLimit ends the tree once a part failed more often than that within the time.
func WithLimit(maxFailures int, within time.Duration) Option {
	return func(t *Tree) { t.maxFailures, t.within = maxFailures, within }
}

// New makes an empty tree. Without options a part may fail five times a minute and starts again after 100 ms.
func New(clock clock.Clock, log logging.Logger, options ...Option) *Tree {
	tree := &Tree{clock: clock, log: log, maxFailures: 5, within: time.Minute, pause: 100 * time.Millisecond}
	for _, option := range options {
		option(tree)
	}
	return tree
}

// Add adds a part under a name for the log; call it before Run.
func (t *Tree) Add(name string, part Part) { t.parts = append(t.parts, named{name, part}) }

// Run returns once ctx is done, or with the error of a part that failed too often.
func (t *Tree) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan error, len(t.parts))
	for _, part := range t.parts {
		go func() { results <- t.keep(ctx, part) }()
	}
	for range t.parts {
		if err := <-results; err != nil {
			return err
		}
	}
	return nil
}

// keep runs a part and starts it again after a pause when it fails. It gives up, and with it the tree, when the part
// failed more than maxFailures times within a while.
func (t *Tree) keep(ctx context.Context, part named) error {
	var failures []time.Duration
	for {
		err := guarded(ctx, part.part)
		if ctx.Err() != nil {
			return nil
		}
		if err == nil {
			return nil
		}
		now := t.clock.Monotonic()
		failures = append(failures, now)
		for len(failures) > 0 && now-failures[0] > t.within {
			failures = failures[1:]
		}
		t.log.Error(err, "part failed", "part", part.name, "times", len(failures))
		if len(failures) > t.maxFailures {
			return errors.Annotatef(err, "part %s failed too often", part.name)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-t.clock.After(t.pause):
		}
	}
}

func guarded(ctx context.Context, part Part) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = errors.Errorf("panic: %v\n%s", cause, debug.Stack())
		}
	}()
	return part(ctx)
}

// UntilSignal gives a context that is cancelled by SIGTERM or SIGINT, or by the function, which must be called in the end.
func UntilSignal() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}
