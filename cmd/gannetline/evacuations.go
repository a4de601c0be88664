package main

import (
	"context"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"gannetline/client"
	"gannetline/internal/cluster/evacuationview"
	"gannetline/internal/cluster/peerapi"
	"gannetline/internal/cluster/peerapi/wire"
)

func evacuationsCommand() *cli.Command {
	return &cli.Command{
		Name: "evacuations", Usage: "show which zones are to be emptied, who knows of it, and what still runs there",
		Description: "A zone is open, emptying while anything still runs there, or empty. Processes of executors' machines are not asked; they learn from the stewards.\n" +
			"Exit codes: 0 all answered, 2 bad usage, 4 a process did not answer (the others are shown all the same).",
		Flags: showFlags(),
		Action: func(ctx context.Context, command *cli.Command) error {
			return showAgain(ctx, command, showEvacuationsOnce)
		},
	}
}

// showEvacuationsOnce asks all processes and prints what they tell; it exits with exitSilent if one of them doesn't answer.
func showEvacuationsOnce(command *cli.Command, known string, timeout time.Duration) error {
	members, err := membersOf(known, timeout)
	if err != nil {
		return err
	}
	caller := peerapi.NewCaller(peerapi.Client(timeout, 1))
	outcomes := askAll(members, func(member process) (*wire.EvacuationsAnswer, error) {
		return peerapi.Call[wire.EvacuationsCall, wire.EvacuationsAnswer](context.Background(), caller, member.address,
			peerapi.ProcedureEvacuations, timeout, &wire.EvacuationsCall{})
	})
	var answers []wire.EvacuationsAnswer
	silent := eachAnswer(members, outcomes, func(_ process, answer *wire.EvacuationsAnswer) { answers = append(answers, *answer) })
	view := evacuationview.Join(answers)
	write := view.WriteTable
	if command.Bool("json") {
		write = view.WriteJSON
	}
	if err := write(command.Root().Writer); err != nil {
		return err
	}
	return silent
}

func evacuateCommand() *cli.Command {
	return &cli.Command{
		Name: "evacuate", Usage: "send nothing new to a zone, or take that back", ArgsUsage: "ZONE",
		Description: "What runs in the zone runs on; `evacuations` shows when it is empty. The same order may be given again.\n" +
			"Exit codes: 0 the order is kept, 1 refused, 2 bad usage, 4 no clear answer: it may be kept or not.",
		Flags:  append(callFlags(), timeoutFlag(), &cli.BoolFlag{Name: "end", Usage: "take the order back"}),
		Action: withCall(1, evacuate),
	}
}

func evacuate(ctx context.Context, caller *client.Client, command *cli.Command) error {
	zone := command.Args().First()
	if command.Bool("end") {
		if err := caller.EndEvacuation(ctx, zone); err != nil {
			return err
		}
		fmt.Fprintf(command.Root().Writer, "zone %s is open\n", zone)
		return nil
	}
	if err := caller.Evacuate(ctx, zone); err != nil {
		return err
	}
	fmt.Fprintf(command.Root().Writer, "nothing new is sent to zone %s\n", zone)
	return nil
}
