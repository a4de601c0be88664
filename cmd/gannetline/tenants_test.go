package main

import (
	"bytes"
	"context"
	"errors"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/urfave/cli/v3"

	"gannetline/internal/cluster/comparenodes"
	"gannetline/internal/cluster/membership"
	"gannetline/internal/cluster/peerapi"
	"gannetline/internal/cluster/peerapi/wire"
)

// scriptedSteward starts a server that answers like a steward with these members and reports. It returns the server's address.
func scriptedSteward(members func() []wire.Member, reports ...wire.TenantCountReport) string {
	address, mux := scriptedProcess("")
	comparenodes.Handle(mux, comparenodes.Sources{View: func() *membership.View { return &membership.View{Members: members()} }})
	peerapi.Serve(mux, peerapi.ProcedureTenants, func(context.Context, *wire.TenantsCall) (*wire.TenantsAnswer, error) {
		return &wire.TenantsAnswer{Reports: reports}, nil
	})
	return address
}

// runTenants runs the command and returns its output followed by the text of its error, and the exit code.
func runTenants(arguments ...string) (string, int) {
	var output bytes.Buffer
	app := &cli.Command{Commands: []*cli.Command{tenantsCommand()}, Writer: &output, ErrWriter: &output, ExitErrHandler: func(context.Context, *cli.Command, error) {}}
	err := app.Run(context.Background(), append([]string{"gannetline", "tenants"}, arguments...))
	if err == nil {
		return output.String(), 0
	}
	var coded cli.ExitCoder
	Expect(errors.As(err, &coded)).To(BeTrue())
	return output.String() + err.Error(), coded.ExitCode()
}

var _ = Describe("gannetline tenants", func() {
	It("joins the reports of all stewards, and asks no gates", func() {
		var members []wire.Member
		listMembers := func() []wire.Member { return members }
		first := scriptedSteward(listMembers, wire.TenantCountReport{Key: "pool/s", Version: 3, Tenants: []wire.TenantUsage{{Tenant: "t", Running: &wire.Capacity{CPU: 1500}, Runs: 2}}})
		second := scriptedSteward(listMembers, wire.TenantCountReport{Key: "count/0", Version: 3, Tenants: []wire.TenantUsage{{Tenant: "t", Limit: &wire.Capacity{CPU: 4000}}}})
		members = []wire.Member{{Name: "a", Role: membership.RoleSteward, Address: first, State: wire.StateAlive},
			{Name: "b", Role: membership.RoleSteward, Address: second, State: wire.StateAlive}, {Name: "g", Role: "gate", Address: deadAddress(), State: wire.StateAlive}}
		output, code := runTenants("--of", first)
		Expect(code).To(Equal(0))
		Expect(output).To(MatchRegexp(`t +0 +0\.000 +4/- +0/0 +1\.5/0 +2 `))
		output, code = runTenants("--of", first, "--json")
		Expect(code).To(Equal(0))
		Expect(output).To(ContainSubstring(`"runs": 2`))
		members = append(members, wire.Member{Name: "c", Role: membership.RoleSteward, Address: deadAddress(), State: wire.StateAlive})
		output, code = runTenants("--of", first)
		Expect(code).To(Equal(exitNoAnswer))
		Expect(output).To(ContainSubstring("1.5/0"))
	})

	DescribeTable("refuses invalid arguments and names the flag", func(wanted string, arguments ...string) {
		output, code := runTenants(arguments...)
		Expect(code).To(Equal(exitUsage))
		Expect(output).To(ContainSubstring(wanted))
	},
		Entry("no steward", "--of"),
		Entry("an invalid address", "--of", "--of", "nowhere"),
		Entry("a timeout of 0", "--timeout", "--of", "127.0.0.1:1", "--timeout", "0s"),
		Entry("a watch interval that is too short", "--watch", "--of", "127.0.0.1:1", "--watch", "1ms"),
		Entry("an extra argument", "arguments", "--of", "127.0.0.1:1", "more"),
	)

	It("exits with exitNoAnswer if no steward answers", func() {
		_, code := runTenants("--of", deadAddress())
		Expect(code).To(Equal(exitNoAnswer))
	})
})
