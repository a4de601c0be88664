package soak

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/juju/errors"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/mailbox"
	"gannetline/internal/simulation/hollow"
)

const (
	// restartPause is the time between the end of a process and its next start.
	restartPause = 500 * time.Millisecond
	// waveGap is the time between the terminations of two gates in a wave.
	waveGap = 700 * time.Millisecond
	// killTimeout is the time after SIGTERM at which a process that still runs gets SIGKILL.
	killTimeout = exitTimeout + 2*time.Second
	// executorsName is the name of the process that runs all fake executors.
	executorsName = "executors"

	clusterMailboxSize = 256
)

// cluster owns the processes; one goroutine runs the functions that are posted to its mailbox. It applies the faults of the
// schedule, restarts processes that end, and records the faults and each process's exit.
type cluster struct {
	*soak
	mailbox   *mailbox.Mailbox
	ctx       context.Context
	processes map[string]*process
	// startOrder lists the names of processes in the order of their first starts.
	startOrder []string
	// isInitial is true until all processes of the layout have been started once. replacements counts the replacement stewards.
	// isEnding is true once the soak shuts down.
	isInitial    bool
	replacements int
	isEnding     bool
}

func newCluster(ctx context.Context, s *soak) *cluster {
	c := &cluster{soak: s, mailbox: mailbox.New(clusterMailboxSize), ctx: ctx, processes: map[string]*process{}, isInitial: true}
	go c.mailbox.Run(ctx, clock.System(), mailbox.Owner{Every: time.Minute})
	return c
}

// runAndWait runs work on the cluster's goroutine and waits for its result.
func (c *cluster) runAndWait(work func() error) error {
	result, err := mailbox.Ask(c.ctx, c.mailbox, func(answer func(error)) { answer(work()) })
	if err != nil {
		return err
	}
	return result
}

// runAfter runs work on the cluster's goroutine after a delay.
func (c *cluster) runAfter(wait time.Duration, work func()) {
	time.AfterFunc(wait, func() {
		if c.ctx.Err() == nil {
			c.mailbox.Post(work)
		}
	})
}

// startAll starts all processes of the layout and the fake executors.
func (c *cluster) startAll() error {
	return c.runAndWait(func() error {
		for _, role := range []Role{RoleSteward, RoleStorage, RoleGate, RoleProxy} {
			for _, node := range c.layout.nodes(role) {
				if err := c.add(node); err != nil {
					return err
				}
			}
		}
		if err := c.startExecutors(); err != nil {
			return err
		}
		c.isInitial = false
		return nil
	})
}

// add starts a node for the first time.
func (c *cluster) add(node Node) error {
	p := &process{node: node, arguments: []string{"--settings", settingsPath(c.folder, node), string(node.Role)}}
	c.processes[node.Name], c.startOrder = p, append(c.startOrder, node.Name)
	return c.launch(p)
}

// launch starts the next incarnation of a node, with newly written settings. It does nothing once the soak shuts down.
func (c *cluster) launch(p *process) error {
	if c.isEnding {
		return nil
	}
	if p.node.Role != "" {
		if err := c.writeSettings(p.node); err != nil {
			return err
		}
	}
	incarnation := p.incarnation + 1
	return p.start(c.options.Program, c.folder, c.recorder.now(), func(state *os.ProcessState) {
		if c.ctx.Err() == nil {
			c.mailbox.Post(func() { c.handleExit(p, incarnation, state) })
		}
	})
}

// writeSettings writes the settings file of a node and creates its data folder.
func (c *cluster) writeSettings(node Node) error {
	var seeds []string
	for _, steward := range c.layout.Stewards[:min(3, len(c.layout.Stewards))] {
		seeds = append(seeds, endpoint(steward.IP, controlPort))
	}
	text, err := c.layout.settingsOf(node, c.folder, seeds, c.isInitial, c.options.SettingsFault)
	if err != nil {
		return errors.Annotatef(err, "settings of %s", node.Name)
	}
	if node.Role == RoleSteward || node.Role == RoleStorage {
		if err := os.MkdirAll(dataFolder(c.folder, node), 0o755); err != nil {
			return errors.Annotatef(err, "data folder of %s", node.Name)
		}
	}
	// The rename keeps a process from reading a half-written file.
	path := settingsPath(c.folder, node)
	if err := os.WriteFile(path+".new", text, 0o644); err != nil {
		return errors.Annotatef(err, "settings of %s", node.Name)
	}
	return errors.Annotatef(os.Rename(path+".new", path), "settings of %s", node.Name)
}

// startExecutors starts the one process that runs all fake executors of jobs. It is exempt from faults.
func (c *cluster) startExecutors() error {
	spec := hollow.Spec{Report: c.layout.reportAddress(), ForMs: hollow.MaxRunTime.Milliseconds()}
	for _, node := range c.layout.Proxies {
		spec.Workers = append(spec.Workers, hollow.Worker{Settings: settingsPath(c.folder, node), Labels: []string{"a"}, ClockRate: 1,
			Capacity: wire.Capacity{CPU: executorCPU, Memory: executorMemoryMB}, IsExecutorOnly: true,
			FailsFirstRuns: c.layout.serviceOf(node) == badServiceName})
	}
	text, err := json.Marshal(spec)
	if err != nil {
		return errors.Annotate(err, "spec of the fake executors")
	}
	path := filepath.Join(c.folder, executorsName+".json")
	if err := os.WriteFile(path, text, 0o644); err != nil {
		return errors.Annotate(err, "spec of the fake executors")
	}
	p := &process{node: Node{Name: executorsName}, arguments: []string{"hollow", "--spec", path}, isExempt: true}
	c.processes[executorsName], c.startOrder = p, append(c.startOrder, executorsName)
	return c.launch(p)
}

// handleExit records the exit of an incarnation and, unless the soak shuts down, schedules the start of the next one.
func (c *cluster) handleExit(p *process, incarnation int, state *os.ProcessState) {
	if p.incarnation != incarnation {
		return
	}
	exit := exitOf(p, state, c.recorder.now())
	p.inputWriter.Close()
	p.phase = phaseEnded
	c.recorder.write(func(h *History) { h.Exits = append(h.Exits, exit) })
	c.log.V(1).Info("process ended", "process", p.node.Name, "asked", exit.Cause, "code", exit.Code, "signal", exit.Signal)
	if c.isEnding {
		return
	}
	next := p.startNext
	if next == nil {
		next = func() { c.relaunch(p) }
	}
	c.runAfter(restartPause, next)
}

// relaunch restarts a node that is down. If that fails, the node stays down, and the oracles check the consequences.
func (c *cluster) relaunch(p *process) {
	if p.phase != phaseEnded {
		return
	}
	if err := c.launch(p); err != nil {
		c.log.Error(err, "process not restarted")
	}
}

// scheduleEvents applies each event at its time, counted from now.
func (c *cluster) scheduleEvents(schedule *Schedule) {
	for _, event := range schedule.Events {
		c.runAfter(event.at(), func() { c.applyFault(event) })
	}
}

// applyFault applies an event. It skips an event of a process that has ended, is ending or is frozen.
func (c *cluster) applyFault(event Event) {
	c.log.V(1).Info("fault", "event", event.String())
	switch event.Kind {
	case FaultWave:
		for number, gate := range c.layout.Gates {
			c.runAfter(time.Duration(number)*waveGap, func() { c.end(gate.Name, FaultTerminate, nil) })
		}
		return
	case FaultCut, FaultStall:
		c.recordTrouble(event.Target, event.Kind, event.duration())
		c.relays[event.Target].startFault(event.Kind, event.duration())
		return
	}
	p := c.processes[event.Target]
	if p == nil || p.phase != phaseRunning {
		return
	}
	switch event.Kind {
	case FaultTerminate, FaultKill:
		c.end(event.Target, event.Kind, nil)
	case FaultFreeze:
		c.freeze(p, event.duration())
	case FaultHangup:
		c.recordTrouble(event.Target, event.Kind, 0)
		p.signal(syscall.SIGHUP)
	case FaultSettings:
		c.recordTrouble(event.Target, event.Kind, 0)
		if err := c.writeSettings(p.node); err != nil {
			c.log.Error(err, "settings file not rewritten")
		}
	case FaultWipe:
		c.end(event.Target, event.Kind, func() { c.wipe(p) })
	case FaultReplace:
		c.end(event.Target, event.Kind, c.addReplacement)
	}
}

// recordTrouble records a fault that begins now, its target and its duration.
func (c *cluster) recordTrouble(target string, kind FaultKind, duration time.Duration) {
	now := c.recorder.now()
	c.recorder.write(func(h *History) {
		h.Troubles = append(h.Troubles, Trouble{target, kind, now, now + duration})
	})
}

// end stops the running incarnation of a node with the signal of a fault. After its exit, next is called; if next is nil, the
// node is relaunched.
func (c *cluster) end(name string, kind FaultKind, next func()) {
	p := c.processes[name]
	if p == nil || p.phase != phaseRunning || p.isExempt {
		return
	}
	p.phase, p.endCause, p.endRequestedAt, p.startNext = phaseEnding, kind, c.recorder.now(), next
	signal, duration := syscall.SIGKILL, restartPause
	if kind == FaultTerminate || kind == FaultReplace {
		signal, duration = syscall.SIGTERM, graceSeconds*time.Second+restartPause
	}
	c.recordTrouble(name, kind, duration)
	p.signal(signal)
	incarnation := p.incarnation
	c.runAfter(killTimeout, func() {
		if p.incarnation == incarnation && p.phase == phaseEnding {
			p.signal(syscall.SIGKILL)
		}
	})
}

// freeze suspends a process for a duration.
func (c *cluster) freeze(p *process, duration time.Duration) {
	c.recordTrouble(p.node.Name, FaultFreeze, duration)
	p.phase = phaseFrozen
	p.signal(syscall.SIGSTOP)
	incarnation := p.incarnation
	c.runAfter(duration, func() {
		if p.incarnation == incarnation && p.phase == phaseFrozen {
			p.phase = phaseRunning
			p.signal(syscall.SIGCONT)
		}
	})
}

// wipe empties the disk of a steward and restarts it.
func (c *cluster) wipe(p *process) {
	if err := os.RemoveAll(dataFolder(c.folder, p.node)); err != nil {
		c.log.Error(err, "disk of a steward not emptied")
	}
	c.relaunch(p)
}

// addReplacement starts a new steward at a new address, with an empty disk.
func (c *cluster) addReplacement() {
	node := c.layout.steward(len(c.layout.Stewards) + c.replacements)
	c.replacements++
	if err := c.add(node); err != nil {
		c.log.Error(err, "replacement steward not started")
	}
}

// nodeIncarnation identifies the process of a node from one start to its exit.
type nodeIncarnation struct {
	node        Node
	incarnation int
}

// selectProcesses returns the matching processes in the order of their first starts, without the fake executors.
func (c *cluster) selectProcesses(matches func(*process) bool) []nodeIncarnation {
	selected, _ := mailbox.Ask(c.ctx, c.mailbox, func(answer func([]nodeIncarnation)) {
		var selected []nodeIncarnation
		for _, name := range c.startOrder {
			if p := c.processes[name]; !p.isExempt && matches(p) {
				selected = append(selected, nodeIncarnation{p.node, p.incarnation})
			}
		}
		answer(selected)
	})
	return selected
}

// stewards returns the stewards that have not ended.
func (c *cluster) stewards() []nodeIncarnation {
	return c.selectProcesses(func(p *process) bool { return p.node.Role == RoleSteward && p.phase != phaseEnded })
}

// runningProcesses returns the processes that are neither frozen nor ending nor ended, without the fake executors.
func (c *cluster) runningProcesses() []nodeIncarnation {
	return c.selectProcesses(func(p *process) bool { return p.phase == phaseRunning })
}

// notEnded returns the processes that have not ended, without the fake executors.
func (c *cluster) notEnded() []nodeIncarnation {
	return c.selectProcesses(func(p *process) bool { return p.phase != phaseEnded })
}

// shutDown resumes frozen processes, terminates all in the order of their first starts, and waits until they have ended, at most
// for killTimeout. Their exits are recorded. The fake executors run on until killAll.
func (c *cluster) shutDown() {
	// An error means that the soak was stopped; killAll then ends the processes.
	_ = c.runAndWait(func() error {
		c.isEnding = true
		for _, name := range c.startOrder {
			p := c.processes[name]
			if p.phase == phaseFrozen {
				p.signal(syscall.SIGCONT)
				p.phase = phaseRunning
			}
			c.end(name, FaultTerminate, nil)
		}
		return nil
	})
	for deadline := time.Now().Add(killTimeout); time.Now().Before(deadline) && len(c.notEnded()) > 0; {
		time.Sleep(50 * time.Millisecond)
	}
}

// killAll sends SIGKILL to every process that has not ended, including the fake executors.
func (c *cluster) killAll() {
	_ = c.runAndWait(func() error {
		c.isEnding = true
		for _, p := range c.processes {
			p.signal(syscall.SIGKILL)
		}
		return nil
	})
}
