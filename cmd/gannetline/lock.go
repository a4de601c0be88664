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

// Environment variables that a command gets while it runs under a lock.
const (
	fenceVariable = "GANNETLINE_FENCE"
	lockVariable  = "GANNETLINE_LOCK"
)

func lockCommand() *cli.Command {
	return &cli.Command{
		Name: "lock", Usage: "run a command while holding a lock", ArgsUsage: "NAME -- COMMAND [ARGUMENT...]",
		Description: "Waits for the lock, runs the command, renews the lock meanwhile, and releases it when the command has ended. " + lockEnvironment +
			"If the lock is lost, the command gets SIGTERM, and is killed after --grace.\n" +
			"Exit codes: that of the command, 2 bad usage, 5 the lock was lost, 6 it was not free within --wait, 7 the stewards keep no locks.",
		Flags: append(callFlags(),
			&cli.DurationFlag{Name: "hold", Usage: "the minimum time that others wait if this process dies", Value: 10 * time.Second},
			&cli.DurationFlag{Name: "wait", Usage: "how long to wait for the lock; 0 waits for ever"},
			&cli.DurationFlag{Name: "grace", Usage: "how long the command may take to end once the lock is lost", Value: 5 * time.Second}),
		Action: func(ctx context.Context, command *cli.Command) error {
			locked, err := newLockedCommand(command)
			if err != nil {
				return err
			}
			return locked.runOnce(ctx, command.Duration("wait"))
		},
	}
}

func electCommand() *cli.Command {
	return &cli.Command{
		Name: "elect", Usage: "run a command while holding the leadership of a name", ArgsUsage: "NAME -- COMMAND [ARGUMENT...]",
		Description: "Like lock, but waits for leadership again whenever it is lost, until the command ends by itself. " + lockEnvironment +
			"Exit codes: that of the command, 2 bad usage, 7 the stewards keep no locks.",
		Flags: append(callFlags(),
			&cli.DurationFlag{Name: "hold", Usage: "the minimum time until a leader that dies is replaced", Value: 10 * time.Second},
			&cli.DurationFlag{Name: "grace", Usage: "how long the command may take to end once leadership is lost", Value: 5 * time.Second}),
		Action: func(ctx context.Context, command *cli.Command) error {
			locked, err := newLockedCommand(command)
			if err != nil {
				return err
			}
			for {
				err := locked.runOnce(ctx, 0)
				var coded cli.ExitCoder
				if !errors.As(err, &coded) || coded.ExitCode() != exitLockLost {
					return err
				}
				fmt.Fprintln(os.Stderr, "gannetline: leadership is lost, waiting for it again")
			}
		},
	}
}

// lockEnvironment is the part of the help texts of lock and elect about the environment variables.
const lockEnvironment = "The command finds the lock's name in " + lockVariable + " and the fencing token in " + fenceVariable +
	"; resources that it changes should refuse a lower token than they have seen. "

// lockedCommand is a command to run while a lock is held. name is the name of the lock, and arguments are those of the command, beginning with
// the program. hold is the duration of the lock without renewal. grace is the time from SIGTERM to SIGKILL once the lock is lost.
type lockedCommand struct {
	client      *client.Client
	name        string
	arguments   []string
	hold, grace time.Duration
}

// newLockedCommand reads the arguments and flags of lock and elect.
func newLockedCommand(command *cli.Command) (*lockedCommand, error) {
	arguments := command.Args().Slice()
	if len(arguments) < 2 {
		return nil, cli.Exit(command.Name+" takes the name of a lock, --, and a command", exitUsage)
	}
	locked := &lockedCommand{name: arguments[0], arguments: arguments[1:], hold: command.Duration("hold"), grace: command.Duration("grace")}
	if locked.hold < time.Millisecond || locked.grace < 0 || command.Duration("wait") < 0 {
		return nil, cli.Exit("--hold must be 1ms at least, --grace and --wait must not be negative", exitUsage)
	}
	var err error
	locked.client, err = newClient(command)
	return locked, err
}

// runOnce waits for the lock, runs the command and releases the lock. The error has the exit code of gannetline: exitLockLost if the lock was
// lost, and otherwise that of exitError.
func (c *lockedCommand) runOnce(ctx context.Context, wait time.Duration) error {
	lock, err := c.acquire(ctx, wait)
	if err != nil {
		return err
	}
	err = c.runUnder(lock)
	isLost := errors.Is(context.Cause(lock.Context()), client.ErrLost)
	releaseCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	if releaseErr := lock.Release(releaseCtx); releaseErr != nil && !isLost {
		fmt.Fprintln(os.Stderr, "gannetline: the lock could not be given back, others wait until its time is over:", releaseErr)
	}
	if isLost {
		return cli.Exit("the lock "+c.name+" was lost", exitLockLost)
	}
	return exitError(err)
}

// releaseTimeout bounds the release of a lock.
const releaseTimeout = 5 * time.Second

// acquire waits for the lock, without a limit if wait is 0. If the lock isn't acquired in time, the error has the exit code exitNotFree.
func (c *lockedCommand) acquire(ctx context.Context, wait time.Duration) (*client.Lock, error) {
	var lock *client.Lock
	var err error
	if wait > 0 {
		lock, err = c.client.AcquireWithin(ctx, c.name, c.hold, wait)
	} else {
		lock, err = c.client.Acquire(ctx, c.name, c.hold)
	}
	switch {
	case errors.Is(err, client.ErrHeld), errors.Is(err, client.ErrNoAnswer):
		return nil, cli.Exit("the lock "+c.name+" was not free in time: "+err.Error(), exitNotFree)
	case err != nil:
		return nil, err
	}
	return lock, nil
}

// runUnder runs the command until it ends. If the lock is lost, the command gets SIGTERM, and SIGKILL after the grace time.
func (c *lockedCommand) runUnder(lock *client.Lock) error {
	running := exec.Command(c.arguments[0], c.arguments[1:]...)
	running.Stdin, running.Stdout, running.Stderr = os.Stdin, os.Stdout, os.Stderr
	running.Env = append(os.Environ(), lockVariable+"="+c.name, fenceVariable+"="+strconv.FormatUint(lock.Fence(), 10))
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
	case <-clock.System().After(c.grace):
	}
	_ = running.Process.Kill()
	return <-ended
}

// exitError turns the error of a command into one with the command's exit code, or exitFailed if a signal killed it. Other
// errors are returned unchanged.
func exitError(err error) error {
	var exited *exec.ExitError
	if errors.As(err, &exited) {
		return cli.Exit("", max(exited.ExitCode(), exitFailed))
	}
	return err
}
