// Hunted shows which hunts, scores and sweeps the bench has run with the daemons of a commit, and which are missing. Journal entries identify
// the daemons by a digest of their sources, so runs stay valid after a commit that changes only tests, pages or models.
package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"
)

// Exit codes of the command. exitError stands for bad usage and for all errors but errMissing.
const (
	exitMissing = 1
	exitError   = 2
)

// errMissing is returned if a run of the plan is missing, a rule was violated or a gate was not passed.
const errMissing = errors.ConstError("not all runs of the plan were made without a violation")

func main() {
	err := command(os.Stdout).Run(context.Background(), os.Args)
	switch {
	case err == nil:
	case errors.Is(err, errMissing):
		os.Exit(exitMissing)
	default:
		fmt.Fprintln(os.Stderr, "hunted:", err)
		os.Exit(exitError)
	}
}

func command(to io.Writer) *cli.Command {
	return &cli.Command{
		Name:      "hunted",
		Usage:     "show which hunts, scores and sweeps were run with the daemons of a commit, and which are missing",
		ArgsUsage: " ",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "root", Value: ".", Usage: "`FOLDER` of the repository"},
			&cli.StringFlag{Name: "commit", Usage: "a `COMMIT` instead of the work tree"},
			&cli.StringFlag{Name: "journal", Value: "journal", Usage: "`FOLDER` of the journal entries"},
			&cli.StringFlag{Name: "plan", Value: "tools/hunt-plan.txt", Usage: "`FILE` with the required runs of each site"},
			&cli.BoolFlag{Name: "digest", Usage: "print only the digest"},
			&cli.BoolFlag{Name: "todo", Usage: "print only the missing runs, one per line: VERB SITE DAYS"},
		},
		Action:         func(_ context.Context, flags *cli.Command) error { return run(flags, to) },
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
}

func run(flags *cli.Command, to io.Writer) error {
	if flags.Args().Present() {
		return errors.Errorf("unknown argument %q", flags.Args().First())
	}
	digest, err := computeDigest(flags.String("root"), flags.String("commit"))
	if err != nil {
		return err
	}
	if flags.Bool("digest") {
		_, err := fmt.Fprintln(to, digest)
		return err
	}
	plan, err := readPlan(flags.String("plan"))
	if err != nil {
		return err
	}
	entries, err := readJournal(flags.String("journal"), digest)
	if err != nil {
		return err
	}
	reports := summarize(plan, entries)
	if flags.Bool("todo") {
		return writeTodo(to, reports)
	}
	return writeTable(to, digest, reports)
}
