// Package headerrules is the one list of what happens to each header of a client's call.
package headerrules

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"gannetline/internal/platform/headers"
)

type action int

const (
	actionDrop action = iota
	actionRead
	actionEcho
)

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

// Echo copies onto the answer what the rules say is given back.
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

// bearerScheme begins the header that bears a client's key; its case doesn't matter.
const bearerScheme = "Bearer "

// BearerKey gives the key that a client bears, empty if it bears none.
func BearerKey(from http.Header) string {
	text := from.Get(headers.Authorization)
	if len(text) <= len(bearerScheme) || !strings.EqualFold(text[:len(bearerScheme)], bearerScheme) {
		return ""
	}
	return strings.TrimSpace(text[len(bearerScheme):])
}

// TimeLeft is how long the client still waits; isSane is false for what is no count.
func TimeLeft(from http.Header, limit time.Duration) (left time.Duration, isSane bool) {
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

// connectionHeaders concern one connection only.
var connectionHeaders = []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade"}

// unforwarded are headers of a client that an executor is not shown: the key, and what this system tells executors itself.
var unforwarded = []string{headers.Authorization, headers.Tenant, headers.ExpectedExecutor, "Content-Length", "Host"}

// CopyToExecutor copies the headers of a client's request that an executor gets.
func CopyToExecutor(from, to http.Header) {
	copyBut(from, to, append(namedIn(from), unforwarded...))
}

// CopyToClient copies the headers of an executor's answer that a client gets.
func CopyToClient(from, to http.Header) { copyBut(from, to, namedIn(from)) }

// namedIn are the headers that concern one connection, with those that the header Connection names.
func namedIn(headers http.Header) []string {
	names := slices.Clone(connectionHeaders)
	for _, value := range headers.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			names = append(names, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	return names
}

func copyBut(from, to http.Header, left []string) {
	for name, values := range from {
		if !slices.Contains(left, name) {
			to[name] = slices.Clone(values)
		}
	}
}
