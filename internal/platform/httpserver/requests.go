package httpserver

import (
	"context"
	"time"
)

// serverKey is the key of the server in the context of a request.
type serverKey struct{}

func serverOf(ctx context.Context) *Server {
	server, _ := ctx.Value(serverKey{}).(*Server)
	return server
}

// UntilCallsEnd returns a context that ends with ctx, or at ShutdownTimes.CallsEnd of the server whose request ctx belongs to. It is for calls
// whose answers the server still has to write during the shutdown. The caller must call the returned function to release the context.
func UntilCallsEnd(ctx context.Context) (context.Context, context.CancelFunc) {
	server := serverOf(ctx)
	if server == nil {
		return context.WithCancel(ctx)
	}
	limited, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(server.callsContext, cancel)
	return limited, func() {
		stop()
		cancel()
	}
}

// MayComplete reports whether a request that arrives now and takes up to timeout is answered before the server cancels it. The answer is
// always true before ShutdownTimes.Notice is over, as clients don't know of the shutdown until then, and outside of a server.
func MayComplete(ctx context.Context, timeout time.Duration) bool {
	server := serverOf(ctx)
	if server == nil {
		return true
	}
	shutdown := server.shutdown.Load()
	if shutdown == nil {
		return true
	}
	elapsed := server.clock.Monotonic() - shutdown.startedAt
	return elapsed < shutdown.times.Notice || elapsed+timeout <= shutdown.times.requestsEnd()
}

// shutdown is a shutdown in progress. startedAt is on the monotonic clock.
type shutdown struct {
	times     ShutdownTimes
	startedAt time.Duration
}
