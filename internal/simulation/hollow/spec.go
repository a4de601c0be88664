package hollow

import (
	"encoding/json"
	"net"
	"os"
	"time"

	"github.com/juju/errors"
	"go.uber.org/multierr"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/settings"
)

const (
	// MaxWorkers is the highest number of hollow workers in one process.
	MaxWorkers = 200
	// MaxRunTime is the longest run time of hollow workers.
	MaxRunTime = time.Hour
)

// Worker describes one hollow node: the path of the settings file of its local-proxy, and the stand-in executor of that local-proxy.
// ClockRate is the rate of the executor's clock relative to the real one, from 0.98 to 1.
type Worker struct {
	Settings  string        `json:"settings"`
	Capacity  wire.Capacity `json:"capacity"`
	Labels    []string      `json:"labels"`
	ClockRate float64       `json:"pace"`
	// IsExecutorOnly is set if another process runs the local-proxy, so that only the executor is started here.
	IsExecutorOnly bool `json:"executor-only,omitempty"`
	// FailsFirstRuns makes the first run of each task fail, as a faulty version does.
	FailsFirstRuns bool `json:"fails-first-runs,omitempty"`
}

// Spec describes one process of hollow workers: the workers, the listen address of its report, and its run time in milliseconds.
type Spec struct {
	Workers []Worker `json:"workers"`
	Report  string   `json:"report"`
	ForMs   int64    `json:"for-ms"`
}

// IsLoopback reports whether an address, ip or ip:port, is in 127.0.0.0/8.
func IsLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		host = address
	}
	ip := net.ParseIP(host).To4()
	return ip != nil && ip.IsLoopback()
}

// LoadSpec reads and checks a spec and the settings files of its workers. All addresses must be loopback addresses.
func LoadSpec(path string) (*Spec, []*settings.Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, errors.Annotate(err, "reading the spec")
	}
	spec := &Spec{}
	if err := json.Unmarshal(text, spec); err != nil {
		return nil, nil, errors.Annotate(err, "the spec can't be read")
	}
	if err := spec.check(); err != nil {
		return nil, nil, errors.Annotate(err, "spec")
	}
	var all []*settings.Settings
	for index, worker := range spec.Workers {
		nodeSettings, err := settings.Load(worker.Settings)
		if err != nil {
			return nil, nil, errors.Annotatef(err, "worker %d", index)
		}
		if err := checkAddresses(nodeSettings); err != nil {
			return nil, nil, errors.Annotatef(err, "worker %d", index)
		}
		all = append(all, nodeSettings)
	}
	return spec, all, nil
}

func (s *Spec) check() error {
	var problems error
	if len(s.Workers) < 1 || len(s.Workers) > MaxWorkers {
		problems = multierr.Append(problems, errors.Errorf("field workers must hold 1 to %d, and holds %d", MaxWorkers, len(s.Workers)))
	}
	if !IsLoopback(s.Report) {
		problems = multierr.Append(problems, errors.Errorf("field report: %q is no loopback address", s.Report))
	}
	if s.ForMs < 1 || s.ForMs > MaxRunTime.Milliseconds() {
		problems = multierr.Append(problems, errors.Errorf("field for-ms must be 1 to %d", MaxRunTime.Milliseconds()))
	}
	for index, worker := range s.Workers {
		if worker.ClockRate < 0.98 || worker.ClockRate > 1 {
			problems = multierr.Append(problems, errors.Errorf("worker %d: field pace must be 0.98 to 1", index))
		}
		if worker.Capacity.CPU < 1 || worker.Capacity.Memory < 1 {
			problems = multierr.Append(problems, errors.Errorf("worker %d: field capacity is empty", index))
		}
	}
	return problems
}

func checkAddresses(nodeSettings *settings.Settings) error {
	if err := nodeSettings.Require("local-proxy"); err != nil {
		return err
	}
	for field, address := range map[string]string{"ip-address": nodeSettings.IPAddress, "app": nodeSettings.App,
		"listen-addresses.control-plane": nodeSettings.Listen.Control} {
		if !IsLoopback(address) {
			return errors.Errorf("field %s: %q is no loopback address", field, address)
		}
	}
	for _, seed := range nodeSettings.Seeds {
		if !IsLoopback(seed) {
			return errors.Errorf("field seed-nodes: %q is no loopback address", seed)
		}
	}
	return nil
}
