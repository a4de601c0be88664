// Package scalerun starts the system on loopback addresses at several sizes, with many hollow workers beside real
// processes, gives it a bounded load, and works out what each role costs.
package scalerun

import (
	"net/netip"
	"time"

	"github.com/juju/errors"
	"go.uber.org/multierr"
)

const (
	maxWorkers     = 2000
	maxStewards    = 7
	maxLosses      = 2
	maxGates       = 16
	maxProcesses   = 100
	maxRate        = 2000
	longestPhase   = 5 * time.Minute
	perHost        = 100
	realProxies    = 3
	memoryPerChild = 80 << 20
	memoryPerNode  = 5 << 20
	tasksPerJob    = 10
	standingPerJob = 60
)

// Setup is what is asked for on the command line; StartsPerWorker is task starts a second for each worker.
type Setup struct {
	Program         string
	Sizes           []int
	Stewards        int
	Gates           int
	LoadTime        time.Duration
	Idle            time.Duration
	StartsPerWorker float64
	TaskLength      time.Duration
	Standing        int
	Addresses       string
	Folder          string
	Note            string
	KillsOwner      bool
	IsProfiled      bool
}

// Check names each field that can't be run.
func (s *Setup) Check() error {
	var problems error
	complain := func(field, why string) {
		problems = multierr.Append(problems, errors.Errorf("option --%s %s", field, why))
	}
	if len(s.Sizes) == 0 {
		complain("sizes", "is empty")
	}
	for _, size := range s.Sizes {
		if size < 1 || size > maxWorkers {
			complain("sizes", "must be 1 to 2000 workers each")
		}
		if float64(size)*s.StartsPerWorker > maxRate {
			complain("starts-per-worker", "makes more than 2000 task starts a second")
		}
	}
	if s.Stewards < 1 || s.Stewards > maxStewards {
		complain("stewards", "must be 1 to 7")
	}
	if s.Gates < 1 || s.Gates > maxGates {
		complain("gates", "must be 1 to 16")
	}
	if s.LoadTime < time.Second || s.LoadTime > longestPhase {
		complain("seconds", "must be 1 s to 5 min")
	}
	if s.Idle < time.Second || s.Idle > longestPhase {
		complain("idle", "must be 1 s to 5 min")
	}
	if s.StartsPerWorker <= 0 {
		complain("starts-per-worker", "must be above 0")
	}
	if s.TaskLength < 10*time.Millisecond || s.TaskLength > time.Minute {
		complain("task-length", "must be 10 ms to 1 min")
	}
	if s.Standing < 0 || s.Standing > 50 {
		complain("standing", "must be 0 to 50")
	}
	if _, err := blockOf(s.Addresses); err != nil {
		complain("addresses", err.Error())
	}
	return problems
}

// blockOf reads a /16 of the loopback network.
func blockOf(text string) (netip.Prefix, error) {
	block, err := netip.ParsePrefix(text)
	if err != nil {
		return block, errors.New("is no network like 127.10.0.0/16")
	}
	if !block.Addr().Is4() || !block.Addr().IsLoopback() || block.Bits() != 16 {
		return block, errors.New("must be a /16 inside 127.0.0.0/8, for the run stays on the loopback")
	}
	return block.Masked(), nil
}

func hostCount(workers int) int { return (workers + perHost - 1) / perHost }

// CheckMemory refuses a size that may take more than half of the machine's memory, given in bytes.
func (s *Setup) CheckMemory(workers int, total uint64) error {
	processes := s.Stewards + s.Gates + realProxies + hostCount(workers)
	if processes > maxProcesses {
		return errors.Errorf("%d workers need %d processes, and %d are the most", workers, processes, maxProcesses)
	}
	needed := uint64(processes)*memoryPerChild + uint64(workers)*memoryPerNode
	if needed > total/2 {
		return errors.Errorf("%d workers may need %d MB, and half of the machine's memory is %d MB", workers, needed>>20, total>>21)
	}
	return nil
}
