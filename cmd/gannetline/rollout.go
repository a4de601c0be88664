package main

import "github.com/urfave/cli/v3"

// rolloutExitCodes is the end of the help texts of the rollout commands that change the configuration.
const rolloutExitCodes = "Exit codes: 0 the change is committed, 1 refused, 2 bad usage, 4 outcome unknown: the change may or may not be committed."

func rolloutCommand() *cli.Command {
	return &cli.Command{
		Name: "rollout", Usage: "roll out a new version of a service to a growing share of a route's jobs, as long as it stays within bounds",
		Commands: []*cli.Command{rolloutStartCommand(), rolloutStatusCommand(),
			rolloutStateCommand("pause", "keep the current share; the new version is still judged", pauseRollout),
			rolloutStateCommand("resume", "let a paused rollout widen again", resumeRollout),
			rolloutStateCommand("abort", "roll the new version back", abortRollout)},
	}
}
