// Package soak runs gannetline as real processes on loopback addresses and injects faults by a schedule, while clients and an
// operator use it over persistent connections. A seed and the options determine the schedule. When the processes have shut
// down, oracles check what clients, operator and executors observed. The bench simulates time and the models never open a
// socket, so only a soak finds faults of sockets, signals and disks.
//
// A Schedule lists the faults and their times (schedule.go). The cluster owns the processes and applies the faults
// (cluster.go). Relays between clients and gates cut or stall connections (relay.go). The recorder collects all observations in
// a History (history.go), and Judge checks it (oracles.go).
package soak

import (
	"context"
	"os"
	"path/filepath"
	"time"

	"github.com/juju/errors"

	"gannetline/internal/platform/logging"
)

const (
	// startTimeout limits the time from the start of the processes until each gate has accepted a job.
	startTimeout = 60 * time.Second
	// settleTimeout limits the wait for accepted jobs and lots to end after the clients have stopped.
	settleTimeout = 60 * time.Second
	// faultFreeEnd is the time at the end of Options.Length in which no drawn fault begins.
	faultFreeEnd = 8 * time.Second
)

// Run runs one soak and checks it. An error means that the soak could not be run; violations are in the summary.
func Run(ctx context.Context, options Options, log logging.Logger) (*Summary, error) {
	layout := options.Layout()
	layout.HasVersions = options.Rollouts
	schedule := options.Schedule
	if schedule == nil {
		schedule = Draw(options, layout)
	}
	history, err := runSchedule(ctx, options, layout, schedule, log)
	if err != nil {
		return nil, err
	}
	options.InjectedFault.injectInto(history)
	return newSummary(options, schedule, history, Judge(history)), nil
}

// runSchedule runs a schedule on a layout in its own folder and returns the observations.
func runSchedule(ctx context.Context, options Options, layout *Layout, schedule *Schedule, log logging.Logger) (*History, error) {
	folder, removeFolder, err := makeFolder(options.Keep)
	if err != nil {
		return nil, err
	}
	defer removeFolder()
	return (&soak{options: options, layout: layout, schedule: schedule, folder: folder, log: log}).execute(ctx)
}

// makeFolder creates the folder for settings, logs and data. If keep is empty, the folder is temporary and remove deletes it.
func makeFolder(keep string) (folder string, remove func(), err error) {
	if keep == "" {
		folder, err = os.MkdirTemp("", "soak-")
		return folder, func() { os.RemoveAll(folder) }, errors.Annotate(err, "creating a temporary folder")
	}
	folder, err = filepath.Abs(keep)
	if err == nil {
		err = os.MkdirAll(folder, 0o755)
	}
	return folder, func() {}, errors.Annotate(err, "option --keep")
}

// soak is the state of one running soak.
type soak struct {
	options  Options
	layout   *Layout
	schedule *Schedule
	folder   string
	log      logging.Logger
	recorder *recorder
	cluster  *cluster
	relays   map[string]*relay
}

// execute starts the processes, runs the schedule and the clients, waits for the accepted jobs and shuts everything down.
func (s *soak) execute(ctx context.Context) (*History, error) {
	// The goroutines that own processes and history run until all processes have ended, even if ctx is cancelled earlier.
	ownersCtx, stopOwners := context.WithCancel(context.WithoutCancel(ctx))
	defer stopOwners()
	s.recorder = newRecorder(ownersCtx)
	s.cluster = newCluster(ownersCtx, s)
	defer s.cluster.killAll()
	s.recorder.write(func(h *History) {
		h.Mix, h.Zones, h.Stewards = s.options.Mix, s.layout.zones(), s.layout.stewardNames()
	})
	if err := s.startTier(ownersCtx); err != nil {
		return nil, err
	}
	if err := s.start(ctx); err != nil {
		return nil, err
	}
	s.log.Info("soak started", "seed", s.schedule.Seed, "processes", s.options.Processes, "faults", len(s.schedule.Events))
	clientsCtx, endClients := context.WithTimeout(ctx, s.schedule.length())
	before := s.readCounters()
	clients := s.startClients(clientsCtx)
	s.cluster.scheduleEvents(s.schedule)
	s.reportProgress(clientsCtx)
	loads := loadsBetween(before, s.readCounters())
	s.recorder.write(func(h *History) { h.Loads = loads })
	endClients()
	clients.Wait()
	if ctx.Err() != nil {
		return nil, errors.Annotate(ctx.Err(), "soak stopped before its end")
	}
	s.log.Info("faults have ended, waiting for accepted jobs")
	s.settle(ctx)
	if err := s.readRecords(ctx); err != nil {
		return nil, err
	}
	s.cluster.shutDown()
	return s.recorder.history(), nil
}

// reportProgress logs the progress of the soak at a fixed interval until ctx is done.
func (s *soak) reportProgress(ctx context.Context) {
	const every = 10 * time.Second
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			counts := s.recorder.counts()
			s.log.Info("soak goes on", "calls", counts.calls, "accepted", counts.accepted, "troubles", counts.troubles)
		}
	}
}
