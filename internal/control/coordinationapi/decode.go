package coordinationapi

import (
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/mailru/easyjson"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/coordination"
	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/response"
)

// The prefixes of the paths that Handler serves. A name follows each.
const (
	PrefixLocks   = "/v1/locks/"
	PrefixNumbers = "/v1/numbers/"
	PrefixCells   = "/v1/cells/"
	PrefixWatch   = "/v1/watch/"
)

// The suffixes of paths, which follow the name and select the call.
const (
	suffixInitiate  = "/initiate"
	suffixHeartbeat = "/heartbeat"
	suffixTerminate = "/terminate"
	suffixReplace   = "/replace"
	suffixRetrieve  = "/retrieve"
)

const (
	// maxNameBytes, maxHolderBytes and maxValueBytes are the maximum lengths of names, holders and values.
	maxNameBytes   = 128
	maxHolderBytes = 128
	maxValueBytes  = 4 << 10
	// maxBodyBytes is the maximum length of a request body. A byte of a value may take up to six bytes in JSON.
	maxBodyBytes = 32 << 10
	// maxHold is the maximum hold time of a lock without a renewal; maxWait is the maximum wait of a watch.
	maxHold = 10 * time.Minute
	maxWait = time.Minute
)

// Command is a valid call of an application, ready to be sent to the leader.
type Command struct {
	Call wire.ClientCall
	// Wait is the time for which a watch waits for a put; 0 for other calls.
	Wait time.Duration
	// IsRead reports whether the call changes nothing. For such a call, Reply ignores whether an earlier attempt was executed.
	IsRead bool
}

// Decode returns the command of a request. If the request is invalid, the command is nil and the reply refuses the request.
func Decode(request *http.Request) (*Command, response.Reply) {
	path := request.URL.Path
	switch {
	case strings.HasPrefix(path, PrefixLocks):
		return decodeLockCall(request, strings.TrimPrefix(path, PrefixLocks))
	case strings.HasPrefix(path, PrefixNumbers):
		return decodeNumberCall(request, strings.TrimPrefix(path, PrefixNumbers))
	case strings.HasPrefix(path, PrefixCells):
		return decodeCellCall(request, strings.TrimPrefix(path, PrefixCells))
	case strings.HasPrefix(path, PrefixWatch):
		return decodeWatch(request, strings.TrimPrefix(path, PrefixWatch))
	}
	return refuse(http.StatusNotFound, "there is no such call")
}

// refuse returns no command and a reply with a status and a reason.
func refuse(status int, reason string) (*Command, response.Reply) {
	return nil, response.Text(status, reason)
}

// nameProblem returns why a name is invalid, or "" if it is valid.
func nameProblem(name string) string {
	switch {
	case name == "":
		return "the name is missing"
	case len(name) > maxNameBytes:
		return "the name has more than " + strconv.Itoa(maxNameBytes) + " bytes"
	case !utf8.ValidString(name) || strings.ContainsFunc(name, isForbiddenInName):
		return "the name has a character that names must not have"
	}
	return ""
}

// isForbiddenInName reports whether names must not contain a character.
func isForbiddenInName(character rune) bool {
	return character == '/' || unicode.IsControl(character)
}

// lockVerbs maps the suffix of a path to the verb of the call about a lock.
var lockVerbs = map[string]wire.Verb{
	suffixInitiate:  wire.VerbAcquire,
	suffixHeartbeat: wire.VerbRenew,
	suffixTerminate: wire.VerbRelease,
}

func decodeLockCall(request *http.Request, path string) (*Command, response.Reply) {
	name, suffix := cutSuffix(path)
	verb, isKnown := lockVerbs[suffix]
	if !isKnown {
		return refuse(http.StatusNotFound, "there is no such call")
	}
	var params lockRequest
	if refusal := readRequest(request, http.MethodPost, name, &params); refusal.Status != 0 {
		return nil, refusal
	}
	if problem := params.problem(verb); problem != "" {
		return refuse(http.StatusBadRequest, problem)
	}
	body := wire.LockCall{Holder: params.Holder, Fence: uint64(params.Fence), HoldMs: params.HoldMs}
	return newWriteCommand(coordination.KeyOfName(name), verb, name, &body)
}

// problem returns why a field of a call about a lock is invalid, or "" if all fields are valid. Which fields are required depends on the
// verb.
func (r *lockRequest) problem(verb wire.Verb) string {
	needsHold, needsFence := verb != wire.VerbRelease, verb != wire.VerbAcquire
	switch {
	case r.Holder == "":
		return "field holder is missing"
	case len(r.Holder) > maxHolderBytes || !utf8.ValidString(r.Holder):
		return "field holder is longer than " + strconv.Itoa(maxHolderBytes) + " bytes or is no text"
	case needsFence && r.Fence <= 0:
		return "field fence-number is missing or not above 0"
	case !needsFence && r.Fence != 0:
		return "field fence-number doesn't belong here"
	case needsHold && r.HoldMs <= 0:
		return "field hold-time-ms is missing or not above 0"
	case clock.Milliseconds(r.HoldMs) > maxHold || r.HoldMs > maxHold.Milliseconds():
		return "field hold-time-ms is above " + strconv.FormatInt(maxHold.Milliseconds(), 10)
	case !needsHold && r.HoldMs != 0:
		return "field hold-time-ms doesn't belong here"
	}
	return ""
}

func decodeNumberCall(request *http.Request, name string) (*Command, response.Reply) {
	if refusal := readRequest(request, http.MethodPost, name, &numberRequest{}); refusal.Status != 0 {
		return nil, refusal
	}
	return newWriteCommand(coordination.KeyOfName(name), wire.VerbTakeNumber, name, nil)
}

func decodeCellCall(request *http.Request, path string) (*Command, response.Reply) {
	name, suffix := cutSuffix(path)
	key := coordination.KeyOfName(coordination.GroupOf(name))
	switch suffix {
	case suffixReplace:
		var params putRequest
		if refusal := readRequest(request, http.MethodPost, name, &params); refusal.Status != 0 {
			return nil, refusal
		}
		switch {
		case params.Expected < 0:
			return refuse(http.StatusBadRequest, "field enabled is negative")
		case len(params.Value) > maxValueBytes:
			return refuse(http.StatusRequestEntityTooLarge, "field value has more than "+strconv.Itoa(maxValueBytes)+" bytes")
		case !utf8.ValidString(params.Value):
			return refuse(http.StatusBadRequest, "field value is no text")
		}
		return newWriteCommand(key, wire.VerbPut, name, &wire.PutCall{Value: params.Value, Expected: uint64(params.Expected)})
	case suffixRetrieve:
		if refusal := checkRequest(request, http.MethodGet, name); refusal.Status != 0 {
			return nil, refusal
		}
		return newReadCommand(wire.ClientCall{Key: key, Verb: wire.VerbGet, ID: name}, 0)
	}
	return refuse(http.StatusNotFound, "there is no such call")
}

func decodeWatch(request *http.Request, group string) (*Command, response.Reply) {
	if refusal := checkRequest(request, http.MethodGet, group); refusal.Status != 0 {
		return nil, refusal
	}
	query, err := url.ParseQuery(request.URL.RawQuery)
	if err != nil {
		return refuse(http.StatusBadRequest, "the query can't be read")
	}
	afterRevision, isRevision := parseCount(query, "depends-on")
	if !isRevision {
		return refuse(http.StatusBadRequest, "field depends-on is no revision")
	}
	waitMs, isDuration := parseCount(query, "wait-time-ms")
	if !isDuration || waitMs > maxWait.Milliseconds() {
		return refuse(http.StatusBadRequest, "field wait-time-ms is no time from 0 to "+strconv.FormatInt(maxWait.Milliseconds(), 10))
	}
	return newReadCommand(wire.ClientCall{Key: coordination.KeyOfName(group), Verb: wire.VerbWatch, ID: group, Base: afterRevision}, clock.Milliseconds(waitMs))
}

// parseCount returns the value of a query field, or false if it is not an integer of at least 0. A missing field has the value 0.
func parseCount(query url.Values, field string) (int64, bool) {
	if !query.Has(field) {
		return 0, true
	}
	count, err := strconv.ParseInt(query.Get(field), 10, 64)
	return count, err == nil && count >= 0
}

// cutSuffix splits a path before its last slash. The suffix includes the slash. It is empty if the path has no slash.
func cutSuffix(path string) (name, suffix string) {
	end := strings.LastIndexByte(path, '/')
	if end < 0 {
		return path, ""
	}
	return path[:end], path[end:]
}

// checkRequest checks the method and the name of a request. It returns the reply that refuses the request, which is empty for a valid one.
func checkRequest(request *http.Request, method, name string) response.Reply {
	if request.Method != method {
		return response.Text(http.StatusMethodNotAllowed, "only "+method+" is taken here")
	}
	if problem := nameProblem(name); problem != "" {
		return response.Text(http.StatusBadRequest, problem)
	}
	return response.Reply{}
}

// readRequest checks a request like checkRequest and decodes its body. It returns the reply that refuses the request, which is empty for a
// valid one.
func readRequest(request *http.Request, method, name string, into easyjson.Unmarshaler) response.Reply {
	if refusal := checkRequest(request, method, name); refusal.Status != 0 {
		return refusal
	}
	body, err := io.ReadAll(io.LimitReader(request.Body, maxBodyBytes+1))
	switch {
	case err != nil:
		return response.Text(http.StatusBadRequest, "the body ended early")
	case len(body) > maxBodyBytes:
		return response.Text(http.StatusRequestEntityTooLarge, "the body has more than "+strconv.Itoa(maxBodyBytes)+" bytes")
	case !json.Valid(body):
		return response.Text(http.StatusBadRequest, "the body is not JSON")
	}
	if err := easyjson.Unmarshal(body, into); err != nil {
		return response.Text(http.StatusBadRequest, "the body can't be read: "+err.Error())
	}
	return response.Reply{}
}

// newWriteCommand returns the command of a call that may change state. The body is nil for calls without one.
func newWriteCommand(key string, verb wire.Verb, name string, body easyjson.Marshaler) (*Command, response.Reply) {
	call := wire.ClientCall{Key: key, Verb: verb, ID: name}
	if body != nil {
		text, err := easyjson.Marshal(body)
		if err != nil {
			return refuse(http.StatusBadRequest, "the call can't be passed on")
		}
		call.Body = text
	}
	return &Command{Call: call}, response.Reply{}
}

// newReadCommand returns the command of a call that changes nothing.
func newReadCommand(call wire.ClientCall, wait time.Duration) (*Command, response.Reply) {
	return &Command{Call: call, Wait: wait, IsRead: true}, response.Reply{}
}
