package main

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/comparenodes"
	"gannetline/internal/cluster/membership"
	"gannetline/internal/cluster/peerapi"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/coordinationapi"
)

var _ = Describe("commands for a service that the stewards don't offer", func() {
	It("name the missing setting, and exit with exitOff", func() {
		mux := http.NewServeMux()
		coordinationapi.RegisterOff(mux)
		server := httptest.NewServer(mux)
		DeferCleanup(server.Close)
		at := "--at=" + strings.TrimPrefix(server.URL, "http://")
		for _, arguments := range [][]string{{"number", at, "n"}, {"key", "get", at, "k"}, {"key", "put", at, "k", "v"}, {"lock", at, "l", "--", "true"}} {
			output, code := runCommand(arguments...)
			Expect(output).To(ContainSubstring("active-contracts"), arguments[0])
			Expect(code).To(Equal(exitOff), arguments[0])
		}
	})

	It("do the same if they ask all stewards", func() {
		address, mux := scriptedProcess("")
		members := []wire.Member{{Name: "s", Role: membership.RoleSteward, Address: address, State: wire.StateAlive}}
		comparenodes.Handle(mux, comparenodes.Sources{View: func() *membership.View { return &membership.View{Members: members} }})
		peerapi.Serve(mux, peerapi.ProcedureCoordination, func(context.Context, *wire.CoordinationCall) (*wire.CoordinationReports, error) {
			return &wire.CoordinationReports{IsOff: true}, nil
		})
		output, code := runCommand("locks", "--at", address)
		Expect(output).To(ContainSubstring("active-contracts"))
		Expect(code).To(Equal(exitOff))
	})

	It("ask a seed of the settings file if no steward is named", func() {
		server := httptest.NewServer(http.HandlerFunc(func(to http.ResponseWriter, _ *http.Request) { to.Write([]byte(`{"config-version":1,"rollouts":[]}`)) }))
		DeferCleanup(server.Close)
		path := filepath.Join(GinkgoT().TempDir(), "settings.yaml")
		text := "node-name: a\nnode-role: gate\nip-address: 127.0.0.1\nzone: z\ninternal-port-range: [7720, 7735]\nseed-nodes: [\"" + strings.TrimPrefix(server.URL, "http://") + "\"]\n"
		Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
		output, code := runCommand("--settings", path, "rollout", "status")
		Expect(output).To(Equal("no rollouts\n"))
		Expect(code).To(Equal(0))
		output, code = runCommand("--settings", path+".none", "rollout", "status")
		Expect(output).To(ContainSubstring("--at must name a steward"))
		Expect(code).To(Equal(exitUsage))
	})
})
