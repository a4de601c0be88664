package main

import (
	"context"
	"io"
	"net/http"
	"os"
	"runtime/pprof"
	"strconv"
	"time"

	"github.com/urfave/cli/v3"

	"gannetline/internal/platform/logging"
	"gannetline/internal/platform/supervise"
	"gannetline/internal/platform/transportmetrics"
	"gannetline/internal/roles"
	"gannetline/internal/simulation/hollow"
)

// longestProfile is in seconds.
const longestProfile = 60

// hollowCommand runs stand-in executors, with local proxies before them unless their spec says otherwise.
func hollowCommand() *cli.Command {
	return &cli.Command{
		Name: "hollow", Usage: "run many hollow workers in one process, on loopback addresses",
		Description: "Ends with its time, at SIGTERM, or when its standard input is closed. Exit codes: 0 over, 1 failed, 2 bad input.",
		Flags:       []cli.Flag{&cli.StringFlag{Name: "spec", Usage: "the workers, a JSON `FILE` as scale-run writes it", Required: true}},
		Action: func(_ context.Context, command *cli.Command) error {
			spec, settings, err := hollow.LoadSpec(command.String("spec"))
			if err != nil {
				return cli.Exit(err.Error(), exitUsage)
			}
			ctx, forget := supervise.UntilSignal()
			defer forget()
			go endWithInput()
			return hollow.Run(ctx, spec, settings, logging.New(os.Stderr, settings[0].LogLevel))
		},
	}
}

// measuredCommand runs a role as a scale run wants it: counted, with a page for its profile, and ended with its starter.
func measuredCommand() *cli.Command {
	run := map[string]func(path string, options ...roles.Option) error{
		"gate": roles.Gate, "steward": roles.Steward, "local-proxy": roles.LocalProxy}
	return &cli.Command{
		Name: "measured", Usage: "run a role within a scale run", ArgsUsage: "ROLE", Hidden: true,
		Action: func(_ context.Context, command *cli.Command) error {
			role := run[command.Args().First()]
			if role == nil {
				return cli.Exit("there is no role "+command.Args().First(), exitUsage)
			}
			go endWithInput()
			meter := &transportmetrics.Meter{}
			return role(command.String("settings"), roles.WithMeter(meter),
				roles.WithPage(hollow.PathFigures, http.HandlerFunc(func(to http.ResponseWriter, _ *http.Request) {
					hollow.WriteJSON(to, meter.Figures())
				})), roles.WithPage(hollow.PathProfile, http.HandlerFunc(profile)))
		},
	}
}

// endWithInput ends the process once its standard input is closed, so that it does not outlive its starter.
func endWithInput() {
	io.Copy(io.Discard, os.Stdin)
	os.Exit(0)
}

// profile answers with the processor profile of the next seconds.
func profile(to http.ResponseWriter, request *http.Request) {
	seconds, err := strconv.Atoi(request.URL.Query().Get("seconds"))
	if err != nil || seconds < 1 || seconds > longestProfile {
		http.Error(to, "field seconds must be 1 to "+strconv.Itoa(longestProfile), http.StatusBadRequest)
		return
	}
	if err := pprof.StartCPUProfile(to); err != nil {
		http.Error(to, err.Error(), http.StatusConflict)
		return
	}
	time.Sleep(time.Duration(seconds) * time.Second)
	pprof.StopCPUProfile()
}
