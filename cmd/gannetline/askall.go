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

// minWatchInterval is the shortest interval of --watch; it limits the load on the stewards.
const minWatchInterval = 200 * time.Millisecond

// showFlags returns the flags of commands that show the state of all stewards or processes.
func showFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "of", Aliases: []string{"at"}, Sources: cli.EnvVars(stewardVariable),
			Usage: "ask all members that the process at `ADDRESS`, ip:port, knows; by default a seed of the settings file"},
		&cli.BoolFlag{Name: "json", Usage: "print JSON"},
		&cli.DurationFlag{Name: "watch", Usage: "repeat the output every `DURATION`, until Ctrl-C"},
		&cli.DurationFlag{Name: "timeout", Usage: "how long to wait for the answer of a process", Value: 3 * time.Second},
	}
}

// showRepeatedly checks the flags of showFlags and calls show once, or repeatedly with the pause of --watch. It passes to show the address of
// the process to ask for the members (contact) and --timeout. If a flag is invalid, the error names it.
func showRepeatedly(ctx context.Context, command *cli.Command, show func(command *cli.Command, contact string, timeout time.Duration) error) error {
	contact, watch, timeout := command.String("of"), command.Duration("watch"), command.Duration("timeout")
	if seeds := seedsOf(command); contact == "" && len(seeds) > 0 {
		contact = seeds[0]
	}
	switch {
	case command.Args().Len() > 0:
		return cli.Exit(command.Name+" takes no arguments", exitUsage)
	case !isAddress(contact):
		return cli.Exit(fmt.Sprintf("--of %q is not ip:port", contact), exitUsage)
	case timeout <= 0:
		return cli.Exit("--timeout must be above 0", exitUsage)
	case command.IsSet("watch") && watch < minWatchInterval:
		return cli.Exit(fmt.Sprintf("--watch must be at least %s", minWatchInterval), exitUsage)
	}
	return repeat(ctx, watch, func() error { return show(command, contact, timeout) })
}

// repeat calls show once if pause is 0; otherwise it calls show with that pause in between until ctx is done or show fails.
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

// askStewards makes a call to all stewards that the process at contact knows, and passes each answer to handle. noAnswer is nil if all
// stewards answered. Otherwise it is an exit error that names those that didn't. err is set if the process at contact doesn't answer.
func askStewards[Call, Answer any](contact, procedure string, timeout time.Duration, call *Call, handle func(*Answer)) (noAnswer, err error) {
	members, err := membersOf(contact, timeout)
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
		return peerapi.Call[Call, Answer](context.Background(), caller, steward.address, procedure, timeout, call)
	})
	return handleAnswers(stewards, outcomes, func(_ process, answer *Answer) { handle(answer) }), nil
}

// outcome is the answer of one process, or the error if it gave none.
type outcome[Answer any] struct {
	answer Answer
	err    error
}

// askAll asks all targets concurrently, and returns the outcomes in the order of the targets.
func askAll[Target, Answer any](targets []Target, ask func(Target) (Answer, error)) []outcome[Answer] {
	pending := make([]chan outcome[Answer], len(targets))
	for index, target := range targets {
		pending[index] = make(chan outcome[Answer], 1)
		go func() {
			answer, err := ask(target)
			pending[index] <- outcome[Answer]{answer, err}
		}()
	}
	outcomes := make([]outcome[Answer], len(targets))
	for index := range pending {
		outcomes[index] = <-pending[index]
	}
	return outcomes
}

// handleAnswers calls handle for each process that answered. It returns nil if all did; otherwise it returns an exit error that names the
// processes that didn't. outcomes are in the order of the processes.
func handleAnswers[Answer any](processes []process, outcomes []outcome[Answer], handle func(process, Answer)) error {
	var failures []string
	for index, from := range processes {
		if err := outcomes[index].err; err != nil {
			failures = append(failures, errors.Annotate(err, from.address).Error())
			continue
		}
		handle(from, outcomes[index].answer)
	}
	if len(failures) > 0 {
		return cli.Exit("no answer: "+strings.Join(failures, "; "), exitNoAnswer)
	}
	return nil
}
