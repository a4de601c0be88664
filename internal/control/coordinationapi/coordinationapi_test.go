package coordinationapi

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/mailru/easyjson"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/leaderclient"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/logging"
)

func TestCoordinationAPI(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "coordinationapi")
}

func decode(method, target, body string) (*Command, string) {
	command, refusal := Decode(httptest.NewRequest(method, target, strings.NewReader(body)))
	if command == nil {
		return nil, http.StatusText(refusal.Status) + ": " + string(refusal.Body)
	}
	return command, ""
}

var _ = Describe("Decode", func() {
	DescribeTable("returns a command for the key of the name", func(method, target, body string, verb wire.Verb, id, callBody string) {
		command, refusal := decode(method, target, body)
		Expect(refusal).To(BeEmpty())
		Expect(command.Call.Verb).To(Equal(verb))
		Expect(command.Call.ID).To(Equal(id))
		Expect(command.Call.Key).To(HavePrefix(wire.CoordinationKeyPrefix))
		Expect(string(command.Call.Body)).To(Equal(callBody))
		Expect(command.IsRead).To(Equal(method == "GET"))
	},
		Entry("lock", "POST", "/v1/locks/l1f/initiate", `{"holder":"a3.7","hold-time-ms":3000}`, wire.VerbAcquire, "l1f", `{"holder":"a3.7","hold-time-ms":3000}`),
		Entry("renewal", "POST", "/v1/locks/l1f/heartbeat", `{"holder":"a3.7","fence-number":41,"hold-time-ms":3000}`, wire.VerbRenew, "l1f",
			`{"holder":"a3.7","fence-number":41,"hold-time-ms":3000}`),
		Entry("release", "POST", "/v1/locks/l1f/terminate", `{"holder":"a3.7","fence-number":41}`, wire.VerbRelease, "l1f", `{"holder":"a3.7","fence-number":41}`),
		Entry("number", "POST", "/v1/numbers/n2", `{}`, wire.VerbTakeNumber, "n2", ""),
		Entry("put", "POST", "/v1/cells/g1.2d/replace", `{"value":"v","enabled":907}`, wire.VerbPut, "g1.2d", `{"value":"v","enabled":907}`),
		Entry("first put", "POST", "/v1/cells/g1.2d/replace", `{"value":"v"}`, wire.VerbPut, "g1.2d", `{"value":"v"}`),
		Entry("read", "GET", "/v1/cells/g%201.2d/retrieve", "", wire.VerbGet, "g 1.2d", ""),
		Entry("watch", "GET", "/v1/watch/g1.?depends-on=930&wait-time-ms=2000", "", wire.VerbWatch, "g1.", ""),
	)

	It("returns the revision and the wait of a watch", func() {
		command, _ := decode("GET", "/v1/watch/g1.?depends-on=930&wait-time-ms=2000", "")
		Expect(command.Call.Base).To(Equal(int64(930)))
		Expect(command.Wait).To(Equal(2 * time.Second))
	})

	DescribeTable("refuses an invalid request with the reason", func(method, target, body, refusal string) {
		command, text := decode(method, target, body)
		Expect(command).To(BeNil())
		Expect(text).To(ContainSubstring(refusal))
	},
		Entry("unknown suffix", "POST", "/v1/locks/a/steal", "{}", "Not Found"),
		Entry("no suffix", "POST", "/v1/locks/a", "{}", "Not Found"),
		Entry("unknown call about a cell", "POST", "/v1/cells/a/b", "{}", "Not Found"),
		Entry("unknown prefix", "POST", "/v1/lock/a", "{}", "Not Found"),
		Entry("wrong method", "GET", "/v1/numbers/a", "", "Method Not Allowed"),
		Entry("wrong method of a read", "POST", "/v1/watch/a", "", "Method Not Allowed"),
		Entry("missing name", "POST", "/v1/numbers/", "{}", "the name is missing"),
		Entry("long name", "POST", "/v1/numbers/"+strings.Repeat("n", 129), "{}", "more than 128 bytes"),
		Entry("slash in a name", "POST", "/v1/numbers/a/b", "{}", "a character that names must not have"),
		Entry("control character in a name", "POST", "/v1/numbers/a%0a", "{}", "a character that names must not have"),
		Entry("invalid JSON", "POST", "/v1/numbers/a", "{", "not JSON"),
		Entry("unknown field", "POST", "/v1/numbers/a", `{"count":2}`, "count"),
		Entry("wrong type", "POST", "/v1/cells/a/replace", `{"value":5}`, "can't be read"),
		Entry("negative revision", "POST", "/v1/cells/a/replace", `{"value":"v","enabled":-1}`, "field enabled is negative"),
		Entry("long value", "POST", "/v1/cells/a/replace", `{"value":"`+strings.Repeat("v", 4097)+`"}`, "Too Large: {\"error-text\":\"field value"),
		Entry("long body", "POST", "/v1/cells/a/replace", `{"value":"`+strings.Repeat("v", 40000)+`"}`, "Too Large"),
		Entry("invalid UTF-8 in a value", "POST", "/v1/cells/a/replace", "{\"value\":\"\xff\"}", "field value is no text"),
		Entry("missing holder", "POST", "/v1/locks/a/initiate", `{"hold-time-ms":1}`, "field holder is missing"),
		Entry("long holder", "POST", "/v1/locks/a/initiate", `{"holder":"`+strings.Repeat("h", 129)+`","hold-time-ms":1}`, "field holder is longer"),
		Entry("missing hold time", "POST", "/v1/locks/a/initiate", `{"holder":"h"}`, "field hold-time-ms is missing"),
		Entry("negative hold time", "POST", "/v1/locks/a/initiate", `{"holder":"h","hold-time-ms":-1}`, "field hold-time-ms"),
		Entry("long hold time", "POST", "/v1/locks/a/initiate", `{"holder":"h","hold-time-ms":9223372036854775807}`, "field hold-time-ms is above 600000"),
		Entry("renewal without a token", "POST", "/v1/locks/a/heartbeat", `{"holder":"h","hold-time-ms":1}`, "field fence-number"),
		Entry("acquisition with a token", "POST", "/v1/locks/a/initiate", `{"holder":"h","hold-time-ms":1,"fence-number":1}`, "field fence-number"),
		Entry("release with a hold time", "POST", "/v1/locks/a/terminate", `{"holder":"h","hold-time-ms":1,"fence-number":1}`, "field hold-time-ms doesn't"),
		Entry("negative revision of a watch", "GET", "/v1/watch/g.?depends-on=-1", "", "field depends-on"),
		Entry("wait that is no number", "GET", "/v1/watch/g.?wait-time-ms=x", "", "field wait-time-ms"),
		Entry("long wait", "GET", "/v1/watch/g.?wait-time-ms=60001", "", "field wait-time-ms"),
		Entry("invalid query", "GET", "/v1/watch/g.?a=%zz", "", "the query"),
	)
})

var _ = Describe("Reply", func() {
	DescribeTable("returns 504 only if it is unknown whether the call was executed", func(isRead, mayHaveRun bool, leaderStatus, status int) {
		outcome := leaderclient.Outcome{MayHaveRun: mayHaveRun}
		if leaderStatus > 0 {
			outcome.Answer = &wire.ClientAnswer{Status: leaderStatus, Reason: "reason"}
		}
		Expect(Reply(&Command{IsRead: isRead}, outcome).Status).To(Equal(status))
	},
		Entry("no answer, not sent", false, false, 0, 503),
		Entry("no answer, possibly executed", false, true, 0, 504),
		Entry("no answer to a read", true, true, 0, 503),
		Entry("refused for lack of capacity", false, false, 429, 429),
		Entry("refused for lack of capacity, possibly executed before", false, true, 429, 504),
		Entry("too many pending changes, possibly executed before", false, true, 503, 504),
		Entry("lock of another holder", false, true, 409, 409),
		Entry("wrong revision, which is final", false, true, 412, 412),
		Entry("success", false, true, 200, 200),
	)
})

var _ = Describe("a watch", func() {
	var now *clock.Fake
	var waits []time.Duration
	answerOf := func(body easyjson.Marshaler) leaderclient.Outcome {
		text, err := easyjson.Marshal(body)
		Expect(err).NotTo(HaveOccurred())
		return leaderclient.Outcome{Answer: &wire.ClientAnswer{Status: 200, Body: text}}
	}
	noEvents := &wire.WatchAnswer{Events: []wire.CellEvent{}, Revision: 7}
	oneEvent := &wire.WatchAnswer{Events: []wire.CellEvent{{Name: "g.a", Value: "v", Revision: 8}}, Revision: 8}
	serve := func(shutdown context.Context, target string, askLeader func() leaderclient.Outcome) *httptest.ResponseRecorder {
		now, waits = clock.NewFake(0), nil
		handler := NewHandler(shutdown, func(_ context.Context, call *wire.ClientCall, limit, wait time.Duration) leaderclient.Outcome {
			Expect(call.RemainingMs).To(Equal(wait.Milliseconds()))
			Expect(limit).To(Equal(wait + answerTimeout))
			waits = append(waits, wait)
			now.Advance(wait)
			return askLeader()
		}, now, logging.Silent())
		mux, answer := http.NewServeMux(), httptest.NewRecorder()
		handler.Register(mux)
		mux.ServeHTTP(answer, httptest.NewRequest("GET", target, nil))
		return answer
	}

	It("is repeated at the leader, for at most a second each, until its wait is over", func() {
		answer := serve(context.Background(), "/v1/watch/g.?depends-on=7&wait-time-ms=2500", func() leaderclient.Outcome { return answerOf(noEvents) })
		Expect(waits).To(Equal([]time.Duration{time.Second, time.Second, 500 * time.Millisecond}))
		Expect(answer.Body.String()).To(Equal(`{"events":[],"revision":7}`))
	})

	It("ends with the first put, a refusal or a newer revision, and is repeated if no leader answers", func() {
		outcomes := []leaderclient.Outcome{{}, {MayHaveRun: true}, answerOf(oneEvent)}
		answer := serve(context.Background(), "/v1/watch/g.?depends-on=7&wait-time-ms=9000", func() leaderclient.Outcome { return outcomes[len(waits)-1] })
		Expect(waits).To(HaveLen(3))
		Expect(answer.Body.String()).To(ContainSubstring(`"revision":8}],"revision":8`))
		gone := leaderclient.Outcome{Answer: &wire.ClientAnswer{Status: 410, Reason: "no longer kept"}}
		answer = serve(context.Background(), "/v1/watch/g.?depends-on=7&wait-time-ms=9000", func() leaderclient.Outcome { return gone })
		Expect(answer.Code).To(Equal(410))
		answer = serve(context.Background(), "/v1/watch/g.?wait-time-ms=9000", func() leaderclient.Outcome { return answerOf(noEvents) })
		Expect(answer.Body.String()).To(Equal(`{"events":[],"revision":7}`))
	})

	It("is refused with 503 when the process shuts down", func() {
		shutdown, shutDown := context.WithCancel(context.Background())
		answer := serve(shutdown, "/v1/watch/g.?depends-on=7&wait-time-ms=9000", func() leaderclient.Outcome {
			shutDown()
			return leaderclient.Outcome{}
		})
		Expect(answer.Code).To(Equal(503))
		Expect(waits).To(HaveLen(1))
	})
})
