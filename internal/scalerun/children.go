package scalerun

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/procfs"

	"gannetline/internal/hollow"
	"gannetline/internal/span"
	"gannetline/internal/transportmetrics"
)

const lookLimit = 20 * time.Second

// child is one process that this run started; it ends when its standard input is closed.
type child struct {
	name    string
	role    string
	figures string
	command *exec.Cmd
	input   io.WriteCloser
	over    chan error
}

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
	one := &child{name: name, role: role, figures: figures, command: command, input: input, over: make(chan error, 1)}
	go func() { one.over <- command.Wait() }()
	return one, nil
}

func (r *run) startRole(one seat, role string) error {
	started, err := r.start(one.name, role, "http://"+one.at(internalPort), "2", "--settings", one.settings, "measured", role)
	if err == nil {
		r.add(started)
	}
	return err
}

func (r *run) startAll() error {
	for _, seats := range [][]seat{r.layout.stewards, r.layout.gates} {
		for _, one := range seats {
			if err := r.startRole(one, one.role); err != nil {
				return err
			}
		}
	}
	for number, spec := range r.layout.hostSpecs {
		started, err := r.start(fmt.Sprintf("host-%d", number+1), roleHost, "http://"+spec.report, "4", "hollow", "--spec", spec.path)
		if err != nil {
			return err
		}
		r.add(started)
	}
	for _, one := range r.layout.realSeats() {
		if err := r.startRole(one, "local-proxy"); err != nil {
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

func (r *run) stopAll() {
	for _, one := range r.all() {
		one.input.Close()
	}
	for _, one := range r.all() {
		select {
		case <-one.over:
		case <-time.After(5 * time.Second):
			one.kill()
		}
	}
}

// died names a child that ended by itself.
func (r *run) died() error {
	for _, one := range r.all() {
		select {
		case err := <-one.over:
			one.over <- err
			return errors.Errorf("%s ended by itself: %v; its last words:\n%s", one.name, err, r.lastWords(one.name))
		default:
		}
	}
	return nil
}

func (r *run) lastWords(name string) string {
	text, err := os.ReadFile(r.logOf(name))
	if err != nil {
		return err.Error()
	}
	return string(text[max(0, len(text)-2000):])
}

// sample is what a process had used by one moment.
type sample struct {
	at       time.Time
	cpu      float64
	resident int
	files    int
	wire     transportmetrics.Figures
}

func (r *run) sample(one *child) (sample, error) {
	process, err := procfs.NewProc(one.command.Process.Pid)
	if err != nil {
		return sample{}, errors.Annotatef(err, "looking at %s", one.name)
	}
	stat, err := process.Stat()
	if err != nil {
		return sample{}, errors.Annotatef(err, "looking at %s", one.name)
	}
	files, err := process.FileDescriptorsLen()
	if err != nil {
		return sample{}, errors.Annotatef(err, "looking at %s", one.name)
	}
	taken := sample{at: time.Now(), cpu: stat.CPUTime(), resident: stat.ResidentMemory(), files: files}
	return taken, r.fetch(one.figures+hollow.PathFigures, &taken.wire)
}

func (r *run) fetch(url string, into any) error {
	life, release := span.Within(r.life, lookLimit)
	defer release()
	request, err := http.NewRequestWithContext(life, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := r.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("%s answers %d", url, response.StatusCode)
	}
	return json.NewDecoder(response.Body).Decode(into)
}

// pressure is for how many seconds, so far, something on the machine waited for a processor.
func pressure() float64 {
	system, err := procfs.NewDefaultFS()
	if err != nil {
		return 0
	}
	told, err := system.PSIStatsForResource("cpu")
	if err != nil || told.Some == nil {
		return 0
	}
	return float64(told.Some.Total) / 1e6
}

// resident is what all children hold now, in bytes.
func (r *run) resident() int {
	sum := 0
	for _, one := range r.all() {
		process, err := procfs.NewProc(one.command.Process.Pid)
		if err != nil {
			continue
		}
		if stat, err := process.Stat(); err == nil {
			sum += stat.ResidentMemory()
		}
	}
	return sum
}
