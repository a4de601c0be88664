package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/urfave/cli/v3"

	"gannetline/internal/cluster/comparenodes"
	"gannetline/internal/cluster/membership"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/metrics"
)

func scriptedProcess(page string) (address string, mux *http.ServeMux) {
	mux = http.NewServeMux()
	mux.HandleFunc(metrics.Path, func(to http.ResponseWriter, _ *http.Request) { fmt.Fprint(to, page) })
	server := httptest.NewServer(mux)
	DeferCleanup(server.Close)
	return server.Listener.Addr().String(), mux
}

func deadAddress() string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	return listener.Addr().String()
}

func runMetrics(arguments ...string) (string, int, string) {
	var shown bytes.Buffer
	app := &cli.Command{Commands: []*cli.Command{metricsCommand()}, Writer: &shown, ExitErrHandler: func(context.Context, *cli.Command, error) {}}
	err := app.Run(context.Background(), append([]string{"gannetline", "metrics"}, arguments...))
	if err == nil {
		return shown.String(), 0, ""
	}
	var coded cli.ExitCoder
	Expect(errors.As(err, &coded)).To(BeTrue())
	return shown.String(), coded.ExitCode(), err.Error()
}

var _ = Describe("gannetline metrics", func() {
	It("shows two processes side by side, with their sum, sorted", func() {
		one, _ := scriptedProcess("# TYPE b counter\nb{k=\"x\"} 2\na 1\nonly_here 7\n")
		two, _ := scriptedProcess("a 10\nb{k=\"x\"} 0.5\n")
		shown, code, _ := runMetrics("--at", one, "--at", two)
		Expect(code).To(Equal(0))
		Expect(shown).To(MatchRegexp(`(?s)^metric +%s +%s +sum\na +1 +10 +11\nb\{k="x"\} +2 +0\.5 +2\.5\nonly_here +7 +- +7\n$`, one, two))
	})

	It("prints what matches as JSON", func() {
		one, _ := scriptedProcess("a 1\nb{k=\"x\"} 2\n")
		shown, code, _ := runMetrics("--at", one, "--match", `k="x"`, "--json")
		Expect(code).To(Equal(0))
		Expect(shown).To(MatchJSON(fmt.Sprintf(`{"metrics":[{"metric":"b{k=\"x\"}","values":{%q:2},"sum":2}]}`, one)))
		Expect(json.Valid([]byte(shown))).To(BeTrue())
	})

	It("shows those that answer, and names the one that doesn't", func() {
		one, _ := scriptedProcess("a 1\n")
		dead := deadAddress()
		shown, code, why := runMetrics("--at", one, "--at", dead)
		Expect(code).To(Equal(exitSilent))
		Expect(shown).To(MatchRegexp(`a +1 +1\n`))
		Expect(why).To(ContainSubstring(dead))
		_, code, why = runMetrics("--of", dead)
		Expect(code).To(Equal(exitSilent))
		Expect(why).To(ContainSubstring(dead))
	})

	It("sums by role what the members of a process have counted, those that are gone left out", func() {
		gate, mux := scriptedProcess("a 1\n")
		second, _ := scriptedProcess("a 2\n")
		steward, _ := scriptedProcess("a 40\n")
		members := []wire.Member{{Name: "e1", Role: "gate", Address: gate}, {Name: "e2", Role: "gate", Address: second},
			{Name: "c1", Role: "steward", Address: steward}, {Name: "c2", Role: "steward", Address: deadAddress(), State: wire.StateGone}}
		comparenodes.Handle(mux, comparenodes.Sources{View: func() *membership.View { return &membership.View{Members: members} }})
		shown, code, _ := runMetrics("--of", gate)
		Expect(code).To(Equal(0))
		Expect(shown).To(MatchRegexp(`^metric +gate +steward +sum\na +3 +40 +43\n$`))
	})

	DescribeTable("refuses bad input", func(named string, arguments ...string) {
		_, code, why := runMetrics(arguments...)
		Expect(code).To(Equal(exitUsage))
		Expect(why).To(ContainSubstring(named))
	},
		Entry("nothing to ask", "--at"),
		Entry("both ways at once", "--of", "--at", "127.0.0.1:1", "--of", "127.0.0.1:1"),
		Entry("an address that is none", "nowhere", "--at", "nowhere"),
		Entry("a teller that is none", "nowhere:1", "--of", "nowhere:1"),
		Entry("words too many", "--at", "--at", "127.0.0.1:1", "more"),
		Entry("no time", "--timeout", "--at", "127.0.0.1:1", "--timeout", "0s"),
	)
})
