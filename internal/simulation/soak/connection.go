package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"
)

// connection is a persistent HTTP connection that sends one request at a time. It doesn't use the client of net/http, which
// silently resends a request if a persistent connection has ended, and so would hide faults that the soak looks for.
type connection struct {
	raw    net.Conn
	reader *bufio.Reader
	// answerCount is the number of answers received so far.
	answerCount int
}

// request is an HTTP/1.1 request. timeout is also sent to the gate as the remaining time.
type request struct {
	method, host, path, id, body string
	// key is the key of a tenant, or "" for none.
	key     string
	timeout time.Duration
}

func (r *request) text() string {
	head := []string{r.method + " " + r.path + " HTTP/1.1", "Host: " + r.host, "X-Request-Id: " + r.id,
		fmt.Sprintf("X-Time-Remaining: %d", r.timeout.Milliseconds())}
	if r.key != "" {
		head = append(head, "Authorization: Bearer "+r.key)
	}
	if r.body != "" {
		head = append(head, "Content-Type: application/json", fmt.Sprintf("Content-Length: %d", len(r.body)))
	}
	return strings.Join(head, "\r\n") + "\r\n\r\n" + r.body
}

// reply is a complete answer. id is the request ID in it, or "".
type reply struct {
	status int
	id     string
	body   string
}

func dial(ctx context.Context, address string) (*connection, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	return &connection{raw: raw, reader: bufio.NewReader(raw)}, nil
}

// send writes a request, and returns whether it was written whole and when the write ended.
func (c *connection) send(outgoing *request) (sent bool, at time.Time) {
	// If the deadline can't be set, the write fails as well.
	_ = c.raw.SetDeadline(time.Now().Add(outgoing.timeout))
	_, err := io.WriteString(c.raw, outgoing.text())
	return err == nil, time.Now()
}

// receive reads the answer. ended is answered, or the reason why there is no answer. isLast is true if the connection can't be
// used again, after an error or because the gate closes it.
func (c *connection) receive(outgoing *request) (answer reply, ended outcome, isLast bool) {
	response, err := http.ReadResponse(c.reader, &http.Request{Method: outgoing.method})
	if err != nil {
		return answer, outcomeOf(err), true
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return answer, outcomeOf(err), true
	}
	c.answerCount++
	return reply{response.StatusCode, response.Header.Get("X-Request-Id"), string(body)}, answered, response.Close
}

func outcomeOf(err error) outcome {
	var network net.Error
	if errors.As(err, &network) && network.Timeout() {
		return timedOut
	}
	return closed
}

func (c *connection) close() { c.raw.Close() }
