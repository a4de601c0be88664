package main

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/comparenodes"
	"gannetline/internal/cluster/leaderclient"
	"gannetline/internal/cluster/membership"
	"gannetline/internal/cluster/peerapi"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/coordination"
	"gannetline/internal/control/coordinationapi"
	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/logging"
	"gannetline/internal/platform/mailbox"
)

// alwaysLeader is a leadership that holds its lease for ever and commits at once.
type alwaysLeader struct{}

func (alwaysLeader) Epoch() uint64                        { return 1 }
func (alwaysLeader) HasLease() bool                       { return true }
func (alwaysLeader) Commit(_ []wire.Op, done func(error)) { done(nil) }

// startSteward starts a server with one partition of locks, numbers and keys, and returns its address.
func startSteward() string {
	systemClock := clock.System()
	part := coordination.New("coordination/0", coordination.Dependencies{Clock: systemClock, Log: logging.Silent(), HistoryTime: 1 << 40, ReleaseTime: 1 << 30})
	Expect(part.Open(alwaysLeader{}, nil)).To(Succeed())
	inbox := mailbox.New(64)
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	go inbox.Run(ctx, systemClock, mailbox.Owner{Every: 1 << 30, Tick: part.Tick})
	ask := func(ctx context.Context, call *wire.ClientCall, _, _ time.Duration) leaderclient.Outcome {
		answer, err := mailbox.Ask(ctx, inbox, func(answer func(wire.ClientAnswer)) { part.CommandFor(call.Verb)(call, answer) })
		if err != nil {
			return leaderclient.Outcome{MayHaveRun: true}
		}
		return leaderclient.Outcome{Answer: &answer}
	}
	mux := http.NewServeMux()
	coordinationapi.NewHandler(ctx, ask, systemClock, logging.Silent()).Register(mux)
	peerapi.Serve(mux, peerapi.ProcedureCoordination, func(ctx context.Context, _ *wire.CoordinationCall) (*wire.CoordinationReports, error) {
		answer, err := mailbox.Ask(ctx, inbox, func(answer func(wire.ClientAnswer)) { part.Report(nil, answer) })
		if err != nil {
			return nil, err
		}
		reports := &wire.CoordinationReports{Reports: make([]wire.CoordinationReport, 1)}
		return reports, reports.Reports[0].UnmarshalJSON(answer.Body)
	})
	server := httptest.NewServer(mux)
	DeferCleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	member := wire.Member{Name: "a", Role: membership.RoleSteward, Address: address, State: wire.StateAlive}
	comparenodes.Handle(mux, comparenodes.Sources{View: func() *membership.View { return &membership.View{Members: []wire.Member{member}} }})
	return address
}

// runCommand runs the application and returns its output followed by the text of its error, and the exit code.
func runCommand(arguments ...string) (string, int) {
	var output bytes.Buffer
	app := newApplication()
	app.Writer, app.ErrWriter = &output, &output
	err := app.Run(context.Background(), append([]string{"gannetline"}, arguments...))
	if err == nil {
		return output.String(), 0
	}
	return output.String() + err.Error(), exitCodeOf(err)
}

var _ = Describe("the commands for locks, numbers and keys", func() {
	It("draw numbers, and read, put and watch keys", func() {
		at := "--at=" + startSteward()
		run := func(want string, code int, arguments ...string) {
			GinkgoHelper()
			output, got := runCommand(arguments...)
			Expect(output).To(ContainSubstring(want))
			Expect(got).To(Equal(code))
		}
		run("1\n", 0, "number", at, "n")
		run("2\n", 0, "number", at, "n")
		run("there is no such cell", exitFailed, "key", "get", at, "g.a")
		run("1\n", 0, "key", "put", at, "g.a", "v")
		run("the key is at revision 1", exitDiffers, "key", "put", at, "g.a", "w")
		run("2\n", 0, "key", "put", at, "--revision=1", "g.a", "w")
		run("w\n", 0, "key", "get", at, "g.a")
		run(`{"revision":2,"value":"w"}`, 0, "key", "get", at, "--json", "g.a")
		run("a character that names must not have", exitFailed, "number", at, "a\nb")
	})

	It("run a command under a lock, and release the lock", func() {
		address := startSteward()
		_, code := runCommand("lock", "--at="+address, "l", "--", "sh", "-c", `[ "$GANNETLINE_FENCE" = 1 ] && [ "$GANNETLINE_LOCK" = l ]`)
		Expect(code).To(Equal(0))
		_, code = runCommand("lock", "--at="+address, "--wait=1m", "l", "--", "sh", "-c", "exit 9")
		Expect(code).To(Equal(9))
		_, code = runCommand("elect", "--at="+address, "l", "--", "sh", "-c", `exit $((5 + GANNETLINE_FENCE))`)
		Expect(code).To(Equal(8))
		output, code := runCommand("locks", "--of", address)
		Expect(code).To(Equal(0))
		Expect(output).To(MatchRegexp(`^lock +holder +fence +held +remaining +part\n$`))
		output, _ = runCommand("locks", "--of", address, "--parts")
		Expect(output).To(MatchRegexp(`coordination/0 +1 +0 +0 +0 +0 +0 +0\n`))
		output, _ = runCommand("locks", "--of", address, "--json")
		Expect(output).To(ContainSubstring(`"key": "coordination/0"`))
	})

	It("wait for a lock no longer than --wait, and stop a command whose lock is lost", func() {
		address := startSteward()
		acquire := `{"holder":"x","hold-time-ms":60000}`
		_, err := http.Post("http://"+address+"/v1/locks/l/initiate", "application/json", strings.NewReader(acquire))
		Expect(err).NotTo(HaveOccurred())
		output, code := runCommand("lock", "--at="+address, "--wait=1ms", "l", "--", "true")
		Expect(code).To(Equal(exitNotFree))
		Expect(output).To(ContainSubstring("another holds the lock"))
		output, _ = runCommand("locks", "--of", address)
		Expect(output).To(MatchRegexp(`l +x +1 +0\.\ds +\d+\.\ds +coordination/0`))
		losingServer := httptest.NewServer(http.HandlerFunc(func(to http.ResponseWriter, request *http.Request) {
			if strings.HasSuffix(request.URL.Path, "/heartbeat") {
				to.WriteHeader(http.StatusConflict)
			}
			to.Write([]byte(`{"fence-number":1}`))
		}))
		DeferCleanup(losingServer.Close)
		_, code = runCommand("lock", "--at="+strings.TrimPrefix(losingServer.URL, "http://"), "--hold=30ms", "l", "--", "sleep", "600")
		Expect(code).To(Equal(exitLockLost))
	})

	DescribeTable("refuse invalid arguments and name them", func(wanted string, arguments ...string) {
		output, code := runCommand(arguments...)
		Expect(code).To(Equal(exitUsage))
		Expect(output).To(ContainSubstring(wanted))
	},
		Entry("no steward", "--at must name", "number", "n"),
		Entry("an invalid address", `--at "nowhere"`, "number", "--at=nowhere", "n"),
		Entry("no name", "number takes NAME", "number", "--at=127.0.0.1:1"),
		Entry("a timeout of 0", "--timeout", "number", "--at=127.0.0.1:1", "--timeout=0s", "n"),
		Entry("no command", "takes the name of a lock", "lock", "--at=127.0.0.1:1", "l"),
		Entry("a hold time of 0", "--hold", "elect", "--at=127.0.0.1:1", "--hold=0s", "l", "--", "true"),
		Entry("no group", "watch takes GROUP", "key", "watch", "--at=127.0.0.1:1"),
		Entry("no steward to ask for locks", "--of", "locks"),
	)

	It("exit with exitNoAnswer if no steward answers", func() {
		_, code := runCommand("number", "--at="+deadAddress(), "--timeout=1ms", "n")
		Expect(code).To(Equal(exitNoAnswer))
		_, code = runCommand("locks", "--of", deadAddress())
		Expect(code).To(Equal(exitNoAnswer))
	})
})
