// Package span wraps context, so that few files import it.
package span

import (
	"context"
	"os/signal"
	"syscall"
	"time"
)

type Span = context.Context

func Root() Span { return context.Background() }

func Within(parent Span, limit time.Duration) (Span, func()) {
	return context.WithTimeout(parent, limit)
}

func Cancellable(parent Span) (Span, func()) { return context.WithCancel(parent) }

func UntilSignal() (Span, func()) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}
