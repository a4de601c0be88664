package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"gannetline/client"
	"gannetline/internal/platform/clock"
)

// The environment variables of a command that runs under a lock.
const (
	fenceVariable = "GANNETLINE_FENCE"
	lockVariable  = "GANNETLINE_LOCK"
)

func lockCommand() *cli.Command {
	return &cli.Command{
		Name: "lock", Usage: "run a command while holding a lock", ArgsUsage: "NAME -- COMMAND [ARGUMENT...]",
		Description: "Waits for the lock, runs the command, renews the lock meanwhile, and gives it back when the command has ended. " + lockEnvironment +
			"If the lock is lost, the command is told to end (SIGTERM), and after --grace killed.\n" +
			"Exit codes: that of the command, 2 bad usage, 5 the lock was lost, 6 it was not free within --wait, 7 the stewards keep no locks.",
		Flags: append(callFlags(),
			&cli.DurationFlag{Name: "hold", Usage: "how long others wait at least if this process dies", Value: 10 * time.Second},
			&cli.DurationFlag{Name: "wait", Usage: "how long to wait for the lock; 0 is without end"},
			&cli.DurationFlag{Name: "grace", Usage: "how long the command may take to end once the lock is lost", Value: 5 * time.Second}),
		Action: func(ctx context.Context, command *cli.Command) error {
			holding, err := newHolding(command)
			if err != nil {
				return err
			}
			return holding.runOnce(ctx, command.Duration("wait"))
		},
	}
}

func electCommand() *cli.Command {
	return &cli.Command{
		Name: "elect", Usage: "run a command while being the leader among all that do so", ArgsUsage: "NAME -- COMMAND [ARGUMENT...]",
		Description: "Like lock, but waits again where leadership is lost, until the command ends by itself. " + lockEnvironment +
			"Exit codes: that of the command, 2 bad usage, 7 the stewards keep no locks.",
		Flags: append(callFlags(),
			&cli.DurationFlag{Name: "hold", Usage: "how long a leader that dies is not replaced", Value: 10 * time.Second},
			&cli.DurationFlag{Name: "grace", Usage: "how long the command may take to end once leadership is lost", Value: 5 * time.Second}),
		Action: func(ctx context.Context, command *cli.Command) error {
			holding, err := newHolding(command)
			if err != nil {
				return err
			}
			for {
				err := holding.runOnce(ctx, 0)
				var coded cli.ExitCoder
				if !errors.As(err, &coded) || coded.ExitCode() != exitLost {
					return err
				}
				fmt.Fprintln(os.Stderr, "gannetline: leadership is lost, waiting for it again")
			}
		},
	}
}

const lockEnvironment = "The command finds the lock's name in " + lockVariable + " and the fencing token in " + fenceVariable +
	"; what it changes should refuse a lower token than it has seen. "

// holding is a command that is to run while a lock is held.
type holding struct {
	client      *client.Client
	name        string
	arguments   []string
	hold, grace time.Duration
}

func newHolding(command *cli.Command) (*holding, error) {
	arguments := command.Args().Slice()
	if len(arguments) < 2 {
		return nil, cli.Exit(command.Name+" takes the name of a lock, --, and a command", exitUsage)
	}
	holding := &holding{name: arguments[0], arguments: arguments[1:], hold: command.Duration("hold"), grace: command.Duration("grace")}
	if holding.hold < time.Millisecond || holding.grace < 0 || command.Duration("wait") < 0 {
		return nil, cli.Exit("--hold must be 1ms at least, --grace and --wait must not be negative", exitUsage)
	}
	var err error
	holding.client, err = newClient(command)
	return holding, err
}

// runOnce waits for the lock, runs the command and gives the lock back; the error carries the exit code.
func (h *holding) runOnce(ctx context.Context, wait time.Duration) error {
	lock, err := h.acquire(ctx, wait)
	if err != nil {
		return err
	}
	err = h.runUnder(lock)
	isLost := errors.Is(context.Cause(lock.Context()), client.ErrLost)
	releasing, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	if failed := lock.Release(releasing); failed != nil && !isLost {
		fmt.Fprintln(os.Stderr, "gannetline: the lock could not be given back, others wait until its time is over:", failed)
	}
	if isLost {
		return cli.Exit("the lock "+h.name+" was lost", exitLost)
	}
	return exitOf(err)
}

// releaseTimeout is how long giving the lock back may take.
const releaseTimeout = 5 * time.Second

func (h *holding) acquire(ctx context.Context, wait time.Duration) (*client.Lock, error) {
	var lock *client.Lock
	var err error
	if wait > 0 {
		lock, err = h.client.AcquireWithin(ctx, h.name, h.hold, wait)
	} else {
		lock, err = h.client.Acquire(ctx, h.name, h.hold)
	}
	switch {
	case errors.Is(err, client.ErrHeld), errors.Is(err, client.ErrNoAnswer):
		return nil, cli.Exit("the lock "+h.name+" was not free in time: "+err.Error(), exitNotFree)
	case err != nil:
		return nil, err
	}
	return lock, nil
}

// runUnder runs the command until it ends, or until some time after the lock is lost.
func (h *holding) runUnder(lock *client.Lock) error {
	running := exec.Command(h.arguments[0], h.arguments[1:]...)
	running.Stdin, running.Stdout, running.Stderr = os.Stdin, os.Stdout, os.Stderr
	running.Env = append(os.Environ(), lockVariable+"="+h.name, fenceVariable+"="+strconv.FormatUint(lock.Fence(), 10))
	if err := running.Start(); err != nil {
		return cli.Exit("the command can't be started: "+err.Error(), exitFailed)
	}
	ended := make(chan error, 1)
	go func() { ended <- running.Wait() }()
	select {
	case err := <-ended:
		return err
	case <-lock.Context().Done():
	}
	_ = running.Process.Signal(syscall.SIGTERM)
	select {
	case err := <-ended:
		return err
	case <-clock.System().After(h.grace):
	}
	_ = running.Process.Kill()
	return <-ended
}

// exitOf passes the exit code of a command on.
func exitOf(err error) error {
	var exited *exec.ExitError
	if errors.As(err, &exited) {
		return cli.Exit("", max(exited.ExitCode(), exitFailed))
	}
	return err
}
