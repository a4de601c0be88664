package servingapi

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"gannetline/internal/cluster/configcache"
	"gannetline/internal/cluster/configuration"
	"gannetline/internal/cluster/leaderclient"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/gate/headerrules"
	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/headers"
	"gannetline/internal/platform/httpserver"
	"gannetline/internal/platform/response"
)

const (
	// maxWait is how long a read of results waits at the leader, at most. It is short so that a failed leader is detected in time.
	maxWait = 300 * time.Millisecond
	// lotCallTimeout is how long a call about a lot may take. Clients wait 1.5 s longer than the wait time that they request.
	lotCallTimeout = 1400 * time.Millisecond
)

// IsAboutLots reports whether a path belongs to calls about a submitted lot or an item of one.
func IsAboutLots(path string) bool {
	return strings.HasPrefix(path, prefixLots) || strings.HasPrefix(path, prefixItems)
}

// decideLotCall returns what to do with a call about a submitted lot or an item of one.
func decideLotCall(snapshot *configcache.Snapshot, request *http.Request) Decision {
	kind, refusal := lotKindOf(request)
	if refusal.Status != 0 {
		return refuse(refusal)
	}
	tenant, isAllowed := tenantOfLotCall(snapshot, request)
	if !isAllowed {
		return refuse(response.Unauthorized("lots need the key of a tenant, and the key is none"))
	}
	return Decision{Kind: kind, Tenant: tenant, Timeout: lotCallTimeout}
}

// lotKindOf returns the kind of a call about a lot, by its path and method. A refusal is returned if the call is invalid.
func lotKindOf(request *http.Request) (kind, response.Reply) {
	isLot := strings.HasPrefix(request.URL.Path, prefixLots)
	switch {
	case !isLot && request.Method == http.MethodGet:
		return kindReadItem, response.Reply{}
	case isLot && request.Method == http.MethodDelete:
		return kindEndLot, response.Reply{}
	case isLot && request.Method == http.MethodGet:
		if _, isValid := positionOf(request.URL.Query().Get("depends-on")); !isValid {
			return kindRefused, response.Text(http.StatusBadRequest, "depends-on is no position")
		}
		return kindReadLot, response.Reply{}
	}
	return kindRefused, response.Text(http.StatusMethodNotAllowed, "a lot is read by GET and ended by DELETE, an item read by GET")
}

// tenantOfLotCall returns the tenant whose key a call about a lot carries, or an empty name if it carries no known key and needs none. The
// leader of the lots decides which lots a call without a tenant may access. isAllowed is false if the call needs a key and carries no known
// one.
func tenantOfLotCall(snapshot *configcache.Snapshot, request *http.Request) (name string, isAllowed bool) {
	key := headerrules.BearerKey(request.Header)
	if tenant := snapshot.Matcher.TenantOfKey(key); tenant != nil {
		return tenant.Name, true
	}
	switch snapshot.Matcher.LotKeyRule(request.Host) {
	case configuration.LotKeyIgnored:
		return "", true
	case configuration.LotKeyOptional:
		return "", key == ""
	}
	return "", false
}

// askAboutLot sends a call about a lot to the leader of the lots' partition.
func (g *Gate) askAboutLot(request *http.Request, decision Decision, body []byte) response.Reply {
	call, refusal := callOf(request, decision, body)
	if refusal.Status != 0 {
		return refusal
	}
	ctx, cancel := httpserver.UntilCallsEnd(request.Context())
	defer cancel()
	ctx, cancelTimeout := context.WithTimeout(ctx, max(0, decision.Timeout))
	defer cancelTimeout()
	return replyOf(call, g.leaderClient.Ask(ctx, call, decision.Timeout))
}

// callOf returns the call to the leader for a decision. A refusal is returned if the body is invalid.
func callOf(request *http.Request, decision Decision, body []byte) (*wire.ClientCall, response.Reply) {
	call := &wire.ClientCall{Key: wire.LotsKey, Tenant: decision.Tenant}
	switch decision.Kind {
	case kindSubmitLot:
		if !json.Valid(body) {
			return nil, response.Text(http.StatusBadRequest, "the lot can't be read: no whole JSON")
		}
		call.Verb, call.ID, call.Route, call.Body = wire.VerbSubmitLot, request.Header.Get(headers.RequestID), decision.Route.Name, body
	case kindReadLot:
		call.Verb, call.ID = wire.VerbLotResults, strings.TrimPrefix(request.URL.Path, prefixLots)
		call.Base, _ = positionOf(request.URL.Query().Get("depends-on"))
		call.RemainingMs = waitOf(request).Milliseconds()
	case kindReadItem:
		call.Verb, call.ID = wire.VerbLotItem, strings.TrimPrefix(request.URL.Path, prefixItems)
		call.Item = request.URL.Query().Get("executor-id")
	default:
		call.Verb, call.ID = wire.VerbEndLot, strings.TrimPrefix(request.URL.Path, prefixLots)
	}
	return call, response.Reply{}
}

// waitOf returns how long a read waits for results, as the header X-Wait-Time requests, but at most maxWait.
func waitOf(request *http.Request) time.Duration {
	count, err := strconv.ParseInt(request.Header.Get(headers.WaitTime), 10, 64)
	if err != nil || count < 0 {
		return 0
	}
	return min(clock.Milliseconds(count), maxWait)
}

// replyOf returns the answer to a client. The answer to a submission is a refusal only if no process can have accepted the lot; if one may
// have, the answer says that the outcome is unknown.
func replyOf(call *wire.ClientCall, outcome leaderclient.Outcome) response.Reply {
	answer := outcome.Answer
	isSubmission := call.Verb == wire.VerbSubmitLot
	switch {
	case answer == nil && outcome.MayHaveRun && isSubmission:
		return response.Text(http.StatusGatewayTimeout, "nobody knows yet whether the lot was taken; hand it in again")
	case answer == nil:
		return response.Later(http.StatusServiceUnavailable, 1, "the leader of the lots does not answer")
	case outcome.MayHaveRun && isSubmission && answer.Status != http.StatusAccepted:
		return response.Text(http.StatusGatewayTimeout, "nobody knows yet whether the lot was taken; hand it in again")
	case answer.Reason != "":
		return response.Later(answer.Status, answer.RetryAfterS, answer.Reason)
	case call.Verb == wire.VerbLotItem:
		return itemReply(answer)
	}
	return response.Raw(answer.Status, answer.Body)
}

// itemReply returns an answer with the decoded body of an item. The leader sends the body as a JSON string in base64.
func itemReply(answer *wire.ClientAnswer) response.Reply {
	var text string
	if err := json.Unmarshal(answer.Body, &text); err != nil {
		return response.Text(http.StatusBadGateway, "the body of the item can't be read")
	}
	body, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return response.Text(http.StatusBadGateway, "the body of the item can't be read")
	}
	return response.Raw(answer.Status, body)
}
