package main

import (
	"context"
	"fmt"
	"os"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"gannetline/internal/cluster/configuration"
	"gannetline/internal/platform/settings"
)

func checkCommand() *cli.Command {
	return &cli.Command{
		Name: "check", Usage: "check a settings file or a configuration", ArgsUsage: "FILE",
		Flags: []cli.Flag{&cli.BoolFlag{Name: "plan", Usage: "FILE is a configuration in JSON, not settings"}},
		Action: func(_ context.Context, command *cli.Command) error {
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

// check returns an error that lists the problems of a settings file or a configuration.
func check(path string, isPlan bool) error {
	if !isPlan {
		_, err := settings.Load(path)
		return err
	}
	body, err := os.ReadFile(path)
	if err != nil {
		return errors.Annotate(err, "reading the configuration")
	}
	_, err = configuration.Read(body)
	return err
}
