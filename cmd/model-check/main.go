// Model-check runs the control code under simulated faults, all within one process, and checks what its callers observed. The seed determines
// all schedules.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"gannetline/internal/simulation/modelcheck"
	"gannetline/internal/simulation/modelcheck/controlmodel"
	"gannetline/internal/simulation/modelcheck/countmodel"
	"gannetline/internal/simulation/modelcheck/ordermodel"
	"gannetline/internal/simulation/modelcheck/rolloutmodel"
)

const (
	exitViolation    = 1
	exitUsage        = 2
	progressInterval = 10 * time.Second
)

// models holds the models that can be run; the first is the default.
var models = []modelcheck.Model{controlmodel.New(), ordermodel.New(), countmodel.New(), controlmodel.NewCoordination(), rolloutmodel.New()}

// gcPercent makes garbage collections rare, since all memory of a schedule becomes garbage at once when it ends.
const gcPercent = 1000

func main() {
	debug.SetGCPercent(gcPercent)
	// Signals are not handled, as termination can damage no state.
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "model-check:", err)
		code := exitUsage
		var coded cli.ExitCoder
		if errors.As(err, &coded) {
			code = coded.ExitCode()
		}
		os.Exit(code)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name: "model-check", Usage: "run the control code under simulated faults and check what its callers observed",
		Description: "Exit codes: 0 nothing was found, 1 an invariant was violated (the shortest schedule found is written to a file), 2 bad usage.",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Usage: "the seed of all schedules", Value: 1},
			&cli.IntFlag{Name: "schedules", Usage: "the number of schedules", Value: 10000},
			&cli.IntFlag{Name: "losses", Usage: "the number of disks that may be lost at once, 1 or 2", Value: 1},
			&cli.StringFlag{Name: "size", Usage: "small or large: the number of machines and jobs", Value: sizeSmall},
			&cli.StringFlag{Name: "model", Usage: "one of " + strings.Join(modelNames(), ", "), Value: models[0].Name()},
			&cli.IntFlag{Name: "workers", Usage: "the number of concurrent schedules; one per core if 0"},
			&cli.StringFlag{Name: "plant", Usage: "inject a fault"},
			&cli.BoolFlag{Name: "list-plants", Usage: "list the injected faults of the model"},
			&cli.StringFlag{Name: "replay", Usage: "run the schedule in `FILE` once"},
			&cli.BoolFlag{Name: "trace", Usage: "with --replay: print each event, if the model supports it"},
			&cli.StringFlag{Name: "out", Usage: "`FOLDER` for the schedule file that --replay takes", Value: "."},
		},
		Action: check,
		OnUsageError: func(_ context.Context, _ *cli.Command, err error, _ bool) error {
			return cli.Exit(err.Error(), exitUsage)
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
}

func modelNames() []string {
	var names []string
	for _, model := range models {
		names = append(names, model.Name())
	}
	return names
}

func modelNamed(name string) (modelcheck.Model, error) {
	for _, model := range models {
		if model.Name() == name {
			return model, nil
		}
	}
	return nil, cli.Exit(fmt.Sprintf("--model: there is no %q; there are %s", name, strings.Join(modelNames(), ", ")), exitUsage)
}

const sizeSmall = "small"

func sizeNamed(name string) (modelcheck.Size, error) {
	switch name {
	case sizeSmall:
		return modelcheck.SizeSmall, nil
	case string(modelcheck.SizeLarge):
		return modelcheck.SizeLarge, nil
	}
	return "", cli.Exit("--size must be small or large", exitUsage)
}

// check runs the command: it replays a schedule file, lists the injected faults of a model, or runs schedules of a model.
func check(_ context.Context, flags *cli.Command) error {
	if flags.Args().Present() {
		return cli.Exit(fmt.Sprintf("%q is no flag", flags.Args().First()), exitUsage)
	}
	if file := flags.String("replay"); file != "" {
		return replay(file, flags.Bool("trace"))
	}
	model, err := modelNamed(flags.String("model"))
	if err != nil {
		return err
	}
	if flags.Bool("list-plants") {
		for _, fault := range model.InjectedFaults() {
			fmt.Printf("%-34s %s\n", fault.Name, fault.About)
		}
		return nil
	}
	size, err := sizeNamed(flags.String("size"))
	if err != nil {
		return err
	}
	budget := modelcheck.Budget{Size: size, Seed: flags.Uint64("seed"), Schedules: flags.Int("schedules"), Losses: flags.Int("losses"),
		Fault: flags.String("plant"), Workers: flags.Int("workers")}
	if err := checkBudget(model, budget); err != nil {
		return err
	}
	return hunt(model, budget, flags.String("out"))
}

// checkBudget returns an error with the exit code exitUsage if a flag is invalid.
func checkBudget(model modelcheck.Model, budget modelcheck.Budget) error {
	isFault := func(fault modelcheck.InjectedFault) bool { return fault.Name == budget.Fault }
	switch {
	case budget.Losses != 1 && budget.Losses != 2:
		return cli.Exit("--losses must be 1 or 2", exitUsage)
	case budget.Schedules < 1:
		return cli.Exit("--schedules must be at least 1", exitUsage)
	case budget.Workers < 0:
		return cli.Exit("--workers must not be negative", exitUsage)
	case budget.Fault != "" && !slices.ContainsFunc(model.InjectedFaults(), isFault):
		return cli.Exit(fmt.Sprintf("--plant: there is no %q; see --list-plants", budget.Fault), exitUsage)
	}
	return nil
}

// replay runs the schedule of a file once and prints its outcome.
func replay(file string, isTraced bool) error {
	schedule, err := modelcheck.Load(file)
	if err != nil {
		return cli.Exit(err.Error(), exitUsage)
	}
	model, err := modelNamed(schedule.Model)
	if err != nil {
		return err
	}
	if schedule.Nodes < 1 {
		return cli.Exit("the schedule has no nodes", exitUsage)
	}
	var outcome modelcheck.Outcome
	if tracer, canTrace := model.(modelcheck.Tracer); isTraced && canTrace {
		outcome = tracer.Trace(schedule, os.Stdout)
	} else {
		outcome = model.Run(schedule)
	}
	printSchedule(schedule)
	printCoverage(outcome.Coverage)
	return verdict(outcome)
}

// hunt runs schedules until one violates an invariant or the budget is spent. It shortens a violating schedule and writes it to a file.
func hunt(model modelcheck.Model, budget modelcheck.Budget, folder string) error {
	fmt.Printf("model %s, seed %d, %d schedules, %d losses", model.Name(), budget.Seed, budget.Schedules, budget.Losses)
	if budget.Size != modelcheck.SizeSmall {
		fmt.Printf(", size %s", budget.Size)
	}
	if budget.Fault != "" {
		fmt.Printf(", planted: %s", budget.Fault)
	}
	fmt.Println()
	var lastReport time.Duration
	finding, progress := modelcheck.Run(model, budget, func(progress modelcheck.Progress) {
		if progress.Took-lastReport >= progressInterval {
			lastReport = progress.Took
			printProgress(progress)
		}
	})
	printProgress(progress)
	printCoverage(progress.Coverage)
	if finding == nil {
		fmt.Println("nothing found")
		return nil
	}
	shortest, outcome := modelcheck.Shrink(model, finding.Schedule)
	file := filepath.Join(folder, fmt.Sprintf("%s-%d-%d.json", model.Name(), budget.Seed, finding.Number))
	if err := modelcheck.Save(file, shortest); err != nil {
		return cli.Exit(err.Error(), exitUsage)
	}
	fmt.Printf("schedule %d, cut down from %d steps to %d:\n", finding.Number, len(finding.Schedule.Steps), len(shortest.Steps))
	printSchedule(shortest)
	fmt.Printf("to see it again: model-check --replay %s\n", file)
	return verdict(outcome)
}

// verdict prints the violations of a schedule, or that there are none. If there are any, it returns an error with the exit code exitViolation.
func verdict(outcome modelcheck.Outcome) error {
	if len(outcome.Violations) == 0 {
		fmt.Println("nothing found")
		return nil
	}
	for _, violation := range outcome.Violations {
		fmt.Printf("VIOLATION at %d ms: %s: %s\n", violation.AtMs, violation.Oracle, violation.Detail)
	}
	return cli.Exit("an invariant was broken", exitViolation)
}

func printProgress(progress modelcheck.Progress) {
	fmt.Printf("%d schedules in %.1f s, %.0f a second\n", progress.Done, progress.Took.Seconds(), float64(progress.Done)/max(0.001, progress.Took.Seconds()))
}

func printCoverage(coverage modelcheck.Coverage) {
	var names []string
	for name := range coverage {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Printf("  %-48s %d\n", name, coverage[name])
	}
}

func printSchedule(schedule modelcheck.Schedule) {
	fmt.Printf("model %s, seed %d, %d nodes, %d losses, plant %q\n", schedule.Model, schedule.Seed, schedule.Nodes, schedule.Losses, schedule.InjectedFault)
	for _, step := range schedule.Steps {
		fmt.Printf("  %6d ms %-16s node %2d peer %d for %d ms, value %d\n", step.AtMs, step.Kind, step.Node, step.Peer, step.ForMs, step.Value)
	}
}
