package soak

import (
	"context"
	"encoding/json"
	"io/fs"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/juju/errors"

	"gannetline/internal/platform/metrics"
	"gannetline/internal/simulation/hollow"
)

const (
	// firstInternalClient is the number of the first internal client. The soak itself uses these clients, before the others start
	// and after they have ended.
	firstInternalClient = 1 << 20
	retryPause          = 200 * time.Millisecond
	sampleInterval      = 2 * time.Second
	sampleTimeout       = 500 * time.Millisecond
	reportTimeout       = 10 * time.Second
)

// start starts all processes and relays, proposes the first configuration and waits until each gate has accepted a job.
func (s *soak) start(ctx context.Context) error {
	s.relays = map[string]*relay{}
	for number, gate := range s.layout.Gates {
		r, err := newRelay(s.recorder.ctx, s.layout.relayAddress(number), endpoint(gate.IP, frontPort), s.options.InjectedFault, s.recorder.refusalRecorder(gate.Name))
		if err != nil {
			return err
		}
		s.relays[gate.Name] = r
	}
	if err := s.cluster.startAll(); err != nil {
		return err
	}
	timeoutCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	operator := newOperator(s)
	if err := retryUntil(timeoutCtx, "no steward accepted the first configuration", func() bool { return operator.proposeVersion(timeoutCtx, firstVersion) }); err != nil {
		return err
	}
	for number := range s.layout.Gates {
		c := s.newInternalClient(number)
		err := retryUntil(timeoutCtx, "no job was accepted by "+c.gate.Name, func() bool {
			id := newJob(c.random)
			return c.call(timeoutCtx, verbSubmit, id, shapeOf(id).body()).isAccepted()
		})
		c.disconnect()
		if err != nil {
			return err
		}
	}
	return nil
}

// newInternalClient returns a client of a gate that the soak itself uses.
func (s *soak) newInternalClient(gateNumber int) *client {
	number := firstInternalClient + gateNumber
	return &client{soak: s, number: number, gate: s.layout.Gates[gateNumber], address: s.layout.relayAddress(gateNumber),
		random: rand.New(rand.NewPCG(s.options.Seed, uint64(number)))}
}

// retryUntil calls try until it succeeds. If ctx is done first, it returns an error with the given problem.
func retryUntil(ctx context.Context, problem string, try func() bool) error {
	for !try() {
		if !pause(ctx, retryPause) {
			return errors.Annotate(ctx.Err(), problem)
		}
	}
	return nil
}

// pause waits and returns false if ctx is done first.
func pause(ctx context.Context, wait time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(wait):
		return ctx.Err() == nil
	}
}

// settle polls all accepted jobs until each has ended or settleTimeout is over, and records their last states. The jobs are
// split into one batch per gate. The batches are polled concurrently, and each round polls a batch at its next gate.
func (s *soak) settle(ctx context.Context) {
	timeoutCtx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	batches := make([]map[string]bool, len(s.layout.Gates))
	for index := range batches {
		batches[index] = map[string]bool{}
	}
	next := 0
	for id := range acceptedJobs(s.recorder.history()) {
		batches[next%len(batches)][id] = true
		next++
	}
	var polling sync.WaitGroup
	for index, batch := range batches {
		polling.Go(func() { s.settleBatch(timeoutCtx, index, batch) })
	}
	polling.Wait()
}

// settleBatch polls a batch of jobs until each has ended, starting at one gate and moving to the next in each round.
func (s *soak) settleBatch(ctx context.Context, firstGate int, pending map[string]bool) {
	for round := 0; len(pending) > 0 && ctx.Err() == nil; round++ {
		c := s.newInternalClient((firstGate + round) % len(s.layout.Gates))
		for id := range pending {
			if ctx.Err() != nil || !s.settleJob(ctx, c, id, pending) {
				break
			}
		}
		c.disconnect()
		pause(ctx, retryPause)
	}
}

// settleJob polls a job once and removes it from the pending jobs if it has ended. It returns false if the gate gave no answer.
func (s *soak) settleJob(ctx context.Context, c *client, id string, pending map[string]bool) bool {
	call := c.call(ctx, verbState, id, "")
	if call.Outcome != answered {
		return false
	}
	state := call.State
	if call.Status != http.StatusOK {
		state = http.StatusText(call.Status)
	}
	s.recorder.write(func(h *History) { h.FinalStates[id] = state })
	if state == "completed" || state == "cancelled" || state == "failed" {
		delete(pending, id)
	}
	return true
}

// readRecords fetches the run records and the fence count of the fake executors into the history. After an error the oracles of runs have
// nothing to check.
func (s *soak) readRecords(ctx context.Context) error {
	client := &http.Client{Timeout: reportTimeout}
	var runs []hollow.RunRecord
	var counts hollow.Counts
	if err := fetch(ctx, client, s.layout.reportAddress()+hollow.PathRecords, &runs); err != nil {
		return err
	}
	if err := fetch(ctx, client, s.layout.reportAddress()+hollow.PathCounts, &counts); err != nil {
		return err
	}
	s.recorder.write(func(h *History) { h.Runs, h.RepeatedFences = runs, counts.RepeatedFences })
	return nil
}

// fetch decodes the answer of the fake executors' process at a location, its address and a path, into result.
func fetch(ctx context.Context, client *http.Client, location string, result any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+location, nil)
	if err != nil {
		return errors.Annotatef(err, "asking the fake executors at %s", location)
	}
	response, err := client.Do(request)
	if err != nil {
		return errors.Annotatef(err, "asking the fake executors at %s", location)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("the fake executors at %s answered %d", location, response.StatusCode)
	}
	return errors.Annotatef(json.NewDecoder(response.Body).Decode(result), "reading the answer of the fake executors at %s", location)
}

// sample records the resource use of the running processes at a fixed interval until ctx is done.
func (s *soak) sample(ctx context.Context) {
	client := &http.Client{Timeout: sampleTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		for _, running := range s.cluster.runningProcesses() {
			at := s.recorder.now()
			read, err := metrics.Fetch(client, endpoint(running.node.IP, internalPort), sampleTimeout)
			if err != nil {
				continue
			}
			sample := Sample{Process: running.node.Name, Incarnation: running.incarnation, At: at, Memory: read["process_resident_memory_bytes"],
				Goroutines: read["go_goroutines"], Descriptors: read["process_open_fds"], Disk: s.diskUse(running.node)}
			s.recorder.write(func(h *History) { h.Samples = append(h.Samples, sample) })
		}
		pause(ctx, sampleInterval)
	}
}

// diskUse returns the size of a node's data folder in bytes. Files that are deleted meanwhile don't count.
func (s *soak) diskUse(node Node) float64 {
	var bytes int64
	_ = filepath.WalkDir(dataFolder(s.folder, node), func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return nil
		}
		if info, err := os.Stat(path); err == nil {
			bytes += info.Size()
		}
		return nil
	})
	return float64(bytes)
}
