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
		Name: "tenants", Usage: "show what each tenant has running, may have, and waits for",
		Description: "Amounts are cores/MB, with /GPUs if there are any. No key of a tenant is shown.\n" +
			"Exit codes: 0 all stewards answered, 2 bad usage, 4 one did not answer (the others are shown all the same).",
		Flags:  append(showFlags(), &cli.BoolFlag{Name: "by-pool", Usage: "also show what each pool was granted"}),
		Action: showTenants,
	}
}

func showTenants(ctx context.Context, command *cli.Command) error {
	return showAgain(ctx, command, showTenantsOnce)
}

// showTenantsOnce asks all stewards and prints what they tell; it exits with exitSilent if one of them doesn't answer.
func showTenantsOnce(command *cli.Command, known string, timeout time.Duration) error {
	var reports []wire.TenantCountReport
	silent, err := askStewards(known, peerapi.ProcedureTenants, timeout, &wire.TenantsCall{},
		func(answer *wire.TenantsAnswer) { reports = append(reports, answer.Reports...) })
	if err != nil {
		return err
	}
	if err := writeTenants(command, tenantview.Join(reports)); err != nil {
		return err
	}
	return silent
}

func writeTenants(command *cli.Command, view tenantview.View) error {
	if command.Bool("json") {
		return view.WriteJSON(command.Root().Writer)
	}
	return view.WriteTable(command.Root().Writer, command.Bool("by-pool"))
}
