package main

import "github.com/urfave/cli/v3"

// rolloutExitCodes ends the descriptions of the commands that change something.
const rolloutExitCodes = "Exit codes: 0 the configuration has it, 1 refused, 2 bad usage, 4 no clear answer: it may be kept or not."

func rolloutCommand() *cli.Command {
	return &cli.Command{
		Name: "rollout", Usage: "bring a new version of a service to more and more of a route's jobs, while it behaves",
		Commands: []*cli.Command{rolloutStartCommand(), rolloutStatusCommand(),
			rolloutStateCommand("pause", "keep the share as it is; the new version is judged all the same", pauseRollout),
			rolloutStateCommand("resume", "let a paused rollout widen again", resumeRollout),
			rolloutStateCommand("abort", "turn the new version back", abortRollout)},
	}
}
