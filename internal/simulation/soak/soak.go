// Package soak plays gannetline as real processes on loopback addresses, under a schedule of faults that is a pure function of a
// seed, while clients and an operator use it over kept connections. Afterwards oracles judge what clients, operator and executors
// saw. The bench's time is simulated and the models never open a socket; a soak is what shows faults of sockets, signals and disks.
//
// The parts: a Schedule says what happens when (schedule.go); a cluster obeys it and owns the processes (cluster.go); relays stand
// between clients and gates and cut or stall connections (relay.go); all that is seen goes into a History (history.go), which
// Judge reads (oracles.go).
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
	// startLimit is how long all processes may take until the first job is accepted.
	startLimit = 60 * time.Second
	// settleLimit is how long accepted jobs may take to be over once the faults and the clients have ended.
	settleLimit = 60 * time.Second
	// calmAtEnd is how long before its end a soak has no new fault.
	calmAtEnd = 8 * time.Second
)

// Run plays one soak and judges it. An error says why it could not be played; what the oracles found is in the report.
func Run(ctx context.Context, options Options, log logging.Logger) (*Summary, error) {
	layout := options.Layout()
	layout.HasVersions = options.Rollouts
	schedule := options.Schedule
	if schedule == nil {
		schedule = Draw(options, layout)
	}
	history, err := playOnce(ctx, options, layout, schedule, log)
	if err != nil {
		return nil, err
	}
	options.InjectedFault.disturb(history)
	return newSummary(options, schedule, history, Judge(history)), nil
}

// playOnce plays a schedule on a layout in a folder of its own, and gives what was seen.
func playOnce(ctx context.Context, options Options, layout *Layout, schedule *Schedule, log logging.Logger) (*History, error) {
	folder, removeFolder, err := makeFolder(options.Keep)
	if err != nil {
		return nil, err
	}
	defer removeFolder()
	return (&soak{options: options, layout: layout, schedule: schedule, folder: folder, log: log}).play(ctx)
}

// makeFolder makes the folder of a soak: the one to keep, or a temporary one that is removed.
func makeFolder(keep string) (folder string, remove func(), err error) {
	if keep == "" {
		folder, err = os.MkdirTemp("", "soak-")
		return folder, func() { os.RemoveAll(folder) }, errors.Annotate(err, "making a folder")
	}
	folder, err = filepath.Abs(keep)
	if err == nil {
		err = os.MkdirAll(folder, 0o755)
	}
	return folder, func() {}, errors.Annotate(err, "option --keep")
}

// soak is one play under way.
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

// play starts everything, lets the schedule run, and ends everything.
func (s *soak) play(ctx context.Context) (*History, error) {
	// The owners of processes and history go on until all processes have ended, also where the soak is stopped.
	partsCtx, endParts := context.WithCancel(context.WithoutCancel(ctx))
	defer endParts()
	s.recorder = newRecorder(partsCtx)
	s.cluster = newCluster(partsCtx, s)
	defer s.cluster.killAll()
	s.recorder.write(func(h *History) {
		h.Mix, h.Zones, h.Stewards = s.options.Mix, s.layout.zones(), s.layout.stewardNames()
	})
	if err := s.startTier(partsCtx); err != nil {
		return nil, err
	}
	if err := s.start(ctx); err != nil {
		return nil, err
	}
	s.log.Info("soak started", "seed", s.schedule.Seed, "processes", s.options.Processes, "faults", len(s.schedule.Events))
	clientsCtx, endClients := context.WithTimeout(ctx, s.schedule.length())
	before := s.readCounters()
	clients := s.startClients(clientsCtx)
	s.cluster.obey(s.schedule)
	s.reportProgress(clientsCtx)
	loads := loadsBetween(before, s.readCounters())
	s.recorder.write(func(h *History) { h.Loads = loads })
	endClients()
	clients.Wait()
	if ctx.Err() != nil {
		return nil, errors.Annotate(ctx.Err(), "stopped before its end")
	}
	s.log.Info("faults are over, waiting for the accepted jobs")
	s.settle(ctx)
	s.readRecords(ctx)
	s.cluster.shutDown()
	return s.recorder.history(), nil
}

// reportProgress logs now and then how far the soak is, until its clients end.
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
