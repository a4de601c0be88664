package scalerun

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"time"

	"github.com/juju/errors"

	"gannetline/internal/cluster/membership"
)

const (
	// stopWait is how long a process may take to end once its standard input is closed.
	stopWait = 5 * time.Second
	// coresOfRole and coresOfHost are how many processors a process may use at once.
	coresOfRole = "2"
	coresOfHost = "4"
)

// child is a process that this run started; it ends when its standard input is closed. Figures is the address of its page
// of figures, over gives how it ended.
type child struct {
	name    string
	role    string
	figures string
	command *exec.Cmd
	input   io.WriteCloser
	over    chan error
}

// start runs the program with its output in a log file.
func (r *run) start(name, role, figures, cores string, arguments ...string) (*child, error) {
	log, err := os.OpenFile(r.logOf(name), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Annotatef(err, "starting %s", name)
	}
	defer log.Close()
	command := exec.Command(r.setup.Program, arguments...)
	command.Stdout, command.Stderr = log, log
	command.Env = append(os.Environ(), "GOMAXPROCS="+cores)
	input, err := command.StdinPipe()
	if err != nil {
		return nil, errors.Annotatef(err, "starting %s", name)
	}
	if err := command.Start(); err != nil {
		return nil, errors.Annotatef(err, "starting %s", name)
	}
	started := &child{name: name, role: role, figures: figures, command: command, input: input, over: make(chan error, 1)}
	go func() { started.over <- command.Wait() }()
	return started, nil
}

func (r *run) startRole(on node, role string) error {
	started, err := r.start(on.name, role, "http://"+on.at(internalPort), coresOfRole, "--settings", on.settings, "measured", role)
	if err == nil {
		r.add(started)
	}
	return err
}

// startAll starts stewards, gates, the processes of hollow workers, and the local proxies that run by themselves.
func (r *run) startAll() error {
	for _, nodes := range [][]node{r.layout.stewards, r.layout.gates} {
		for _, on := range nodes {
			if err := r.startRole(on, on.role); err != nil {
				return err
			}
		}
	}
	for number, spec := range r.layout.hostSpecs {
		started, err := r.start(fmt.Sprintf("host-%d", number+1), roleHost, "http://"+spec.report, coresOfHost, "hollow", "--spec", spec.path)
		if err != nil {
			return err
		}
		r.add(started)
	}
	for _, worker := range r.layout.realProxyNodes() {
		if err := r.startRole(worker, membership.RoleLocalProxy); err != nil {
			return err
		}
	}
	return nil
}

// kill ends one child at once, as a loss of its machine would.
func (c *child) kill() {
	c.command.Process.Kill()
	<-c.over
}

// stopAll ends all children, those that don't end by themselves by force.
func (r *run) stopAll() {
	for _, started := range r.all() {
		started.input.Close()
	}
	for _, started := range r.all() {
		select {
		case <-started.over:
		case <-time.After(stopWait):
			started.kill()
		}
	}
}

// checkChildren fails if a child has ended by itself, with the end of its log.
func (r *run) checkChildren() error {
	for _, started := range r.all() {
		select {
		case err := <-started.over:
			started.over <- err
			return errors.Errorf("%s ended by itself: %v; the end of its log:\n%s", started.name, err, r.logTail(started.name))
		default:
		}
	}
	return nil
}
