package scalerun

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"go.uber.org/multierr"
)

const (
	// checkEvery lies between two looks at whether something awaited has come about.
	checkEvery      = time.Second
	bytesPerMB      = 1 << 20
	idleConnections = 64
)

// run is one size being played.
type run struct {
	ctx      context.Context
	setup    *Setup
	workers  int
	layout   *layout
	client   *http.Client
	children atomic.Pointer[[]*child]
	// version is that of the configuration in force.
	version  int
	progress io.Writer
	began    time.Time
}

// Size is all that was measured at one number of workers.
type Size struct {
	Workers     int       `json:"workers"`
	JoinSeconds float64   `json:"join-seconds"`
	Windows     []Window  `json:"windows"`
	Verdict     Verdict   `json:"verdict"`
	PlanMs      []float64 `json:"plan-in-force-ms"`
	PeakMB      float64   `json:"peak-mb-in-all"`
	Failed      string    `json:"failed,omitempty"`
}

// Play runs one size and always stops what it started; what failed is in the size. Memory is that of the machine, in
// bytes: a run that takes more than half of it is ended.
func Play(ctx context.Context, setup *Setup, workers int, progress io.Writer, memory uint64) Size {
	size := Size{Workers: workers}
	folder, err := os.MkdirTemp("", "gannetline-scale-")
	if err != nil {
		size.Failed = err.Error()
		return size
	}
	defer os.RemoveAll(folder)
	ctx, end := context.WithCancel(ctx)
	defer end()
	r := &run{ctx: ctx, setup: setup, workers: workers, progress: progress, began: time.Now(),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConnections}}}
	defer r.client.CloseIdleConnections()
	r.children.Store(&[]*child{})
	defer r.stopAll()
	if err := r.claimAddresses(); err != nil {
		size.Failed = err.Error()
		return size
	}
	if err := r.playIn(folder, &size, memory/2, end); err != nil {
		size.Failed = multierr.Append(err, r.keepLogs()).Error()
	}
	return size
}

// playIn starts all processes with their files in a folder and plays the phases; end ends the run's life. The limit of
// memory is in bytes.
func (r *run) playIn(folder string, size *Size, memoryLimit uint64, end func()) error {
	var err error
	if r.layout, err = layOut(r.setup, r.workers, folder); err != nil {
		return err
	}
	if err = r.startAll(); err != nil {
		return err
	}
	peaks := make(chan int, 1)
	go func() { peaks <- r.watchMemory(memoryLimit, end) }()
	err = r.playPhases(size)
	end()
	maximum := <-peaks
	size.PeakMB = float64(maximum) / bytesPerMB
	if uint64(maximum) > memoryLimit {
		return errors.Errorf("all processes took %d MB, over half of the machine's memory", maximum>>20)
	}
	return err
}

// claimAddresses makes sure that no other run uses these addresses.
func (r *run) claimAddresses() error {
	block, err := blockOf(r.setup.Addresses)
	if err != nil {
		return err
	}
	first := net.JoinHostPort(block.Addr().Next().String(), strconv.Itoa(controlPort))
	listener, err := net.Listen("tcp4", first)
	if err != nil {
		return errors.Annotatef(err, "something else uses %s; choose another --addresses", r.setup.Addresses)
	}
	return listener.Close()
}

func (r *run) all() []*child { return *r.children.Load() }

func (r *run) add(started *child) {
	all := append(slices.Clone(r.all()), started)
	r.children.Store(&all)
}

// printf writes a line of progress, with the size and the time passed.
func (r *run) printf(format string, values ...any) {
	fmt.Fprintf(r.progress, "%5d workers %6.1f s  %s\n", r.workers, time.Since(r.began).Seconds(), fmt.Sprintf(format, values...))
}

// watchMemory gives the most that all children held, in bytes; over the limit, it ends the run.
func (r *run) watchMemory(limit uint64, end func()) int {
	maximum := 0
	for r.pause(checkEvery) {
		maximum = max(maximum, r.resident())
		if uint64(maximum) > limit {
			end()
		}
	}
	return maximum
}
