package peerapi

import (
	"context"
	stderrors "errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

const (
	idleTimeout = 30 * time.Second
	// bufferBytes is the size of the read and the write buffer of a connection. It is small because there are connections to all peers.
	bufferBytes = 2048
)

// isDialError reports whether an error comes from a connection that could not be made.
func isDialError(err error) bool {
	var failed *net.OpError
	return stderrors.As(errors.Cause(err), &failed) && failed.Op == "dial" || stderrors.As(err, &failed) && failed.Op == "dial"
}

// Dialer returns a dialer with a timeout for connecting. Its connections fail if sent data stays unacknowledged for the same time.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAlive: -1, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout/time.Millisecond))
		})
	}}
}

// Client returns an HTTP client that connects with a Dialer of the timeout. It keeps up to idlePerHost idle connections to each peer for
// 30 s, and does not follow redirects.
func Client(timeout time.Duration, idlePerHost int) *http.Client {
	dialer := Dialer(timeout)
	return &http.Client{
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				return dialer.DialContext(ctx, network, address)
			},
			MaxIdleConnsPerHost: idlePerHost,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
			ReadBufferSize:      bufferBytes,
			WriteBufferSize:     bufferBytes,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
