// Package settings reads and validates the settings file of a process.
package settings

import (
	"net"
	"os"
	"slices"
	"time"

	"github.com/juju/errors"
	"go.uber.org/multierr"
	"go.yaml.in/yaml/v3"

	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/queuerules"
)

// PathVariable is the environment variable that names the settings file.
const PathVariable = "GANNETLINE_BOOT"

const (
	// minMetricsLogS and maxMetricsLogS bound the interval of the metrics log, in seconds.
	minMetricsLogS = 1
	maxMetricsLogS = 86400
	maxPort        = 65535
)

// Limits holds the resources of the machine that the process may use. CPUFraction is its share of a core. CoreCount is a factor on the speed
// of that core. Sizes are in MB. The process reads only MemoryMB and FileDescriptors.
type Limits struct {
	CPUFraction     float64 `yaml:"cpu-fraction"`
	CoreCount       int     `yaml:"core-count"`
	MemoryMB        int64   `yaml:"memory-mb"`
	FileDescriptors int     `yaml:"file-descriptors"`
	DiskMB          int64   `yaml:"disk-mb"`
}

// Listen holds the addresses, as IP:PORT, at which the process serves. Addresses that its role doesn't need are empty.
type Listen struct {
	Front     string `yaml:"front-plain"`
	Readiness string `yaml:"readiness"`
	Control   string `yaml:"control-plane"`
}

// FaultTolerance holds the number of machines that may fail at once while all guarantees still hold.
type FaultTolerance struct {
	MachineLosses int `yaml:"machine-losses"`
}

// PlatformAPI configures the API through which the platform lists the executors. Address is its IP:PORT. It is empty if the system keeps its
// own list. RatePerS is the number of calls per second that the API accepts from all processes together.
type PlatformAPI struct {
	Address  string  `yaml:"address"`
	RatePerS float64 `yaml:"rate-per-s"`
}

// UnmarshalYAML ignores a value that is not a mapping, because deployments without the platform may leave the field empty.
func (p *PlatformAPI) UnmarshalYAML(node *yaml.Node) error {
	type fields PlatformAPI
	if node.Kind != yaml.MappingNode {
		return nil
	}
	return node.Decode((*fields)(p))
}

// The contracts that decide what gates and stewards serve.
const (
	// ContractJobs makes gates accept jobs, also if they forward requests.
	ContractJobs = "sched"
	// ContractStreams makes gates forward requests to executors.
	ContractStreams = "stream"
	// ContractLots makes gates accept lots, which are batches of requests that run later.
	ContractLots = "batch"
	// ContractCoordination makes stewards serve locks, numbers and cells for applications.
	ContractCoordination = "coord"
)

// Settings holds the settings file of a process. Unknown fields of the file are ignored, and missing bounds get defaults.
type Settings struct {
	// NodeName is unique among all processes of the system.
	NodeName     string   `yaml:"node-name"`
	NodeRole     string   `yaml:"node-role"`
	MachineClass string   `yaml:"machine-class"`
	ServedRoles  []string `yaml:"served-roles"`
	IPAddress    string   `yaml:"ip-address"`
	// Domain is the zone of this machine.
	Domain string `yaml:"zone"`
	Region string `yaml:"region"`
	// Domains maps each zone to its region.
	Domains map[string]string `yaml:"zones"`
	Listen  Listen            `yaml:"listen-addresses"`
	// InternalPorts holds the first and the last port of the range in which this process listens for calls of other processes.
	InternalPorts []int `yaml:"internal-port-range"`
	// Seeds holds control-plane addresses of stewards, possibly including that of this process. Some of these processes may be down or removed.
	Seeds []string `yaml:"seed-nodes"`
	// InitialStart is true only at the first start of the whole system, with empty disks.
	InitialStart bool `yaml:"initial-start"`
	// LossCounted is true if this machine counts towards FaultTolerance while it is lost.
	LossCounted bool   `yaml:"loss-counted"`
	Limits      Limits `yaml:"limits"`
	// DataDirectory is the only folder that is kept when the process ends. It is empty on machines without a disk.
	DataDirectory  string         `yaml:"data-directory"`
	HeartbeatMs    int64          `yaml:"heartbeat-interval-ms"`
	FaultTolerance FaultTolerance `yaml:"fault-tolerance"`
	Bounds         Bounds         `yaml:"protocol-bounds"`
	// Contracts lists the active contracts. Those with a meaning to gannetline are ContractJobs to ContractCoordination.
	Contracts []string    `yaml:"active-contracts"`
	Platform  PlatformAPI `yaml:"platform-api"`
	// OrderList is "invocation" or "heartbeat".
	OrderList string `yaml:"order-list"`
	// App is the address of the executor beside a local proxy.
	App string `yaml:"app"`
	// Service is the service to which that executor belongs.
	Service   string `yaml:"service"`
	LogLevel  int    `yaml:"log-level"`
	RecordDay bool   `yaml:"record-day"`
	// RecordDescriptors includes the task descriptors of jobs in the recording of the day.
	RecordDescriptors bool `yaml:"record-descriptors"`
	// MetricsLogS is the interval, in seconds, at which the metrics are logged. 0 disables the log.
	MetricsLogS float64 `yaml:"metrics-log-s"`

	// QueueRules holds the rules of queues by the name of the queue.
	QueueRules map[string]queuerules.Text `yaml:"queue-rules"`
}

// Path returns the path of the settings file from the environment, or the default /etc/gannetline/local.yaml.
func Path() string {
	if path := os.Getenv(PathVariable); path != "" {
		return path
	}
	return "/etc/gannetline/local.yaml"
}

// Load reads a settings file, sets defaults and validates it. An error names the file or the invalid fields.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Annotatef(err, "reading the settings file %s", path)
	}
	return Parse(text)
}

// Parse decodes settings from YAML, sets defaults and validates them. An error names the invalid fields.
func Parse(text []byte) (*Settings, error) {
	settings := &Settings{}
	if err := yaml.Unmarshal(text, settings); err != nil {
		return nil, errors.Annotate(err, "settings")
	}
	settings.fillDefaults()
	if err := settings.check(); err != nil {
		return nil, errors.Annotate(err, "settings")
	}
	return settings, nil
}

// setDefault sets a field that has the zero value.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func (s *Settings) fillDefaults() {
	setDefault(&s.Bounds.ContactWindowMs, 3000)
	setDefault(&s.Bounds.AckTimeoutMs, 4000)
	setDefault(&s.Bounds.CatchUpS, 4)
	setDefault(&s.Bounds.DrainTimeoutMs, 2000)
	setDefault(&s.Bounds.GracePeriodS, 6)
	setDefault(&s.Bounds.ConfigApplyMs, 2000)
	setDefault(&s.Bounds.MaxHoldMs, 6000)
	setDefault(&s.Bounds.StopTimeoutMs, 400)
	setDefault(&s.Bounds.GangWaitMs, 3000)
	setDefault(&s.Bounds.EarlyMs, 250)
	setDefault(&s.Bounds.StatusS, 120)
	setDefault(&s.Bounds.RemoteFactor, 1.5)
	setDefault(&s.Bounds.CheckpointIntervalS, 2)
	setDefault(&s.Bounds.RestoreTimeMs, 600)
	setDefault(&s.Bounds.RevokeTimeoutMs, 5000)
	setDefault(&s.Bounds.QuotaWindowS, 5)
	setDefault(&s.Bounds.HistoryS, 20)
	setDefault(&s.Bounds.ReleaseMs, 1500)
	setDefault(&s.Bounds.EvacuationMs, 5000)
	setDefault(&s.HeartbeatMs, 1500)
	setDefault(&s.OrderList, "invocation")
	setDefault(&s.Limits.MemoryMB, 256)
	setDefault(&s.Limits.FileDescriptors, 1024)
}

// check returns all problems of the settings as one error, or nil.
func (s *Settings) check() error {
	problems := &fieldProblems{}
	s.checkNode(problems)
	s.checkAddresses(problems)
	s.checkRanges(problems)
	if _, err := queuerules.Compile(s.QueueRules); err != nil {
		problems.add("queue-rules", err.Error())
	}
	if s.OrderList != "invocation" && s.OrderList != "heartbeat" {
		problems.add("order-list", "is neither invocation nor heartbeat")
	}
	return problems.err
}

// fieldProblems collects the problems of the settings as one error. Each names its field.
type fieldProblems struct{ err error }

func (p *fieldProblems) add(field, problem string) {
	p.err = multierr.Append(p.err, errors.Errorf("field %q %s", field, problem))
}

// checkNode checks the fields that identify and locate this machine.
func (s *Settings) checkNode(problems *fieldProblems) {
	if s.NodeName == "" {
		problems.add("node-name", "is missing")
	}
	if net.ParseIP(s.IPAddress) == nil {
		problems.add("ip-address", "is not an IP number")
	}
	if s.Domain == "" {
		problems.add("zone", "is missing")
	}
	if len(s.InternalPorts) != 2 || s.InternalPorts[0] < 1 || s.InternalPorts[1] > maxPort || s.InternalPorts[0] > s.InternalPorts[1] {
		problems.add("internal-port-range", "must be two rising port numbers")
	}
}

// checkAddresses checks the seeds and the optional addresses.
func (s *Settings) checkAddresses(problems *fieldProblems) {
	if len(s.Seeds) == 0 {
		problems.add("seed-nodes", "is empty")
	}
	for _, seed := range s.Seeds {
		if !isAddress(seed) {
			problems.add("seed-nodes", "holds "+seed+", which is not ip:port")
		}
	}
	for field, address := range map[string]string{"listen-addresses.front-plain": s.Listen.Front,
		"listen-addresses.readiness": s.Listen.Readiness, "listen-addresses.control-plane": s.Listen.Control, "app": s.App,
		"platform-api.address": s.Platform.Address} {
		if address != "" && !isAddress(address) {
			problems.add(field, "is not ip:port")
		}
	}
}

// checkRanges checks the ranges of numeric fields.
func (s *Settings) checkRanges(problems *fieldProblems) {
	for field, value := range map[string]int64{"max-hold-ms": s.Bounds.MaxHoldMs, "contact-window-ms": s.Bounds.ContactWindowMs,
		"stop-timeout-ms": s.Bounds.StopTimeoutMs, "gang-wait-ms": s.Bounds.GangWaitMs, "early_ms": s.Bounds.EarlyMs,
		"drain-timeout-ms": s.Bounds.DrainTimeoutMs, "revoke-timeout-ms": s.Bounds.RevokeTimeoutMs,
		"release-ms": s.Bounds.ReleaseMs, "evacuation-ms": s.Bounds.EvacuationMs, "heartbeat-interval-ms": s.HeartbeatMs, "limits.memory-mb": s.Limits.MemoryMB} {
		if value < 0 {
			problems.add(field, "is negative")
		}
	}
	if !(s.MetricsLogS == 0 || s.MetricsLogS >= minMetricsLogS && s.MetricsLogS <= maxMetricsLogS) {
		problems.add("metrics-log-s", "is neither 0 nor from 1 to 86400 seconds")
	}
	if s.Bounds.QuotaOverrun < 0 || s.Bounds.QuotaWindowS < 0 {
		problems.add("quota-overrun or quota-window-s", "is negative")
	}
	if s.Bounds.HistoryS < 0 {
		problems.add("history-s", "is negative")
	}
	if s.Bounds.RemoteFactor < 1 {
		problems.add("remote-factor", "is below 1")
	}
}

// Require returns an error if a field that only some roles need is missing although this role needs it.
func (s *Settings) Require(role string) error {
	requiredFields := map[string]map[string]string{
		"gate":        {"listen-addresses.front-plain": s.Listen.Front, "listen-addresses.readiness": s.Listen.Readiness},
		"steward":     {"listen-addresses.control-plane": s.Listen.Control},
		"storage":     {"data-directory": s.DataDirectory},
		"local-proxy": {"listen-addresses.control-plane": s.Listen.Control, "app": s.App, "service": s.Service},
	}
	for field, value := range requiredFields[role] {
		if value == "" {
			return errors.Errorf("settings: field %q is missing, and the role %s needs it", field, role)
		}
	}
	return nil
}

// ServesJobs reports whether gates accept jobs. They do if ContractJobs is active, and also if neither ContractStreams nor
// ContractLots is.
func (s *Settings) ServesJobs() bool {
	return slices.Contains(s.Contracts, ContractJobs) || !s.ServesRequests()
}

// ServesRequests reports whether gates forward requests to executors or accept lots.
func (s *Settings) ServesRequests() bool {
	return slices.Contains(s.Contracts, ContractStreams) || slices.Contains(s.Contracts, ContractLots)
}

// ServesCoordination reports whether stewards serve locks, numbers and cells for applications.
func (s *Settings) ServesCoordination() bool {
	return slices.Contains(s.Contracts, ContractCoordination)
}

// HasZone reports whether a zone is this machine's own or listed in the settings.
func (s *Settings) HasZone(zone string) bool {
	_, isListed := s.Domains[zone]
	return isListed || zone == s.Domain
}

// isAddress reports whether a text is IP:PORT.
func isAddress(text string) bool {
	host, port, err := net.SplitHostPort(text)
	return err == nil && net.ParseIP(host) != nil && port != ""
}

// GracePeriod returns the time from SIGTERM until the process must have exited.
func (s *Settings) GracePeriod() time.Duration {
	return time.Duration(s.Bounds.GracePeriodS * float64(time.Second))
}

// MetricsLog returns the interval at which a process logs its metrics. 0 disables the log.
func (s *Settings) MetricsLog() time.Duration {
	return time.Duration(s.MetricsLogS * float64(time.Second))
}

// History returns the time after the receipt of a revision during which a watcher of cells can continue from it.
func (s *Settings) History() time.Duration {
	return time.Duration(s.Bounds.HistoryS * float64(time.Second))
}

// Release returns the time after the end of a holder's hold time during which a lock may still be refused to others.
func (s *Settings) Release() time.Duration { return clock.Milliseconds(s.Bounds.ReleaseMs) }

// MaxHold returns the longest time for which an executor keeps its runs without a renewal.
func (s *Settings) MaxHold() time.Duration { return clock.Milliseconds(s.Bounds.MaxHoldMs) }
