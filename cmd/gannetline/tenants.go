package main

import (
	"context"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"gannetline/internal/cluster/membership"
	"gannetline/internal/cluster/peerapi"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/cluster/tenantview"
	"gannetline/internal/platform/clock"
)

func tenantsCommand() *cli.Command {
	return &cli.Command{
		Name: "tenants", Usage: "show what each tenant has running, may have, and waits for",
		Description: "Amounts are cores/MB, with /GPUs if there are any. No key of a tenant is shown.\n" +
			"Exit codes: 0 all stewards answered, 2 bad usage, 4 one did not answer (the others are shown all the same).",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "of", Usage: "ask all stewards that the process at `ADDRESS`, ip:port, knows"},
			&cli.BoolFlag{Name: "by-pool", Usage: "also show what each pool was granted"},
			&cli.BoolFlag{Name: "json", Usage: "print JSON"},
			&cli.DurationFlag{Name: "watch", Usage: "show them again every `DURATION`, until Ctrl-C"},
			&cli.DurationFlag{Name: "timeout", Usage: "how long a process may take", Value: 3 * time.Second},
		},
		Action: showTenants,
	}
}

// minWatch is the shortest time between two looks, so that a watch costs the stewards little.
const minWatch = 200 * time.Millisecond

func showTenants(ctx context.Context, command *cli.Command) error {
	known, watch, timeout := command.String("of"), command.Duration("watch"), command.Duration("timeout")
	switch {
	case command.Args().Len() > 0:
		return cli.Exit("tenants takes no arguments", exitUsage)
	case !isAddress(known):
		return cli.Exit(fmt.Sprintf("--of %q is not ip:port", known), exitUsage)
	case timeout <= 0:
		return cli.Exit("--timeout must be above 0", exitUsage)
	case command.IsSet("watch") && watch < minWatch:
		return cli.Exit(fmt.Sprintf("--watch must be at least %s", minWatch), exitUsage)
	}
	for {
		if err := showTenantsOnce(command, known, timeout); err != nil || watch == 0 {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-clock.System().After(watch):
		}
	}
}

// showTenantsOnce asks all stewards and prints what they tell; it exits with exitSilent if one of them doesn't answer.
func showTenantsOnce(command *cli.Command, known string, timeout time.Duration) error {
	members, err := membersOf(known, timeout)
	if err != nil {
		return err
	}
	var stewards []process
	for _, member := range members {
		if member.column == membership.RoleSteward {
			stewards = append(stewards, member)
		}
	}
	caller := peerapi.NewCaller(peerapi.Client(timeout, 1))
	outcomes := askAll(stewards, func(steward process) (*wire.TenantsAnswer, error) {
		return peerapi.Call[wire.TenantsCall, wire.TenantsAnswer](context.Background(), caller, steward.address, peerapi.ProcedureTenants, timeout, &wire.TenantsCall{})
	})
	var reports []wire.TenantCountReport
	silent := eachAnswer(stewards, outcomes, func(_ process, answer *wire.TenantsAnswer) { reports = append(reports, answer.Reports...) })
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
