package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// processPhase is the state of a process in its life cycle.
type processPhase int

const (
	phaseEnded processPhase = iota
	phaseRunning
	phaseFrozen
	phaseEnding
)

// process is a node with its current incarnation. Only the cluster's goroutine uses it.
type process struct {
	node        Node
	arguments   []string
	command     *exec.Cmd
	inputWriter *os.File
	phase       processPhase
	incarnation int
	startedAt   time.Duration
	// endCause is the fault that ends the current incarnation, and endRequestedAt the time of its signal. startNext is called after
	// the exit; if it is nil, the node is relaunched.
	endCause       FaultKind
	endRequestedAt time.Duration
	startNext      func()
	// isExempt is true for the fake executors, which get no faults and run until killAll.
	isExempt bool
}

// start starts an incarnation, with its output in the node's log file. onExit is called with the exit state on another
// goroutine.
func (p *process) start(program, folder string, now time.Duration, onExit func(*os.ProcessState)) error {
	log, err := os.OpenFile(filepath.Join(folder, p.node.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.Annotatef(err, "log of %s", p.node.Name)
	}
	defer log.Close()
	inputReader, inputWriter, err := os.Pipe()
	if err != nil {
		return errors.Annotatef(err, "input of %s", p.node.Name)
	}
	defer inputReader.Close()
	command := exec.Command(program, p.arguments...)
	// The standard input is closed when the soak ends, however it ends. Then the process of the fake executors exits; the others
	// don't read their standard input.
	command.Stdin, command.Stdout, command.Stderr = inputReader, log, log
	if err := command.Start(); err != nil {
		inputWriter.Close()
		return errors.Annotatef(err, "starting %s", p.node.Name)
	}
	p.command, p.inputWriter, p.phase, p.endCause, p.startNext = command, inputWriter, phaseRunning, "", nil
	p.incarnation, p.startedAt = p.incarnation+1, now
	go func() {
		// The exit state contains everything that the error says.
		_ = command.Wait()
		onExit(command.ProcessState)
	}()
	return nil
}

// signal sends a signal to the current incarnation by its process ID.
func (p *process) signal(signal syscall.Signal) {
	if p.phase != phaseEnded {
		// A process that has just ended can't be signalled, which is no problem.
		_ = p.command.Process.Signal(signal)
	}
}

// exitOf returns the record of an incarnation's exit.
func exitOf(p *process, state *os.ProcessState, now time.Duration) Exit {
	exit := Exit{Process: p.node.Name, Cause: p.endCause, At: now, Code: state.ExitCode()}
	if p.endCause != "" {
		exit.Took, exit.Age = now-p.endRequestedAt, p.endRequestedAt-p.startedAt
	}
	if status, isStatus := state.Sys().(syscall.WaitStatus); isStatus && status.Signaled() {
		exit.Signal = status.Signal().String()
	}
	return exit
}
