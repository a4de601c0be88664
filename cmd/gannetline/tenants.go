package main

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"

	"gannetline/internal/cluster/peerapi"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/cluster/tenantview"
)

func tenantsCommand() *cli.Command {
	return &cli.Command{
		Name: "tenants", Usage: "show the running work, the limit and the waiting work of each tenant",
		Description: "Amounts are cores/MB, with /GPUs if there are any. API keys are not shown.\n" +
			"Exit codes: 0 all stewards answered, 2 bad usage, 4 one did not answer (the others are still shown).",
		Flags:  append(showFlags(), &cli.BoolFlag{Name: "by-pool", Usage: "also show the grants of each pool"}),
		Action: showTenants,
	}
}

func showTenants(ctx context.Context, command *cli.Command) error {
	return showRepeatedly(ctx, command, showTenantsOnce)
}

// showTenantsOnce asks all stewards and prints the tenants. If a steward doesn't answer, it prints what the others answer and returns an error
// with the exit code exitNoAnswer.
func showTenantsOnce(command *cli.Command, contact string, timeout time.Duration) error {
	var reports []wire.TenantCountReport
	noAnswer, err := askStewards(contact, peerapi.ProcedureTenants, timeout, &wire.TenantsCall{},
		func(answer *wire.TenantsAnswer) { reports = append(reports, answer.Reports...) })
	if err != nil {
		return err
	}
	if err := writeTenants(command, tenantview.Join(reports)); err != nil {
		return err
	}
	return noAnswer
}

func writeTenants(command *cli.Command, view tenantview.View) error {
	if command.Bool("json") {
		return view.WriteJSON(command.Root().Writer)
	}
	return view.WriteTable(command.Root().Writer, command.Bool("by-pool"))
}
