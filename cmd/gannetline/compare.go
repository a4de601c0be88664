package main

import (
	"context"
	"os"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"gannetline/internal/cluster/comparenodes"
	"gannetline/internal/cluster/peerapi/wire"
)

func compareCommand() *cli.Command {
	return &cli.Command{
		Name: "compare", Usage: "show what two nodes believe differently", ArgsUsage: "NODE NODE",
		Description: "NODE is ip:port: a steward's control-plane address, or any process's internal one.\n" +
			"Exit codes: 0 no difference, 3 differences, 4 a node did not answer.",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "json", Usage: "print JSON"},
			&cli.DurationFlag{Name: "timeout", Usage: "how long a node may take", Value: 3 * time.Second},
		},
		Action: func(_ context.Context, command *cli.Command) error {
			if command.Args().Len() != 2 {
				return cli.Exit("compare takes two nodes, ip:port each", exitUsage)
			}
			return compare(command.Args().Get(0), command.Args().Get(1), command.Duration("timeout"), command.Bool("json"))
		},
	}
}

// compare prints what two nodes believe differently, or exits with exitDiffers or exitSilent.
func compare(first, second string, limit time.Duration, isJSON bool) error {
	beliefs := askAll([]string{first, second}, func(address string) (*wire.BeliefsAnswer, error) {
		return comparenodes.RetrieveBeliefs(address, limit)
	})
	for _, node := range beliefs {
		if node.err != nil {
			return cli.Exit("a node did not answer: "+node.err.Error(), exitSilent)
		}
	}
	all := comparenodes.Compare(beliefs[0].answer, beliefs[1].answer)
	if err := comparenodes.Write(os.Stdout, first, second, all, isJSON); err != nil {
		return errors.Annotate(err, "writing the comparison")
	}
	if len(all) > 0 {
		return cli.Exit("", exitDiffers)
	}
	return nil
}
