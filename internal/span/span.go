// Package span wraps context, so that few files import it.
package span

import (
	"context"
	"os/signal"
	"syscall"
	"time"
)

// Span is how long something may go on: it ends by cancelling, by a deadline or with its parent.
type Span = context.Context

// Root is a span without an end.
func Root() Span { return context.Background() }

// Within gives a span that ends with its parent, after the limit, or by the function, which must be called in the
// end.
func Within(parent Span, limit time.Duration) (Span, func()) {
	return context.WithTimeout(parent, limit)
}

// Cancellable gives a span that ends with its parent or by the function, which must be called in the end.
func Cancellable(parent Span) (Span, func()) { return context.WithCancel(parent) }

// WithValue gives a span that ends with its parent and carries a value.
func WithValue(parent Span, key, value any) Span { return context.WithValue(parent, key, value) }

// UntilSignal gives a span that ends with SIGTERM or SIGINT, or by the function.
func UntilSignal() (Span, func()) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}
