// Package executorclient sends requests to executors and tells whether an answer belongs to the request that was sent. An executor may send
// an extra answer to an earlier request, which arrives in the place of the next answer on the connection. Only the request ID, which
// executors echo, distinguishes the two.
package executorclient

import (
	"io"
	"net"
	"net/http"
	"net/http/httptrace"

	"gannetline/internal/platform/headers"
	"gannetline/internal/platform/metrics"
)

// Statement is what the head of an executor's answer states about the request that was sent.
type Statement int

const (
	// StatementNone means that the answer belongs to another request. The executor may run the request that was sent.
	StatementNone Statement = iota
	// StatementNotExecuted means that the executor did not run the request and never will.
	StatementNotExecuted
	// StatementExecuted means that the executor ran the request, or runs it now.
	StatementExecuted
)

// maxDrainedBytes limits the bytes that Drain reads.
const maxDrainedBytes = 4096

// foreignAnswers counts the answers that belonged to another request than the one that was sent.
var foreignAnswers = metrics.NewCounter("gannetline_executor_foreign_answers_total")

// Do sends a request, which must have a request ID, and returns the answer with what it states about the request. The caller must close
// the body. After StatementNone the connection is closed: the own answer to the request may still arrive on it. Errors are those of the
// HTTP client.
func Do(client *http.Client, call *http.Request) (*http.Response, Statement, error) {
	var connection net.Conn
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { connection = info.Conn }}
	answer, err := client.Do(call.WithContext(httptrace.WithClientTrace(call.Context(), trace)))
	if err != nil {
		return nil, StatementNone, err
	}
	statement := statementOf(answer, call.Header.Get(headers.RequestID))
	if statement == StatementNone {
		foreignAnswers.Inc()
		if connection != nil {
			connection.Close()
		}
	}
	return answer, statement, nil
}

// statementOf compares the IDs first: a refusal of another request states nothing about this one.
func statementOf(answer *http.Response, requestID string) Statement {
	switch {
	case answer.Header.Get(headers.RequestID) != requestID:
		return StatementNone
	case answer.Header.Get(headers.NotExecuted) != "" || answer.StatusCode == http.StatusMisdirectedRequest:
		return StatementNotExecuted
	}
	return StatementExecuted
}

// Drain reads a short body that nobody needs, so that the connection can be reused.
func Drain(answer *http.Response) {
	// A failed read only means that the connection is not reused.
	_, _ = io.CopyN(io.Discard, answer.Body, maxDrainedBytes)
}
