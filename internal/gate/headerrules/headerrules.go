// Package headerrules is the single place that defines what happens to the headers of clients' requests and of executors' answers.
package headerrules

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"gannetline/internal/platform/headers"
)

// action is what the gate does with a header of a request that it does not forward to an executor.
type action int

const (
	// actionDrop ignores the header.
	actionDrop action = iota
	// actionRead uses the header within the gate.
	actionRead
	// actionEcho returns the header to the client in the answer.
	actionEcho
)

// rule defines the action for a header of a client's request.
type rule struct {
	header string
	action action
}

var rules = []rule{
	{headers.TimeRemaining, actionRead},
	{"Host", actionRead},
	{"Content-Type", actionRead},
	{"Content-Length", actionRead},
	{headers.RequestID, actionEcho},
	{headers.Authorization, actionRead},
	{"Cookie", actionDrop},
	{"X-Forwarded-For", actionDrop},
}

// Echo copies the headers with actionEcho from a request to its answer.
func Echo(from, to http.Header) {
	for _, rule := range rules {
		if rule.action != actionEcho {
			continue
		}
		if value := from.Get(rule.header); value != "" {
			to.Set(rule.header, value)
		}
	}
}

// bearerScheme is the authentication scheme of a client's key. It is case-insensitive.
const bearerScheme = "Bearer "

// BearerKey returns the API key in the headers of a client's request, or an empty text if there is none.
func BearerKey(from http.Header) string {
	text := from.Get(headers.Authorization)
	if len(text) <= len(bearerScheme) || !strings.EqualFold(text[:len(bearerScheme)], bearerScheme) {
		return ""
	}
	return strings.TrimSpace(text[len(bearerScheme):])
}

// TimeLeft returns how long the client still waits according to its header X-Time-Remaining, at most limit. Without the header it returns
// limit. isValid is false if the header is not a count of milliseconds.
func TimeLeft(from http.Header, limit time.Duration) (left time.Duration, isValid bool) {
	text := from.Get(headers.TimeRemaining)
	if text == "" {
		return limit, true
	}
	count, err := strconv.ParseInt(text, 10, 64)
	if err != nil || count < 0 {
		return 0, false
	}
	return min(limit, time.Duration(min(count, 1<<31))*time.Millisecond), true
}

// hopByHopHeaders apply to a single connection and are never copied.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade"}

// unforwardedHeaders are further headers of a client that executors do not get: the client's key, and headers that this system sets
// itself.
var unforwardedHeaders = []string{headers.Authorization, headers.Tenant, headers.ExpectedExecutor, "Content-Length", "Host"}

// CopyToExecutor copies the headers of a client's request that are forwarded to an executor.
func CopyToExecutor(from, to http.Header) {
	copyExcept(from, to, append(hopByHopIn(from), unforwardedHeaders...))
}

// CopyToClient copies the headers of an executor's answer that are returned to a client.
func CopyToClient(from, to http.Header) { copyExcept(from, to, hopByHopIn(from)) }

// hopByHopIn returns the names of the hop-by-hop headers: hopByHopHeaders and those that the header Connection lists.
func hopByHopIn(headers http.Header) []string {
	names := slices.Clone(hopByHopHeaders)
	for _, value := range headers.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			names = append(names, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	return names
}

// copyExcept copies all headers except the excluded ones, whose names must be in canonical form.
func copyExcept(from, to http.Header, excluded []string) {
	for name, values := range from {
		if !slices.Contains(excluded, name) {
			to[name] = slices.Clone(values)
		}
	}
}
