package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"gannetline/internal/cluster/membership"
	"gannetline/internal/cluster/peerapi"
	"gannetline/internal/platform/clock"
)

// minWatch is the shortest time between two looks, so that a watch costs the stewards little.
const minWatch = 200 * time.Millisecond

// showFlags are those of commands that show what all stewards tell.
func showFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "of", Aliases: []string{"at"}, Sources: cli.EnvVars(stewardVariable),
			Usage: "ask all stewards that the process at `ADDRESS`, ip:port, knows. Left out: a seed of the settings file"},
		&cli.BoolFlag{Name: "json", Usage: "print JSON"},
		&cli.DurationFlag{Name: "watch", Usage: "show them again every `DURATION`, until Ctrl-C"},
		&cli.DurationFlag{Name: "timeout", Usage: "how long a process may take", Value: 3 * time.Second},
	}
}

// showAgain shows what all stewards tell, once or every --watch; an error names the flag that is wrong.
func showAgain(ctx context.Context, command *cli.Command, show func(command *cli.Command, known string, timeout time.Duration) error) error {
	known, watch, timeout := command.String("of"), command.Duration("watch"), command.Duration("timeout")
	if seeds := seedsOf(command); known == "" && len(seeds) > 0 {
		known = seeds[0]
	}
	switch {
	case command.Args().Len() > 0:
		return cli.Exit(command.Name+" takes no arguments", exitUsage)
	case !isAddress(known):
		return cli.Exit(fmt.Sprintf("--of %q is not ip:port", known), exitUsage)
	case timeout <= 0:
		return cli.Exit("--timeout must be above 0", exitUsage)
	case command.IsSet("watch") && watch < minWatch:
		return cli.Exit(fmt.Sprintf("--watch must be at least %s", minWatch), exitUsage)
	}
	return repeat(ctx, watch, func() error { return show(command, known, timeout) })
}

// repeat shows something once, or again and again with a pause in between until ctx is done or it fails.
func repeat(ctx context.Context, pause time.Duration, show func() error) error {
	for {
		if err := show(); err != nil || pause == 0 {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-clock.System().After(pause):
		}
	}
}

// askStewards makes a call to all stewards that a process knows; take gets each answer, and silent is an exit that names those that
// gave none.
func askStewards[Asked, Answer any](known, procedure string, timeout time.Duration, asked *Asked, take func(*Answer)) (silent, err error) {
	members, err := membersOf(known, timeout)
	if err != nil {
		return nil, err
	}
	var stewards []process
	for _, member := range members {
		if member.column == membership.RoleSteward {
			stewards = append(stewards, member)
		}
	}
	caller := peerapi.NewCaller(peerapi.Client(timeout, 1))
	outcomes := askAll(stewards, func(steward process) (*Answer, error) {
		return peerapi.Call[Asked, Answer](context.Background(), caller, steward.address, procedure, timeout, asked)
	})
	return eachAnswer(stewards, outcomes, func(_ process, answer *Answer) { take(answer) }), nil
}

// outcome is what one process answered, or why it did not.
type outcome[Answer any] struct {
	answer Answer
	err    error
}

// askAll asks about all of them at once, and gives the outcomes in their order.
func askAll[Asked, Answer any](all []Asked, ask func(Asked) (Answer, error)) []outcome[Answer] {
	pending := make([]chan outcome[Answer], len(all))
	for place, asked := range all {
		pending[place] = make(chan outcome[Answer], 1)
		go func() {
			answer, err := ask(asked)
			pending[place] <- outcome[Answer]{answer, err}
		}()
	}
	outcomes := make([]outcome[Answer], len(all))
	for place := range pending {
		outcomes[place] = <-pending[place]
	}
	return outcomes
}

// eachAnswer runs a function on each process that answered, with its answer, and gives an exit that names those that did not, or nil.
func eachAnswer[Answer any](asked []process, outcomes []outcome[Answer], take func(process, Answer)) error {
	var silent []string
	for place, from := range asked {
		if err := outcomes[place].err; err != nil {
			silent = append(silent, errors.Annotate(err, from.address).Error())
			continue
		}
		take(from, outcomes[place].answer)
	}
	if len(silent) > 0 {
		return cli.Exit("no answer: "+strings.Join(silent, "; "), exitSilent)
	}
	return nil
}
