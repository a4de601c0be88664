// Soak runs gannetline as real processes on loopback addresses under a schedule of faults, and checks what clients, the operator and executors
// observed.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"
	"go.uber.org/multierr"

	"gannetline/internal/platform/indentedjson"
	"gannetline/internal/platform/logging"
	"gannetline/internal/platform/supervise"
	"gannetline/internal/simulation/soak"
)

const (
	// exitFound stands for a violation that an oracle found.
	exitFound = 1
	exitUsage = 2
	// exitFailed stands for a soak that could not be run, or whose report could not be written.
	exitFailed = 3
	// maxShrinkRuns is the largest number of runs that look for a shorter schedule.
	maxShrinkRuns = 12
)

func main() {
	ctx, cancel := supervise.UntilSignal()
	err := command().Run(ctx, os.Args)
	cancel()
	if err == nil {
		return
	}
	code := exitFailed
	var coded cli.ExitCoder
	if errors.As(err, &coded) {
		code = coded.ExitCode()
	}
	if err.Error() != "" {
		fmt.Fprintln(os.Stderr, "soak:", err)
	}
	os.Exit(code)
}

func command() *cli.Command {
	return &cli.Command{
		Name: "soak", Usage: "run gannetline as real processes under faults, and check what clients, the operator and executors observed",
		Description: "Needs the gannetline program beside it. All processes use loopback addresses and one folder, and end with the command.\n" +
			"Exit codes: 0 nothing was found, 1 an oracle found something, 2 bad usage, 3 the soak could not be run.",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Usage: "decides the schedule and what clients do", Value: 1},
			&cli.FloatFlag{Name: "seconds", Usage: "the duration of client calls and faults", Value: 30},
			&cli.IntFlag{Name: "processes", Usage: "8 to 200, of all roles together", Value: 10},
			&cli.StringFlag{Name: "faults", Usage: "the kinds of faults, separated by commas; empty for a soak without faults", Value: joined(soak.AllFaults)},
			&cli.BoolFlag{Name: "rollouts", Usage: "roll out a bad version of the service, and then a good one"},
			&cli.Uint64Flag{Name: "mix", Usage: "run a deployment whose contracts, zones and bounds are drawn with this `SEED`; 32 consecutive seeds cover all combinations"},
			&cli.StringFlag{Name: "wrong-settings", Usage: "give all processes settings with a mistake: " + joined(soak.AllSettingsFaults)},
			&cli.StringFlag{Name: "keep", Usage: "`FOLDER` for settings, logs and data, which is kept"},
			&cli.StringFlag{Name: "json", Usage: "`FILE` for the report"},
			&cli.StringFlag{Name: "schedule", Usage: "run the schedule in `FILE`, in the format of --print-schedule or of a report"},
			&cli.BoolFlag{Name: "print-schedule", Usage: "print the schedule and run nothing"},
			&cli.BoolFlag{Name: "shrink", Usage: "if a violation is found, look for a shorter schedule that causes it too, and print that"},
			&cli.StringFlag{Name: "plant", Usage: "inject a fault into the observations: " + joined(soak.AllInjectedFaults)},
			&cli.StringFlag{Name: "network", Usage: "first two octets of the loopback addresses", Value: "127.92"},
			&cli.StringFlag{Name: "program", Usage: "the gannetline `PROGRAM`; by default the one beside this program"},
			&cli.IntFlag{Name: "log-level", Usage: "0 logs progress, 1 also logs each fault"},
		},
		Commands: []*cli.Command{pairsCommand()},
		Action:   runSoak,
		OnUsageError: func(_ context.Context, _ *cli.Command, err error, _ bool) error {
			return cli.Exit(err.Error(), exitUsage)
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
}

// joined returns the names separated by commas.
func joined[Name ~string](names []Name) string {
	var all []string
	for _, name := range names {
		all = append(all, string(name))
	}
	return strings.Join(all, ",")
}

// optionsOf reads and checks the flags that describe a soak. A schedule file replaces --seed, --processes and --seconds.
func optionsOf(command *cli.Command) (soak.Options, error) {
	options := soak.Options{Seed: command.Uint64("seed"), Length: time.Duration(command.Float("seconds") * float64(time.Second)),
		Processes: command.Int("processes"), Keep: command.String("keep"), Program: command.String("program"), Network: command.String("network"),
		Rollouts:      command.Bool("rollouts"),
		InjectedFault: soak.InjectedFault(command.String("plant")), SettingsFault: soak.SettingsFault(command.String("wrong-settings"))}
	if command.IsSet("mix") {
		options.Mix = soak.DrawMix(command.Uint64("mix"))
	}
	if command.Args().Len() > 0 {
		return options, errors.Errorf("%q is no option", command.Args().First())
	}
	for _, kind := range strings.FieldsFunc(command.String("faults"), func(r rune) bool { return r == ',' }) {
		options.Kinds = append(options.Kinds, soak.FaultKind(kind))
	}
	if options.Program == "" {
		self, err := os.Executable()
		if err != nil {
			return options, errors.Annotate(err, "--program")
		}
		options.Program = filepath.Join(filepath.Dir(self), "gannetline")
	}
	if path := command.String("schedule"); path != "" {
		schedule, err := soak.LoadSchedule(path)
		if err != nil {
			return options, err
		}
		options.Schedule, options.Seed, options.Processes = schedule, schedule.Seed, schedule.Processes
		options.Length = time.Duration(schedule.LengthMs) * time.Millisecond
	}
	return options, options.Check()
}

// runSoak runs the soak and writes its report, or only prints the schedule. If an oracle finds a violation, the error has the exit code
// exitFound.
func runSoak(ctx context.Context, command *cli.Command) error {
	options, err := optionsOf(command)
	if err != nil {
		return cli.Exit(err.Error(), exitUsage)
	}
	if command.Bool("print-schedule") {
		return printJSON(soak.Draw(options, options.Layout()))
	}
	log := logging.New(os.Stderr, command.Int("log-level"))
	report, err := soak.Run(ctx, options, log)
	if err != nil {
		return err
	}
	report.Write(os.Stdout)
	if path := command.String("json"); path != "" {
		if err := writeFile(path, report); err != nil {
			return err
		}
	}
	if len(report.Violations) == 0 {
		return nil
	}
	if command.Bool("shrink") {
		if err := shrink(ctx, options, report, log); err != nil {
			return err
		}
	}
	return cli.Exit("", exitFound)
}

// shrink looks for shorter schedules in which the oracle of the first violation finds a violation again, and prints the shortest of them.
func shrink(ctx context.Context, options soak.Options, report *soak.Summary, log logging.Logger) error {
	shortest := soak.Shrink(report.Schedule, maxShrinkRuns, func(schedule *soak.Schedule) bool {
		shrinkOptions := options
		shrinkOptions.Schedule = schedule
		shorterReport, err := soak.Run(ctx, shrinkOptions, log)
		return err == nil && shorterReport.FoundBy(report.Violations[0].Oracle)
	})
	return printJSON(shortest)
}

// printJSON writes a value as indented JSON to standard output.
func printJSON(value any) error { return indentedjson.Write(os.Stdout, value) }

// writeFile writes a value as indented JSON to the file that --json names.
func writeFile(path string, value any) error {
	file, err := os.Create(path)
	if err != nil {
		return errors.Annotate(err, "--json")
	}
	err = indentedjson.Write(file, value)
	return errors.Annotate(multierr.Append(err, file.Close()), "--json")
}
