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
		Name: "compare", Usage: "show where the views of two nodes differ", ArgsUsage: "NODE NODE",
		Description: "NODE is ip:port: a steward's control-plane address, or any process's internal one.\n" +
			"Exit codes: 0 no difference, 3 differences, 4 a node did not answer.",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "json", Usage: "print JSON"},
			&cli.DurationFlag{Name: "timeout", Usage: "how long to wait for the answer of a node", Value: 3 * time.Second},
		},
		Action: func(_ context.Context, command *cli.Command) error {
			if command.Args().Len() != 2 {
				return cli.Exit("compare takes two nodes, ip:port each", exitUsage)
			}
			return compare(command.Args().Get(0), command.Args().Get(1), command.Duration("timeout"), command.Bool("json"))
		},
	}
}

// compare prints the differences between the views of two nodes. The error has the exit code exitDiffers if there are any, and exitNoAnswer
// if a node doesn't answer.
func compare(first, second string, timeout time.Duration, isJSON bool) error {
	beliefs := askAll([]string{first, second}, func(address string) (*wire.BeliefsAnswer, error) {
		return comparenodes.RetrieveBeliefs(address, timeout)
	})
	for _, node := range beliefs {
		if node.err != nil {
			return cli.Exit("a node did not answer: "+node.err.Error(), exitNoAnswer)
		}
	}
	differences := comparenodes.Compare(beliefs[0].answer, beliefs[1].answer)
	if err := comparenodes.Write(os.Stdout, first, second, differences, isJSON); err != nil {
		return errors.Annotate(err, "writing the comparison")
	}
	if len(differences) > 0 {
		return cli.Exit("", exitDiffers)
	}
	return nil
}
