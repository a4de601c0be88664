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

// The paths that Handler serves begin with these.
const (
	PrefixLocks   = "/v1/locks/"
	PrefixNumbers = "/v1/numbers/"
	PrefixCells   = "/v1/cells/"
	PrefixWatch   = "/v1/watch/"
)

const (
	suffixInitiate  = "/initiate"
	suffixHeartbeat = "/heartbeat"
	suffixTerminate = "/terminate"
	suffixReplace   = "/replace"
	suffixRetrieve  = "/retrieve"
)

const (
	// maxNameBytes, maxHolderBytes and maxValueBytes are how long names, holders and values may be.
	maxNameBytes   = 128
	maxHolderBytes = 128
	maxValueBytes  = 4 << 10
	// maxBodyBytes is how long a body may be; a value may take six bytes of JSON for one of its own.
	maxBodyBytes = 32 << 10
	// maxHold and maxWait are the longest times for which a lock may be held without a renewal, and a watch may wait.
	maxHold = 10 * time.Minute
	maxWait = time.Minute
)

// Command is a call of an application that can be carried out.
type Command struct {
	Call wire.ClientCall
	// Wait is how long the answer to a watch may be kept back.
	Wait time.Duration
	// IsRead tells that the call changes nothing, so that it never matters whether an attempt was carried out.
	IsRead bool
}

// Decode makes a command of a request, or a reply that refuses it.
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

func refuse(status int, reason string) (*Command, response.Reply) {
	return nil, response.Text(status, reason)
}

// nameProblem says what is wrong with a name, or nothing.
func nameProblem(name string) string {
	switch {
	case name == "":
		return "the name is missing"
	case len(name) > maxNameBytes:
		return "the name has more than " + strconv.Itoa(maxNameBytes) + " bytes"
	case !utf8.ValidString(name) || strings.ContainsFunc(name, isNoPartOfNames):
		return "the name has a character that names must not have"
	}
	return ""
}

func isNoPartOfNames(character rune) bool {
	return character == '/' || unicode.IsControl(character)
}

// lockVerbs are the calls about locks by the ends of their paths.
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
	var asked lockRequest
	if refusal := readCall(request, http.MethodPost, name, &asked); refusal.Status != 0 {
		return nil, refusal
	}
	if problem := asked.problem(verb); problem != "" {
		return refuse(http.StatusBadRequest, problem)
	}
	body := wire.LockCall{Holder: asked.Holder, Fence: uint64(asked.Fence), HoldMs: asked.HoldMs}
	return command(coordination.KeyOfName(name), verb, name, &body)
}

// problem says which field of a call about a lock is wrong, or nothing.
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
	if refusal := readCall(request, http.MethodPost, name, &numberRequest{}); refusal.Status != 0 {
		return nil, refusal
	}
	return command(coordination.KeyOfName(name), wire.VerbTakeNumber, name, nil)
}

func decodeCellCall(request *http.Request, path string) (*Command, response.Reply) {
	name, suffix := cutSuffix(path)
	key := coordination.KeyOfName(coordination.GroupOf(name))
	switch suffix {
	case suffixReplace:
		var asked putRequest
		if refusal := readCall(request, http.MethodPost, name, &asked); refusal.Status != 0 {
			return nil, refusal
		}
		switch {
		case asked.Expected < 0:
			return refuse(http.StatusBadRequest, "field enabled is negative")
		case len(asked.Value) > maxValueBytes:
			return refuse(http.StatusRequestEntityTooLarge, "field value has more than "+strconv.Itoa(maxValueBytes)+" bytes")
		case !utf8.ValidString(asked.Value):
			return refuse(http.StatusBadRequest, "field value is no text")
		}
		return command(key, wire.VerbPut, name, &wire.PutCall{Value: asked.Value, Expected: uint64(asked.Expected)})
	case suffixRetrieve:
		if refusal := checkCall(request, http.MethodGet, name); refusal.Status != 0 {
			return nil, refusal
		}
		return reading(wire.ClientCall{Key: key, Verb: wire.VerbGet, ID: name}, 0)
	}
	return refuse(http.StatusNotFound, "there is no such call")
}

func decodeWatch(request *http.Request, group string) (*Command, response.Reply) {
	if refusal := checkCall(request, http.MethodGet, group); refusal.Status != 0 {
		return nil, refusal
	}
	query, err := url.ParseQuery(request.URL.RawQuery)
	if err != nil {
		return refuse(http.StatusBadRequest, "the query can't be read")
	}
	above, isRevision := countOf(query, "depends-on")
	if !isRevision {
		return refuse(http.StatusBadRequest, "field depends-on is no revision")
	}
	waitMs, isTime := countOf(query, "wait-time-ms")
	if !isTime || waitMs > maxWait.Milliseconds() {
		return refuse(http.StatusBadRequest, "field wait-time-ms is no time from 0 to "+strconv.FormatInt(maxWait.Milliseconds(), 10))
	}
	return reading(wire.ClientCall{Key: coordination.KeyOfName(group), Verb: wire.VerbWatch, ID: group, Base: above}, clock.Milliseconds(waitMs))
}

// countOf reads a number from 0 on; one that is missing is 0.
func countOf(query url.Values, field string) (int64, bool) {
	if !query.Has(field) {
		return 0, true
	}
	count, err := strconv.ParseInt(query.Get(field), 10, 64)
	return count, err == nil && count >= 0
}

// cutSuffix cuts a path before its last slash.
func cutSuffix(path string) (name, suffix string) {
	end := strings.LastIndexByte(path, '/')
	if end < 0 {
		return path, ""
	}
	return path[:end], path[end:]
}

// checkCall refuses a request with another method, or with a name that can't be one.
func checkCall(request *http.Request, method, name string) response.Reply {
	if request.Method != method {
		return response.Text(http.StatusMethodNotAllowed, "only "+method+" is taken here")
	}
	if problem := nameProblem(name); problem != "" {
		return response.Text(http.StatusBadRequest, problem)
	}
	return response.Reply{}
}

// readCall checks a request and reads its body, or returns the reply that refuses it.
func readCall(request *http.Request, method, name string, into easyjson.Unmarshaler) response.Reply {
	if refusal := checkCall(request, method, name); refusal.Status != 0 {
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

// command makes the command of a call that may change something.
func command(key string, verb wire.Verb, name string, body easyjson.Marshaler) (*Command, response.Reply) {
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

func reading(call wire.ClientCall, wait time.Duration) (*Command, response.Reply) {
	return &Command{Call: call, Wait: wait, IsRead: true}, response.Reply{}
}
