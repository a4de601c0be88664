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

// scriptedProcess starts a server that serves a text as its metrics page. Tests add other handlers to its mux.
func scriptedProcess(page string) (address string, mux *http.ServeMux) {
	mux = http.NewServeMux()
	mux.HandleFunc(metrics.Path, func(to http.ResponseWriter, _ *http.Request) { fmt.Fprint(to, page) })
	server := httptest.NewServer(mux)
	DeferCleanup(server.Close)
	return server.Listener.Addr().String(), mux
}

// deadAddress returns a loopback address on which nothing listens.
func deadAddress() string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	return listener.Addr().String()
}

// runMetrics runs the command and returns its output, its exit code and the text of its error.
func runMetrics(arguments ...string) (string, int, string) {
	var output bytes.Buffer
	app := &cli.Command{Commands: []*cli.Command{metricsCommand()}, Writer: &output, ExitErrHandler: func(context.Context, *cli.Command, error) {}}
	err := app.Run(context.Background(), append([]string{"gannetline", "metrics"}, arguments...))
	if err == nil {
		return output.String(), 0, ""
	}
	var coded cli.ExitCoder
	Expect(errors.As(err, &coded)).To(BeTrue())
	return output.String(), coded.ExitCode(), err.Error()
}

var _ = Describe("gannetline metrics", func() {
	It("shows two processes side by side with their sums, sorted by name", func() {
		one, _ := scriptedProcess("# TYPE b counter\nb{k=\"x\"} 2\na 1\nonly_here 7\n")
		two, _ := scriptedProcess("a 10\nb{k=\"x\"} 0.5\n")
		output, code, _ := runMetrics("--at", one, "--at", two)
		Expect(code).To(Equal(0))
		Expect(output).To(MatchRegexp(`(?s)^metric +%s +%s +sum\na +1 +10 +11\nb\{k="x"\} +2 +0\.5 +2\.5\nonly_here +7 +- +7\n$`, one, two))
	})

	It("prints matching metrics as JSON", func() {
		one, _ := scriptedProcess("a 1\nb{k=\"x\"} 2\n")
		output, code, _ := runMetrics("--at", one, "--match", `k="x"`, "--json")
		Expect(code).To(Equal(0))
		Expect(output).To(MatchJSON(fmt.Sprintf(`{"metrics":[{"metric":"b{k=\"x\"}","values":{%q:2},"sum":2}]}`, one)))
		Expect(json.Valid([]byte(output))).To(BeTrue())
	})

	It("shows the processes that answer, and names the one that doesn't", func() {
		one, _ := scriptedProcess("a 1\n")
		dead := deadAddress()
		output, code, errorText := runMetrics("--at", one, "--at", dead)
		Expect(code).To(Equal(exitNoAnswer))
		Expect(output).To(MatchRegexp(`a +1 +1\n`))
		Expect(errorText).To(ContainSubstring(dead))
		_, code, errorText = runMetrics("--of", dead)
		Expect(code).To(Equal(exitNoAnswer))
		Expect(errorText).To(ContainSubstring(dead))
	})

	It("sums the metrics of a process's members by role, without members that are gone", func() {
		gate, mux := scriptedProcess("a 1\n")
		second, _ := scriptedProcess("a 2\n")
		steward, _ := scriptedProcess("a 40\n")
		members := []wire.Member{{Name: "e1", Role: "gate", Address: gate}, {Name: "e2", Role: "gate", Address: second},
			{Name: "c1", Role: "steward", Address: steward}, {Name: "c2", Role: "steward", Address: deadAddress(), State: wire.StateGone}}
		comparenodes.Handle(mux, comparenodes.Sources{View: func() *membership.View { return &membership.View{Members: members} }})
		output, code, _ := runMetrics("--of", gate)
		Expect(code).To(Equal(0))
		Expect(output).To(MatchRegexp(`^metric +gate +steward +sum\na +3 +40 +43\n$`))
	})

	DescribeTable("refuses invalid arguments", func(wanted string, arguments ...string) {
		_, code, errorText := runMetrics(arguments...)
		Expect(code).To(Equal(exitUsage))
		Expect(errorText).To(ContainSubstring(wanted))
	},
		Entry("neither --at nor --of", "--at"),
		Entry("both --at and --of", "--of", "--at", "127.0.0.1:1", "--of", "127.0.0.1:1"),
		Entry("an invalid address in --at", "nowhere", "--at", "nowhere"),
		Entry("an invalid address in --of", "nowhere:1", "--of", "nowhere:1"),
		Entry("an extra argument", "--at", "--at", "127.0.0.1:1", "more"),
		Entry("a timeout of 0", "--timeout", "--at", "127.0.0.1:1", "--timeout", "0s"),
	)
})
