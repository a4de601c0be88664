package main

import (
	"fmt"
	"os"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"gannetline/internal/comparenodes"
	"gannetline/internal/configuration"
	"gannetline/internal/peerapi"
	"gannetline/internal/settings"
	"gannetline/internal/span"
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
		Action: func(_ span.Span, command *cli.Command) error {
			if command.Args().Len() != 2 {
				return cli.Exit("compare takes two nodes, ip:port each", exitUsage)
			}
			return compare(command.Args().Get(0), command.Args().Get(1), command.Duration("timeout"), command.Bool("json"))
		},
	}
}

func compare(first, second string, limit time.Duration, isJSON bool) error {
	type told struct {
		answer *peerapi.BeliefsAnswer
		err    error
	}
	ask := func(address string) chan told {
		heard := make(chan told, 1)
		go func() {
			answer, err := comparenodes.Ask(address, limit)
			heard <- told{answer, err}
		}()
		return heard
	}
	left, right := ask(first), ask(second)
	one, two := <-left, <-right
	for _, failed := range []error{one.err, two.err} {
		if failed != nil {
			return cli.Exit("a node did not answer: "+failed.Error(), exitSilent)
		}
	}
	all := comparenodes.Compare(one.answer, two.answer)
	if err := comparenodes.Write(os.Stdout, first, second, all, isJSON); err != nil {
		return errors.Annotate(err, "writing the comparison")
	}
	if len(all) > 0 {
		return cli.Exit("", exitDiffers)
	}
	return nil
}

func checkCommand() *cli.Command {
	return &cli.Command{
		Name: "check", Usage: "check a settings file or a plan", ArgsUsage: "FILE",
		Flags: []cli.Flag{&cli.BoolFlag{Name: "plan", Usage: "FILE is a plan in JSON, not settings"}},
		Action: func(_ span.Span, command *cli.Command) error {
			if command.Args().Len() != 1 {
				return cli.Exit("check takes one file", exitUsage)
			}
			if err := check(command.Args().First(), command.Bool("plan")); err != nil {
				return err
			}
			fmt.Println(command.Args().First(), "is sound")
			return nil
		},
	}
}

func check(path string, isPlan bool) error {
	if !isPlan {
		_, err := settings.Load(path)
		return err
	}
	body, err := os.ReadFile(path)
	if err != nil {
		return errors.Annotate(err, "reading the plan")
	}
	_, err = configuration.Read(body)
	return err
}
