package main

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"gannetline/internal/platform/indentedjson"
	"gannetline/internal/platform/logging"
	"gannetline/internal/simulation/soak"
)

// pairPace multiplies the usual call rate of clients in a soak.
const pairPace = 4

// pairsCommand returns the subcommand that measures the cost of parts of the system alone and in pairs.
func pairsCommand() *cli.Command {
	return &cli.Command{
		Name: "pairs", Usage: "measure the cost of parts of the system alone and in pairs, without faults",
		Description: "Each part and each pair runs for --seconds on a system with all parts switched on. Figures depend on the machine: compare the rows.\n" +
			"Exit codes: 0 measured, 2 bad usage, 3 the measurement could not be run.",
		Flags: []cli.Flag{
			&cli.FloatFlag{Name: "seconds", Usage: "how long each part and pair runs", Value: soak.MinLength.Seconds()},
			&cli.IntFlag{Name: "processes", Usage: "8 to 200, of all roles together", Value: 12},
			&cli.StringFlag{Name: "parts", Usage: "the parts, separated by commas", Value: joined(soak.AllParts)},
			&cli.StringFlag{Name: "network", Usage: "first two octets of the loopback addresses", Value: "127.93"},
			&cli.StringFlag{Name: "json", Usage: "`FILE` for the rows"},
		},
		Action: measurePairs,
	}
}

// measurePairs measures the parts that --parts names, prints the rows and writes them to the file of --json.
func measurePairs(ctx context.Context, command *cli.Command) error {
	options := soak.Options{Seed: 1, Length: time.Duration(command.Float("seconds") * float64(time.Second)), Processes: command.Int("processes"),
		Network: command.String("network"), Pace: pairPace}
	self, err := os.Executable()
	if err != nil {
		return errors.Annotate(err, "locating the gannetline program")
	}
	options.Program = filepath.Join(filepath.Dir(self), "gannetline")
	if err := options.Check(); err != nil {
		return cli.Exit(err.Error(), exitUsage)
	}
	parts, err := soak.ParseParts(strings.FieldsFunc(command.String("parts"), func(r rune) bool { return r == ',' }))
	if err != nil {
		return cli.Exit(err.Error(), exitUsage)
	}
	rows, err := soak.MeasurePairs(ctx, options, parts, logging.New(os.Stderr, 0))
	if err != nil {
		return err
	}
	if path := command.String("json"); path != "" {
		file, err := os.Create(path)
		if err != nil {
			return errors.Annotate(err, "--json")
		}
		defer file.Close()
		if err := indentedjson.Write(file, rows); err != nil {
			return errors.Annotate(err, "--json")
		}
	}
	return soak.WritePairs(os.Stdout, rows)
}
