package scalerun

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"go.uber.org/multierr"

	"gannetline/internal/comparenodes"
	"gannetline/internal/hollow"
	"gannetline/internal/peerapi"
	"gannetline/internal/span"
)

const (
	settleFor   = 3 * time.Second
	joinFor     = 2 * time.Minute
	drainFor    = 30 * time.Second
	planChanges = 3
	lookEvery   = time.Second
	askBeliefs  = 5 * time.Second
	poolKey     = "pool/" + service
	mb          = 1 << 20
	killAfter   = 2 * time.Second
	profileS    = 10

	phaseJoining  = "joining"
	phaseIdle     = "idle"
	phaseStanding = "standing"
	phaseLoad     = "load"
)

// run is one size being played.
type run struct {
	life     span.Span
	setup    *Setup
	workers  int
	layout   *layout
	client   *http.Client
	children atomic.Pointer[[]*child]
	version  int
	progress io.Writer
	began    time.Time
}

// Cost is what one process used in a window, a second where it flows.
type Cost struct {
	Name       string  `json:"name"`
	Role       string  `json:"role"`
	Cores      float64 `json:"cores"`
	ResidentMB float64 `json:"resident-mb"`
	Files      int     `json:"open-files"`
	BytesIn    float64 `json:"bytes-in"`
	BytesOut   float64 `json:"bytes-out"`
	Datagrams  float64 `json:"datagrams"`
	Calls      float64 `json:"calls"`
}

// Window is one stretch of a size: idle, standing or load; joining if not every worker came in.
type Window struct {
	Phase   string  `json:"phase"`
	Workers int     `json:"workers"`
	Running float64 `json:"running"`
	Starts  float64 `json:"starts-a-second"`
	Seconds float64 `json:"seconds"`
	// Pressure is the share of the window in which something on the machine waited for a processor.
	Pressure float64 `json:"processor-pressure"`
	Owner    string  `json:"owner"`
	// Epochs is by how much the pool's epoch rose within the window; 0 means that the owner stayed.
	Epochs uint64 `json:"epochs"`
	Costs  []Cost `json:"costs"`
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

// Play runs one size and always stops what it started; what failed is in the size.
func Play(life span.Span, setup *Setup, workers int, progress io.Writer, memory uint64) Size {
	size := Size{Workers: workers}
	folder, err := os.MkdirTemp("", "gannetline-scale-")
	if err != nil {
		size.Failed = err.Error()
		return size
	}
	defer os.RemoveAll(folder)
	life, end := span.Cancellable(life)
	defer end()
	r := &run{life: life, setup: setup, workers: workers, progress: progress, began: time.Now(),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	defer r.client.CloseIdleConnections()
	r.children.Store(&[]*child{})
	defer r.stopAll()
	peaks := make(chan int, 1)
	if err = r.claim(); err != nil {
		size.Failed = err.Error()
		return size
	}
	if r.layout, err = layOut(setup, workers, folder); err == nil {
		if err = r.startAll(); err == nil {
			go func() { peaks <- r.watchMemory(memory/2, end) }()
			err = r.play(&size)
			end()
			peak := <-peaks
			size.PeakMB = float64(peak) / mb
			if uint64(peak) > memory/2 {
				err = errors.Errorf("all processes took %d MB, over half of the machine's memory", peak>>20)
			}
		}
	}
	if err != nil {
		size.Failed = multierr.Append(err, r.keepLogs()).Error()
	}
	return size
}

// keepLogs puts the logs of a size that failed beside the report.
func (r *run) keepLogs() error {
	kept := filepath.Join(r.setup.Folder, fmt.Sprintf("logs-%d", r.workers))
	if err := os.MkdirAll(kept, 0o755); err != nil {
		return errors.Annotate(err, "keeping the logs")
	}
	var failed error
	for _, one := range r.all() {
		text, err := os.ReadFile(r.logOf(one.name))
		failed = multierr.Combine(failed, err, os.WriteFile(filepath.Join(kept, one.name+".log"), text, 0o644))
	}
	return failed
}

func (r *run) logOf(name string) string { return filepath.Join(r.layout.folder, name+".log") }

// claim makes sure that no other run uses these addresses.
func (r *run) claim() error {
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

func (r *run) add(one *child) {
	all := append(slices.Clone(r.all()), one)
	r.children.Store(&all)
}

func (r *run) say(format string, values ...any) {
	fmt.Fprintf(r.progress, "%5d workers %6.1f s  %s\n", r.workers, time.Since(r.began).Seconds(), fmt.Sprintf(format, values...))
}

func (r *run) play(size *Size) error {
	if err := r.replacePlan(1); err != nil {
		return err
	}
	r.say("the first plan is taken")
	if err := r.join(); err != nil {
		r.say("%v", err)
		return multierr.Append(err, r.measure(size, phaseJoining, r.setup.Idle, r.profile))
	}
	size.JoinSeconds = time.Since(r.began).Seconds()
	r.say("every worker and gate is in")
	r.pause(settleFor)
	if err := r.measure(size, phaseIdle, r.setup.Idle, nil); err != nil {
		return err
	}
	standing, err := r.fill()
	if err != nil {
		return err
	}
	if len(standing) > 0 {
		r.pause(settleFor)
		if err := r.measure(size, phaseStanding, r.setup.Idle, nil); err != nil {
			return err
		}
	}
	jobs, err := r.load(size)
	if err != nil {
		return err
	}
	if err := r.clear(standing); err != nil {
		return err
	}
	records, err := r.records()
	if err != nil {
		return err
	}
	size.Verdict = Judge(append(jobs, standing...), records)
	r.say("over: %d starts, %d lost, %d doubled, %d again, %d left", size.Verdict.Starts, size.Verdict.Lost, size.Verdict.Doubled,
		size.Verdict.Again, size.Verdict.Left)
	return nil
}

// join waits until the pool's owner knows every executor and every gate is ready.
func (r *run) join() error {
	until := time.Now().Add(joinFor)
	for {
		seen := r.executorsSeen()
		ready := 0
		for _, gate := range r.layout.gates {
			if status, _, err := r.call(http.MethodGet, "http://"+gate.at(readinessPort)+"/v1/readiness", -1, nil); err == nil && status == http.StatusOK {
				ready++
			}
		}
		if seen >= r.workers && ready == len(r.layout.gates) {
			return nil
		}
		if err := r.died(); err != nil {
			return err
		}
		if time.Now().After(until) || !r.pause(lookEvery) {
			return errors.Errorf("after %v the owner knew %d of %d executors, and %d of %d gates were ready", joinFor, seen, r.workers,
				ready, len(r.layout.gates))
		}
	}
}

func (r *run) executorsSeen() int {
	most := 0
	for _, answer := range r.beliefs() {
		most = max(most, len(answer.Executors))
	}
	return most
}

func (r *run) beliefs() []*peerapi.BeliefsAnswer {
	var all []*peerapi.BeliefsAnswer
	for _, steward := range r.layout.stewards {
		if answer, err := comparenodes.Ask(steward.at(internalPort), askBeliefs); err == nil {
			all = append(all, answer)
		}
	}
	return all
}

// ranks tells each steward's part in the pool, owner, voter or bystander, and the pool's epoch.
func (r *run) ranks() (map[string]string, uint64) {
	ranks, epoch, owner := map[string]string{}, uint64(0), ""
	for _, answer := range r.beliefs() {
		for _, key := range answer.Keys {
			if key.Key != poolKey {
				continue
			}
			for _, member := range answer.Members {
				if member.Role == "steward" && slices.Contains(key.Set.Now, member.Disk) && ranks[member.Name] == "" {
					ranks[member.Name] = "voter"
				}
			}
		}
		for _, fact := range answer.Owners {
			if fact.Key == poolKey && fact.Epoch > epoch {
				epoch, owner = fact.Epoch, fact.Name
			}
		}
	}
	if owner != "" {
		ranks[owner] = "owner"
	}
	return ranks, epoch
}

// measure samples every process before and after; during runs within the window.
func (r *run) measure(size *Size, phase string, length time.Duration, during func() error) error {
	ranks, epoch := r.ranks()
	counts, err := r.counts()
	if err != nil {
		return err
	}
	waited, children := pressure(), r.all()
	before, err := r.samples()
	if err != nil {
		return err
	}
	failed := make(chan error, 1)
	if during != nil {
		go func() { failed <- during() }()
	} else {
		failed <- nil
	}
	if !r.pause(length) {
		return r.life.Err()
	}
	after, err := r.samples()
	if err != nil {
		return err
	}
	waited = pressure() - waited
	later, err := r.counts()
	if err != nil {
		return err
	}
	_, laterEpoch := r.ranks()
	seconds := after[0].at.Sub(before[0].at).Seconds()
	window := Window{Phase: phase, Workers: r.workers, Running: float64(counts.Running+later.Running) / 2,
		Starts: float64(later.Started-counts.Started) / seconds, Seconds: seconds, Pressure: waited / seconds,
		Epochs: laterEpoch - epoch}
	for place, one := range r.all() {
		if one != children[place] {
			continue
		}
		window.Costs = append(window.Costs, costOf(one, before[place], after[place], ranks))
		if ranks[one.name] == "owner" {
			window.Owner = one.name
		}
	}
	size.Windows = append(size.Windows, window)
	r.say("%s: %.0f tasks running, %.1f starts a second; the epoch rose by %d; something waited for a processor in %.0f%% of the time",
		phase, window.Running, window.Starts, window.Epochs, 100*window.Pressure)
	return <-failed
}

func (r *run) samples() ([]sample, error) {
	var all []sample
	for _, one := range r.all() {
		taken, err := r.sample(one)
		if err != nil {
			return nil, err
		}
		all = append(all, taken)
	}
	return all, nil
}

func costOf(one *child, before, after sample, ranks map[string]string) Cost {
	seconds := after.at.Sub(before.at).Seconds()
	rate := func(before, after int64) float64 { return float64(after-before) / seconds }
	role := one.role
	if role == "steward" {
		if role = ranks[one.name]; role == "" {
			role = "bystander"
		}
	}
	return Cost{Name: one.name, Role: role, Cores: (after.cpu - before.cpu) / seconds, ResidentMB: float64(after.resident) / mb,
		Files: after.files, BytesIn: rate(before.wire.BytesIn, after.wire.BytesIn), BytesOut: rate(before.wire.BytesOut, after.wire.BytesOut),
		Datagrams: rate(before.wire.DatagramsIn+before.wire.DatagramsOut, after.wire.DatagramsIn+after.wire.DatagramsOut),
		Calls:     rate(before.wire.Served+before.wire.Made, after.wire.Served+after.wire.Made)}
}

func (r *run) counts() (hollow.Counts, error) {
	var sum hollow.Counts
	for _, spec := range r.layout.hostSpecs {
		var one hollow.Counts
		if err := r.fetch("http://"+spec.report+hollow.PathCounts, &one); err != nil {
			return sum, err
		}
		sum.Running, sum.Started = sum.Running+one.Running, sum.Started+one.Started
	}
	return sum, nil
}

// untilRunning waits until the count of running tasks is as wanted.
func (r *run) untilRunning(limit time.Duration, isThere func(running int) bool) (int, error) {
	until := time.Now().Add(limit)
	for {
		counts, err := r.counts()
		if err != nil || isThere(counts.Running) || time.Now().After(until) {
			return counts.Running, err
		}
		if !r.pause(lookEvery) {
			return counts.Running, r.life.Err()
		}
	}
}

func (r *run) records() ([]hollow.RunRecord, error) {
	var all []hollow.RunRecord
	for _, spec := range r.layout.hostSpecs {
		var some []hollow.RunRecord
		if err := r.fetch("http://"+spec.report+hollow.PathRecords, &some); err != nil {
			return nil, err
		}
		all = append(all, some...)
	}
	return all, nil
}

func (r *run) rate() float64 { return r.setup.StartsPerWorker * float64(r.workers) }

// fill starts the tasks that run throughout, at the same rate as the load.
func (r *run) fill() ([]*Job, error) {
	total := r.setup.Standing * r.workers
	count := (total + standingPerJob - 1) / standingPerJob
	load := hollow.Load{Length: standingFor, CPU: 250, MemoryMB: 200}
	jobs, err := r.offer(count, r.rate()/standingPerJob, func(number int) (*Job, error) {
		job := &Job{ID: jobID(r.workers, 1, number), Tasks: min(standingPerJob, total-number*standingPerJob)}
		return job, r.handIn(job, queueStanding, number, load)
	})
	if err != nil {
		return jobs, err
	}
	running, err := r.untilRunning(joinFor, func(running int) bool { return running >= total })
	if err != nil {
		return jobs, err
	}
	if running < total {
		return jobs, errors.Errorf("%d of %d standing tasks run after %v", running, total, joinFor)
	}
	r.say("%d standing tasks run", total)
	return jobs, nil
}

// load offers jobs for the time asked for, with plan changes, and waits for their ends.
func (r *run) load(size *Size) ([]*Job, error) {
	var jobs []*Job
	over := make(chan error, 1)
	perSecond := r.rate() / tasksPerJob
	count := int(perSecond * r.setup.LoadTime.Seconds())
	load := hollow.Load{Length: r.setup.TaskLength, CPU: 500, MemoryMB: 100}
	until := time.Now().Add(r.setup.LoadTime + r.setup.TaskLength + drainFor)
	go func() {
		var err error
		jobs, err = r.offer(count, perSecond, func(number int) (*Job, error) {
			job := &Job{ID: jobID(r.workers, 2, number), Tasks: tasksPerJob}
			if err := r.handIn(job, queueLoad, number, load); err != nil {
				return job, err
			}
			r.pause(load.Length)
			r.follow(job, queueLoad, number, until)
			return job, nil
		})
		over <- err
	}()
	r.pause(time.Second)
	err := r.measure(size, phaseLoad, r.setup.LoadTime-time.Second, func() error { return r.stir(size) })
	if failed := <-over; err == nil {
		err = failed
	}
	return jobs, err
}

// stir changes the plan now and then, and kills the owner if that is asked for.
func (r *run) stir(size *Size) error {
	profiled := make(chan error, 1)
	go func() { profiled <- r.profile() }()
	for turn := range planChanges {
		if !r.pause(r.setup.LoadTime / (planChanges + 2)) {
			return r.life.Err()
		}
		waits, err := r.applyPlan()
		if err != nil {
			return err
		}
		for _, wait := range waits {
			size.PlanMs = append(size.PlanMs, float64(wait.Milliseconds()))
		}
		if turn == 0 && r.setup.KillsOwner {
			if err := r.killOwner(); err != nil {
				return err
			}
		}
	}
	return <-profiled
}

func (r *run) owner() int {
	ranks, _ := r.ranks()
	return slices.IndexFunc(r.all(), func(one *child) bool { return ranks[one.name] == "owner" })
}

func (r *run) killOwner() error {
	place := r.owner()
	if place < 0 {
		return errors.New("nobody owns the pool")
	}
	old := r.all()[place]
	r.say("%s, the owner, is killed", old.name)
	old.kill()
	r.pause(killAfter)
	seat := r.layout.stewards[slices.IndexFunc(r.layout.stewards, func(one seat) bool { return one.name == old.name })]
	text, err := os.ReadFile(seat.settings)
	if err != nil {
		return err
	}
	restarted := strings.Replace(string(text), "initial-start: true", "initial-start: false", 1)
	if err := os.WriteFile(seat.settings, []byte(restarted), 0o600); err != nil {
		return err
	}
	fresh, err := r.start(old.name, old.role, old.figures, "2", "--settings", seat.settings, "measured", old.role)
	if err != nil {
		return err
	}
	all := slices.Clone(r.all())
	all[place] = fresh
	r.children.Store(&all)
	return nil
}

// profile keeps the owner's processor profile beside the report, if that is asked for.
func (r *run) profile() error {
	place := r.owner()
	if !r.setup.IsProfiled || place < 0 {
		return nil
	}
	url := fmt.Sprintf("%s%s?seconds=%d", r.all()[place].figures, hollow.PathProfile, profileS)
	response, err := r.client.Get(url)
	if err != nil {
		return errors.Annotate(err, "profiling the owner")
	}
	defer response.Body.Close()
	file, err := os.Create(filepath.Join(r.setup.Folder, fmt.Sprintf("owner-%d.pprof", r.workers)))
	if err != nil {
		return errors.Annotate(err, "profiling the owner")
	}
	defer file.Close()
	_, err = io.Copy(file, response.Body)
	return errors.Annotate(err, "profiling the owner")
}

// clear cancels the standing jobs and waits until nothing runs.
func (r *run) clear(standing []*Job) error {
	for number, job := range standing {
		if err := r.cancel(job, queueStanding, number); err != nil {
			return err
		}
	}
	_, err := r.untilRunning(drainFor, func(running int) bool { return running == 0 })
	return err
}

// watchMemory gives the most that all children held; over the limit, it ends the run.
func (r *run) watchMemory(limit uint64, end func()) int {
	peak := 0
	for r.pause(lookEvery) {
		peak = max(peak, r.resident())
		if uint64(peak) > limit {
			end()
		}
	}
	return peak
}
