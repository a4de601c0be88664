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

// scriptedSteward knows members and tells a report of tenants.
func scriptedSteward(members func() []wire.Member, reports ...wire.TenantCountReport) string {
	address, mux := scriptedProcess("")
	comparenodes.Handle(mux, comparenodes.Sources{View: func() *membership.View { return &membership.View{Members: members()} }})
	peerapi.Serve(mux, peerapi.ProcedureTenants, func(context.Context, *wire.TenantsCall) (*wire.TenantsAnswer, error) {
		return &wire.TenantsAnswer{Reports: reports}, nil
	})
	return address
}

func runTenants(arguments ...string) (string, int) {
	var shown bytes.Buffer
	app := &cli.Command{Commands: []*cli.Command{tenantsCommand()}, Writer: &shown, ErrWriter: &shown, ExitErrHandler: func(context.Context, *cli.Command, error) {}}
	err := app.Run(context.Background(), append([]string{"gannetline", "tenants"}, arguments...))
	if err == nil {
		return shown.String(), 0
	}
	var coded cli.ExitCoder
	Expect(errors.As(err, &coded)).To(BeTrue())
	return shown.String() + err.Error(), coded.ExitCode()
}

var _ = Describe("gannetline tenants", func() {
	It("joins what all stewards tell, and leaves gates alone", func() {
		var members []wire.Member
		known := func() []wire.Member { return members }
		first := scriptedSteward(known, wire.TenantCountReport{Key: "pool/s", Version: 3, Tenants: []wire.TenantUsage{{Tenant: "t", Running: &wire.Capacity{CPU: 1500}, Runs: 2}}})
		second := scriptedSteward(known, wire.TenantCountReport{Key: "count/0", Version: 3, Tenants: []wire.TenantUsage{{Tenant: "t", Limit: &wire.Capacity{CPU: 4000}}}})
		members = []wire.Member{{Name: "a", Role: membership.RoleSteward, Address: first, State: wire.StateAlive},
			{Name: "b", Role: membership.RoleSteward, Address: second, State: wire.StateAlive}, {Name: "g", Role: "gate", Address: deadAddress(), State: wire.StateAlive}}
		shown, code := runTenants("--of", first)
		Expect(code).To(Equal(0))
		Expect(shown).To(MatchRegexp(`t +0 +0\.000 +4/- +0/0 +1\.5/0 +2 `))
		shown, code = runTenants("--of", first, "--json")
		Expect(code).To(Equal(0))
		Expect(shown).To(ContainSubstring(`"runs": 2`))
		members = append(members, wire.Member{Name: "c", Role: membership.RoleSteward, Address: deadAddress(), State: wire.StateAlive})
		shown, code = runTenants("--of", first)
		Expect(code).To(Equal(exitSilent))
		Expect(shown).To(ContainSubstring("1.5/0"))
	})

	DescribeTable("refuses bad use and names the flag", func(named string, arguments ...string) {
		shown, code := runTenants(arguments...)
		Expect(code).To(Equal(exitUsage))
		Expect(shown).To(ContainSubstring(named))
	},
		Entry("nobody to ask", "--of"),
		Entry("no address", "--of", "--of", "nowhere"),
		Entry("no time", "--timeout", "--of", "127.0.0.1:1", "--timeout", "0s"),
		Entry("a watch without a pause", "--watch", "--of", "127.0.0.1:1", "--watch", "1ms"),
		Entry("an argument", "arguments", "--of", "127.0.0.1:1", "more"),
	)

	It("exits when nobody answers", func() {
		_, code := runTenants("--of", deadAddress())
		Expect(code).To(Equal(exitSilent))
	})
})
