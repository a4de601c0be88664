// Scale-run plays gannetline at several sizes on loopback addresses and prints what each role costs.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/procfs"
	"github.com/urfave/cli/v3"

	"gannetline/internal/platform/supervise"
	"gannetline/internal/simulation/scalerun"
)

const (
	exitFailed  = 1
	exitUsage   = 2
	exitUnsound = 3
)

func main() {
	app := &cli.Command{
		Name: "scale-run", Usage: "play gannetline at several sizes on loopback addresses, and work out what each role costs",
		Description: "Needs the gannetline program beside it. Writes scale-run.json and scale-run.svg.\n" +
			"Exit codes: 0 every size was played and nothing was lost or doubled, 1 failed, 2 bad input, 3 a size failed, or tasks were lost or doubled.",
		Flags: []cli.Flag{
			&cli.IntSliceFlag{Name: "sizes", Usage: "workers of each size", Value: []int{60, 250, 1000}},
			&cli.IntFlag{Name: "stewards", Usage: "1 to 7; five of them vote at most", Value: 6},
			&cli.IntFlag{Name: "gates", Usage: "1 to 16", Value: 4},
			&cli.DurationFlag{Name: "seconds", Usage: "length of the load", Value: 30 * time.Second},
			&cli.DurationFlag{Name: "idle", Usage: "length of the windows without starts", Value: 10 * time.Second},
			&cli.FloatFlag{Name: "starts-per-worker", Usage: "task starts a second, for each worker", Value: 0.62},
			&cli.DurationFlag{Name: "task-length", Usage: "how long a task of the load runs", Value: time.Second},
			&cli.IntFlag{Name: "standing", Usage: "tasks that run throughout, for each worker", Value: 14},
			&cli.StringFlag{Name: "addresses", Usage: "a /16 of the loopback network", Value: "127.10.0.0/16"},
			&cli.StringFlag{Name: "out", Usage: "`FOLDER` for the report", Value: "."},
			&cli.StringFlag{Name: "note", Usage: "what else the machine was doing, kept in the report"},
			&cli.BoolFlag{Name: "kill-owner", Usage: "kill the pool's owner during the load, and start it again after 2 s"},
			&cli.BoolFlag{Name: "profile", Usage: "keep a processor profile of the owner under load"},
			&cli.StringFlag{Name: "program", Usage: "the gannetline `PROGRAM`; beside this one if left out"},
		},
		Action: play,
		OnUsageError: func(_ context.Context, _ *cli.Command, err error, _ bool) error {
			return cli.Exit(err.Error(), exitUsage)
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	if err := runUntilSignal(app); err != nil {
		fmt.Fprintln(os.Stderr, "scale-run:", err)
		code := exitFailed
		var coded cli.ExitCoder
		if errors.As(err, &coded) {
			code = coded.ExitCode()
		}
		os.Exit(code)
	}
}

func runUntilSignal(app *cli.Command) error {
	ctx, cancel := supervise.UntilSignal()
	defer cancel()
	return app.Run(ctx, os.Args)
}

func setupOf(command *cli.Command) (scalerun.Setup, error) {
	setup := scalerun.Setup{Program: command.String("program"), Sizes: command.IntSlice("sizes"), Stewards: command.Int("stewards"),
		Gates: command.Int("gates"), LoadTime: command.Duration("seconds"), Idle: command.Duration("idle"),
		StartsPerWorker: command.Float("starts-per-worker"), TaskLength: command.Duration("task-length"), Standing: command.Int("standing"),
		Addresses: command.String("addresses"), Folder: command.String("out"), Note: command.String("note"),
		KillsOwner: command.Bool("kill-owner"), IsProfiled: command.Bool("profile")}
	if command.Args().Len() > 0 {
		return setup, errors.Errorf("%q is no option", command.Args().First())
	}
	if err := setup.Check(); err != nil {
		return setup, err
	}
	if setup.Program == "" {
		self, err := os.Executable()
		if err != nil {
			return setup, err
		}
		setup.Program = filepath.Join(filepath.Dir(self), "gannetline")
	}
	if _, err := os.Stat(setup.Program); err != nil {
		return setup, errors.Annotate(err, "option --program")
	}
	return setup, errors.Annotate(os.MkdirAll(setup.Folder, 0o755), "option --out")
}

func machineMemory() (uint64, error) {
	system, err := procfs.NewDefaultFS()
	if err != nil {
		return 0, err
	}
	memory, err := system.Meminfo()
	if err != nil {
		return 0, err
	}
	if memory.MemTotalBytes == nil {
		return 0, errors.New("the machine does not tell its memory")
	}
	return *memory.MemTotalBytes, nil
}

func play(ctx context.Context, command *cli.Command) error {
	setup, err := setupOf(command)
	if err != nil {
		return cli.Exit(err.Error(), exitUsage)
	}
	memory, err := machineMemory()
	if err != nil {
		return errors.Annotate(err, "asking for the machine's memory")
	}
	for _, workers := range setup.Sizes {
		if err := setup.CheckMemory(workers, memory); err != nil {
			return cli.Exit(err.Error(), exitUsage)
		}
	}
	var sizes []scalerun.Size
	for _, workers := range setup.Sizes {
		if ctx.Err() != nil {
			break
		}
		sizes = append(sizes, scalerun.Play(ctx, &setup, workers, os.Stderr, memory))
	}
	report := scalerun.NewReport(setup, sizes, memory)
	if err := report.Print(os.Stdout); err != nil {
		return err
	}
	if err := report.Save(setup.Folder); err != nil {
		return err
	}
	if !report.IsSound() || len(sizes) < len(setup.Sizes) {
		return cli.Exit("not every size was played whole with nothing lost or doubled", exitUnsound)
	}
	return nil
}
