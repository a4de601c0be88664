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
		Name: "evacuations", Usage: "show which zones are evacuated, which processes know the order, and what still runs there",
		Description: "A zone is open, emptying while anything still runs there, or empty. Local proxies are not asked; they get the order from the stewards.\n" +
			"Exit codes: 0 all answered, 2 bad usage, 4 a process did not answer (the others are still shown).",
		Flags: showFlags(),
		Action: func(ctx context.Context, command *cli.Command) error {
			return showRepeatedly(ctx, command, showEvacuationsOnce)
		},
	}
}

// showEvacuationsOnce asks all members and prints the evacuations. If a member doesn't answer, it prints what the others answer and returns an
// error with the exit code exitNoAnswer.
func showEvacuationsOnce(command *cli.Command, contact string, timeout time.Duration) error {
	members, err := membersOf(contact, timeout)
	if err != nil {
		return err
	}
	caller := peerapi.NewCaller(peerapi.Client(timeout, 1))
	outcomes := askAll(members, func(member process) (*wire.EvacuationsAnswer, error) {
		return peerapi.Call[wire.EvacuationsCall, wire.EvacuationsAnswer](context.Background(), caller, member.address,
			peerapi.ProcedureEvacuations, timeout, &wire.EvacuationsCall{})
	})
	var answers []wire.EvacuationsAnswer
	noAnswer := handleAnswers(members, outcomes, func(_ process, answer *wire.EvacuationsAnswer) { answers = append(answers, *answer) })
	view := evacuationview.Join(answers)
	write := view.WriteTable
	if command.Bool("json") {
		write = view.WriteJSON
	}
	if err := write(command.Root().Writer); err != nil {
		return err
	}
	return noAnswer
}

func evacuateCommand() *cli.Command {
	return &cli.Command{
		Name: "evacuate", Usage: "send no new work to a zone, or end its evacuation", ArgsUsage: "ZONE",
		Description: "Work that runs in the zone continues; `evacuations` shows when the zone is empty. The command may be repeated.\n" +
			"Exit codes: 0 the order is committed, 1 refused, 2 bad usage, 4 outcome unknown: the order may or may not be committed.",
		Flags:  append(callFlags(), timeoutFlag(), &cli.BoolFlag{Name: "end", Usage: "end the evacuation"}),
		Action: callAction(1, evacuate),
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
