// Package settings reads and checks the settings file of a process.
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
	minMetricsLogS = 1
	maxMetricsLogS = 86400
	maxPort        = 65535
)

// Limits are what the process may use of its machine. CPUFraction is the share of a core, CoreCount the speed of
// that core as a multiple; sizes are in MB.
type Limits struct {
	CPUFraction     float64 `yaml:"cpu-fraction"`
	CoreCount       int     `yaml:"core-count"`
	MemoryMB        int64   `yaml:"memory-mb"`
	FileDescriptors int     `yaml:"file-descriptors"`
	DiskMB          int64   `yaml:"disk-mb"`
}

// Listen holds the addresses, IP:PORT, that the process serves; those that its role does not need are empty.
type Listen struct {
	Front     string `yaml:"front-plain"`
	Readiness string `yaml:"readiness"`
	Control   string `yaml:"control-plane"`
}

// FaultTolerance says what may be lost at once with all promises kept.
type FaultTolerance struct {
	MachineLosses int `yaml:"machine-losses"`
}

// PlatformAPI is where the platform lists the executors, IP:PORT, and how many calls a second it takes from all processes together.
// The address is empty where the system keeps its own list.
type PlatformAPI struct {
	Address  string  `yaml:"address"`
	RatePerS float64 `yaml:"rate-per-s"`
}

// UnmarshalYAML takes a field that is no mapping for one that is left out, as deployments without the platform may have it empty.
func (p *PlatformAPI) UnmarshalYAML(node *yaml.Node) error {
	type fields PlatformAPI
	if node.Kind != yaml.MappingNode {
		return nil
	}
	return node.Decode((*fields)(p))
}

// The parts of the rules that decide what gates and stewards serve.
const (
	// ContractJobs has gates take jobs, also where they pass requests on.
	ContractJobs = "sched"
	// ContractStreams has gates pass requests on to executors.
	ContractStreams = "stream"
	// ContractLots has gates take lots of requests that are run later.
	ContractLots = "batch"
	// ContractCoordination has stewards keep locks, numbers and cells of applications.
	ContractCoordination = "coord"
)

// Settings is the settings file of a process. Fields that it does not know are ignored, and missing bounds get
// defaults.
type Settings struct {
	// NodeName names the process among all others of the system.
	NodeName     string   `yaml:"node-name"`
	NodeRole     string   `yaml:"node-role"`
	MachineClass string   `yaml:"machine-class"`
	ServedRoles  []string `yaml:"served-roles"`
	IPAddress    string   `yaml:"ip-address"`
	Domain       string   `yaml:"zone"`
	Region       string   `yaml:"region"`
	// Domains maps each zone to its region.
	Domains map[string]string `yaml:"zones"`
	Listen  Listen            `yaml:"listen-addresses"`
	// InternalPorts is the first and the last port that processes may use among themselves.
	InternalPorts []int `yaml:"internal-port-range"`
	// Seeds are control-plane addresses of other machines; some of them may be down or gone.
	Seeds []string `yaml:"seed-nodes"`
	// InitialStart is true only when the whole system starts for the first time, with empty disks.
	InitialStart bool `yaml:"initial-start"`
	// LossCounted says that this machine counts towards FaultTolerance while it is lost.
	LossCounted bool   `yaml:"loss-counted"`
	Limits      Limits `yaml:"limits"`
	// DataDirectory is the only folder that outlives the process; empty on machines without a disk.
	DataDirectory  string         `yaml:"data-directory"`
	HeartbeatMs    int64          `yaml:"heartbeat-interval-ms"`
	FaultTolerance FaultTolerance `yaml:"fault-tolerance"`
	Bounds         Bounds         `yaml:"protocol-bounds"`
	// Contracts names the parts of the rules that are in force.
	Contracts []string    `yaml:"active-contracts"`
	Platform  PlatformAPI `yaml:"platform-api"`
	OrderList string      `yaml:"order-list"`
	// App is the address of the executor beside a local proxy, and Service the service that it belongs to.
	App         string `yaml:"app"`
	Service     string `yaml:"service"`
	LogLevel    int    `yaml:"log-level"`
	RecordDay   bool   `yaml:"record-day"`
	RecordWords bool   `yaml:"record-descriptors"`
	// MetricsLogS is how often, in seconds, the metrics are logged; 0 is never.
	MetricsLogS float64 `yaml:"metrics-log-s"`

	QueueRules map[string]queuerules.Text `yaml:"queue-rules"`
}

// Path is the settings file named by the environment, or else /etc/gannetline/local.yaml.
func Path() string {
	if path := os.Getenv(PathVariable); path != "" {
		return path
	}
	return "/etc/gannetline/local.yaml"
}

// Load reads, completes and checks a settings file. The error names the file, or the field at fault.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Annotatef(err, "reading the settings file %s", path)
	}
	return Parse(text)
}

// Parse reads settings from YAML, fills in defaults and checks them. The error names the field at fault.
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

func setDefault[T comparable](field *T, value T) {
	var none T
	if *field == none {
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

// check returns all that is wrong with the settings, a line a field.
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

// fieldProblems gathers what is wrong, each with the name of its field.
type fieldProblems struct{ err error }

func (p *fieldProblems) add(field, why string) {
	p.err = multierr.Append(p.err, errors.Errorf("field %q %s", field, why))
}

// checkNode checks the fields that tell what and where this machine is.
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

// checkAddresses checks the seeds and the addresses that may be left empty.
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

// checkRanges checks the fields that are numbers.
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

// Require adds what one role needs beyond the rest.
func (s *Settings) Require(role string) error {
	needs := map[string]map[string]string{
		"gate":        {"listen-addresses.front-plain": s.Listen.Front, "listen-addresses.readiness": s.Listen.Readiness},
		"steward":     {"listen-addresses.control-plane": s.Listen.Control},
		"storage":     {"data-directory": s.DataDirectory},
		"local-proxy": {"listen-addresses.control-plane": s.Listen.Control, "app": s.App, "service": s.Service},
	}
	for field, value := range needs[role] {
		if value == "" {
			return errors.Errorf("settings: field %q is missing, and the role %s needs it", field, role)
		}
	}
	return nil
}

// ServesJobs tells whether gates take jobs: where they are told so, and where they are told of nothing else to serve.
func (s *Settings) ServesJobs() bool {
	return slices.Contains(s.Contracts, ContractJobs) || !s.ServesRequests()
}

// ServesRequests tells whether gates pass requests on to executors, or take lots of them.
func (s *Settings) ServesRequests() bool {
	return slices.Contains(s.Contracts, ContractStreams) || slices.Contains(s.Contracts, ContractLots)
}

// ServesCoordination tells whether stewards keep locks, numbers and cells of applications.
func (s *Settings) ServesCoordination() bool {
	return slices.Contains(s.Contracts, ContractCoordination)
}

// HasZone tells whether a zone is this machine's own, or one of those that the settings list.
func (s *Settings) HasZone(zone string) bool {
	_, isListed := s.Domains[zone]
	return isListed || zone == s.Domain
}

func isAddress(text string) bool {
	host, port, err := net.SplitHostPort(text)
	return err == nil && net.ParseIP(host) != nil && port != ""
}

// GracePeriod is the time from SIGTERM until the process must have ended.
func (s *Settings) GracePeriod() time.Duration {
	return time.Duration(s.Bounds.GracePeriodS * float64(time.Second))
}

// MetricsLog is how often a process logs its metrics; 0 is never.
func (s *Settings) MetricsLog() time.Duration {
	return time.Duration(s.MetricsLogS * float64(time.Second))
}

// History is how long a revision that a watcher of cells was given stays good.
func (s *Settings) History() time.Duration {
	return time.Duration(s.Bounds.HistoryS * float64(time.Second))
}

// Release is how long after its holder's time a lock may still be refused to others.
func (s *Settings) Release() time.Duration { return clock.Milliseconds(s.Bounds.ReleaseMs) }

// MaxHold is the longest time for which an executor holds its runs without a renewal.
func (s *Settings) MaxHold() time.Duration { return clock.Milliseconds(s.Bounds.MaxHoldMs) }
