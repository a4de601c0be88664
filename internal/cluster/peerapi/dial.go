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
	// bufferBytes is small, as there is a connection to each peer.
	bufferBytes = 2048
)

// isDialError tells whether a connection could not be made.
func isDialError(err error) bool {
	var failed *net.OpError
	return stderrors.As(errors.Cause(err), &failed) && failed.Op == "dial" || stderrors.As(err, &failed) && failed.Op == "dial"
}

// Dialer gives up a connection whose other side has acknowledged nothing for the time of silence.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAlive: -1, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout/time.Millisecond))
		})
	}}
}

// Client makes an HTTP client that gives up a connection whose other side has acknowledged nothing for the time of
// silence. It keeps so many idle connections to each peer, for 30 s, and follows no redirects.
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
