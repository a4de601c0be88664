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
	// setUpClient numbers the client that the soak itself uses before and after the others.
	setUpClient = 1 << 20
	retryPause  = 200 * time.Millisecond
	sampleEvery = 2 * time.Second
	sampleLimit = 500 * time.Millisecond
	reportLimit = 10 * time.Second
)

// start starts all processes and relays, posts the first configuration, and waits until a job is accepted at each gate.
func (s *soak) start(ctx context.Context) error {
	s.relays = map[string]*relay{}
	for number, gate := range s.layout.Gates {
		r, err := newRelay(s.recorder.ctx, s.layout.relayAddress(number), endpoint(gate.IP, frontPort), s.options.InjectedFault, s.recorder.refusals(gate.Name))
		if err != nil {
			return err
		}
		s.relays[gate.Name] = r
	}
	if err := s.cluster.startAll(); err != nil {
		return err
	}
	limited, release := context.WithTimeout(ctx, startLimit)
	defer release()
	operator := newOperator(s)
	if err := until(limited, "no steward took the first configuration", func() bool { return operator.post(limited, firstVersion) }); err != nil {
		return err
	}
	for number := range s.layout.Gates {
		c := s.ownClient(number)
		err := until(limited, "no job is accepted at "+c.gate.Name, func() bool {
			id := newJob(c.draw)
			return c.call(limited, verbSubmit, id, shapeOf(id).body()).isAccepted()
		})
		c.hangUp()
		if err != nil {
			return err
		}
	}
	return nil
}

// ownClient is a client of a gate for the soak itself.
func (s *soak) ownClient(gateNumber int) *client {
	number := setUpClient + gateNumber
	return &client{soak: s, number: number, gate: s.layout.Gates[gateNumber], address: s.layout.relayAddress(gateNumber),
		draw: rand.New(rand.NewPCG(s.options.Seed, uint64(number)))}
}

// until tries something again until it succeeds; the error says what did not come about in time.
func until(ctx context.Context, problem string, try func() bool) error {
	for !try() {
		if !pause(ctx, retryPause) {
			return errors.Annotate(ctx.Err(), problem)
		}
	}
	return nil
}

// pause waits; it is false if ctx was done first.
func pause(ctx context.Context, wait time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(wait):
		return ctx.Err() == nil
	}
}

// settle asks for all accepted jobs until each is over, for so long at most, and records their last states. All gates are asked at
// once, each for a part of the jobs, and each part at the next gate in the next round.
func (s *soak) settle(ctx context.Context) {
	limited, release := context.WithTimeout(ctx, settleLimit)
	defer release()
	parts := make([]map[string]bool, len(s.layout.Gates))
	for index := range parts {
		parts[index] = map[string]bool{}
	}
	next := 0
	for id := range acceptedJobs(s.recorder.history()) {
		parts[next%len(parts)][id] = true
		next++
	}
	var asking sync.WaitGroup
	for index, part := range parts {
		asking.Go(func() { s.settlePart(limited, index, part) })
	}
	asking.Wait()
}

// settlePart asks for some jobs until each is over, first at one gate and then at the next.
func (s *soak) settlePart(ctx context.Context, firstGate int, open map[string]bool) {
	for round := 0; len(open) > 0 && ctx.Err() == nil; round++ {
		c := s.ownClient((firstGate + round) % len(s.layout.Gates))
		for id := range open {
			if ctx.Err() != nil || !s.settleJob(ctx, c, id, open) {
				break
			}
		}
		c.hangUp()
		pause(ctx, retryPause)
	}
}

// settleJob asks for a job once, and takes it off the open ones if it is over; it is false if the gate gave no answer.
func (s *soak) settleJob(ctx context.Context, c *client, id string, open map[string]bool) bool {
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
		delete(open, id)
	}
	return true
}

// readRecords reads what the executors have run.
func (s *soak) readRecords(ctx context.Context) {
	client := &http.Client{Timeout: reportLimit}
	var runs []hollow.RunRecord
	var counts hollow.Counts
	if s.fetch(ctx, client, hollow.PathRecords, &runs) && s.fetch(ctx, client, hollow.PathCounts, &counts) {
		s.recorder.write(func(h *History) { h.Runs, h.RepeatedFences = runs, counts.RepeatedFences })
	}
}

// fetch reads a page of the executors' process.
func (s *soak) fetch(ctx context.Context, client *http.Client, path string, into any) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.layout.reportAddress()+path, nil)
	if err != nil {
		return false
	}
	response, err := client.Do(request)
	if err != nil {
		s.log.Error(err, "executors not asked")
		return false
	}
	defer response.Body.Close()
	return json.NewDecoder(response.Body).Decode(into) == nil
}

// sample notes now and then what the processes use, until ctx is done.
func (s *soak) sample(ctx context.Context) {
	client := &http.Client{Timeout: sampleLimit, Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		for _, running := range s.cluster.runningProcesses() {
			at := s.recorder.now()
			read, err := metrics.Fetch(client, endpoint(running.node.IP, internalPort), sampleLimit)
			if err != nil {
				continue
			}
			sample := Sample{Process: running.node.Name, Incarnation: running.incarnation, At: at, Memory: read["process_resident_memory_bytes"],
				Goroutines: read["go_goroutines"], Descriptors: read["process_open_fds"], Disk: s.diskUse(running.node)}
			s.recorder.write(func(h *History) { h.Samples = append(h.Samples, sample) })
		}
		pause(ctx, sampleEvery)
	}
}

// diskUse is how many bytes a node's data folder holds; files that vanish meanwhile don't count.
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
