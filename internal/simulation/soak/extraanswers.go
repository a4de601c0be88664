package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"gannetline/internal/platform/headers"
)

const (
	// refusedPercent is the percentage of requests that an engine refuses. After a refusal, extraPercent of the next requests on the
	// connection get the refusal once more, in the place of their own answer.
	refusedPercent = 25
	extraPercent   = 60
	// extraAnswerGap is the time between an extra answer and the close of its connection.
	extraAnswerGap = 20 * time.Millisecond
	// maxRepeatedStreams is how many requests may run more often than allowed until OracleBudget reports them.
	maxRepeatedStreams = 3
)

// StreamRun is the begin of a request at an engine.
type StreamRun struct {
	ID, Engine string
	At         time.Duration
}

// engineConnection is the state of a connection to an engine. The engine serves one request at a time on it.
type engineConnection struct {
	// refusedID is the ID of the request that was refused last, if its refusal may still be sent once more.
	refusedID string
}

// engineConnectionKey is the key of the engineConnection in the context of a call.
type engineConnectionKey struct{}

// withConnection returns the context of a new connection to an engine.
func withConnection(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, engineConnectionKey{}, &engineConnection{})
}

// refuse refuses a request of a percentage that is drawn at random, and reports whether it did.
func (c *engineConnection) refuse(writer http.ResponseWriter, id string) bool {
	if rand.IntN(100) >= refusedPercent {
		return false
	}
	c.refusedID = id
	writer.Header().Set(headers.NotExecuted, "1")
	writer.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// sendExtraAnswer sends the last refusal on the connection once more, in the place of the answer to the present request, and then closes the
// connection. It does so at random, after a refusal only, and reports whether it did.
func (c *engineConnection) sendExtraAnswer(writer http.ResponseWriter) bool {
	refusedID := c.refusedID
	c.refusedID = ""
	if refusedID == "" || rand.IntN(100) >= extraPercent {
		return false
	}
	connection, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		return false
	}
	defer connection.Close()
	// A failed write means that the gate has closed the connection.
	_, _ = fmt.Fprintf(connection, "HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", headers.RequestID, refusedID, headers.NotExecuted)
	time.Sleep(extraAnswerGap)
	return true
}

// repeatedStreams is OracleBudget: requests whose stream can't be resumed begin at one engine at most in each try.
func repeatedStreams(h *History) []Violation {
	engines := map[string][]string{}
	for _, run := range h.StreamRuns {
		engines[run.ID] = append(engines[run.ID], run.Engine)
	}
	var repeated []Violation
	for index := range h.Streams {
		call := &h.Streams[index]
		if call.Prefix == askPrefix && len(engines[call.ID]) > 1 {
			repeated = append(repeated, Violation{OracleBudget, call.EndedAt, fmt.Sprintf("%s at %s began at %v", call.ID, call.Gate, engines[call.ID])})
		}
	}
	if len(repeated) <= maxRepeatedStreams {
		return nil
	}
	return repeated
}
