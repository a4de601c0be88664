// Hunted tells which hunts, scores and sweeps of the bench the daemons of a commit have had, and which are missing. Entries of the journal
// name the daemons that they played by a digest of their sources, so that a commit to tests, pages or models keeps what was played before.
package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"
)

// The exit statuses of the command.
const (
	exitMissing = 1
	exitBadUse  = 2
)

// errMissing tells that something of the plan was not played, or that a rule broke.
const errMissing = errors.ConstError("not everything of the plan was played clean")

func main() {
	err := command(os.Stdout).Run(context.Background(), os.Args)
	switch {
	case err == nil:
	case errors.Is(err, errMissing):
		os.Exit(exitMissing)
	default:
		fmt.Fprintln(os.Stderr, "hunted:", err)
		os.Exit(exitBadUse)
	}
}

func command(to io.Writer) *cli.Command {
	return &cli.Command{
		Name:      "hunted",
		Usage:     "which hunts, scores and sweeps the daemons of a commit have had, and which are missing",
		ArgsUsage: " ",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "root", Value: ".", Usage: "`FOLDER` of the repository"},
			&cli.StringFlag{Name: "commit", Usage: "a `COMMIT` in place of the work tree"},
			&cli.StringFlag{Name: "journal", Value: "journal", Usage: "`FOLDER` of the entries"},
			&cli.StringFlag{Name: "plan", Value: "tools/hunt-plan.txt", Usage: "`FILE` that says what is to be played"},
			&cli.BoolFlag{Name: "digest", Usage: "print the digest only"},
			&cli.BoolFlag{Name: "todo", Usage: "print what is missing only, a line each: VERB SITE DAYS"},
		},
		Action:         func(_ context.Context, asked *cli.Command) error { return run(asked, to) },
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
}

func run(asked *cli.Command, to io.Writer) error {
	if asked.Args().Present() {
		return errors.Errorf("unknown argument %q", asked.Args().First())
	}
	digest, err := digestOf(asked.String("root"), asked.String("commit"))
	if err != nil {
		return err
	}
	if asked.Bool("digest") {
		_, err := fmt.Fprintln(to, digest)
		return err
	}
	plan, err := readPlan(asked.String("plan"))
	if err != nil {
		return err
	}
	entries, err := readJournal(asked.String("journal"), digest)
	if err != nil {
		return err
	}
	played := summarize(plan, entries)
	if asked.Bool("todo") {
		return writeTodo(to, played)
	}
	return writeTable(to, digest, played)
}
