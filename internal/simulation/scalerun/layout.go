package scalerun

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"

	"github.com/juju/errors"
	"go.yaml.in/yaml/v3"

	"gannetline/internal/cluster/membership"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/settings"
	"gannetline/internal/simulation/hollow"
)

const (
	service       = "scale"
	host          = "scale.example"
	controlPort   = 8166
	frontPort     = 8161
	readinessPort = 8167
	appPort       = 8080
	internalPort  = 7720
	reportPort    = 7800

	rowStewards = 0
	rowGates    = 1
	rowReports  = 2
	rowWorkers  = 10
	perRow      = 250

	workerCPU    = 64_000
	workerMemory = 128_000
	perRack      = 20
	zoneCount    = 5
	seedCount    = 3

	roleGate   = "gate"
	roleWorker = "worker"
)

// node is one process or hollow worker: its settings file and its addresses.
type node struct {
	name     string
	role     string
	ip       string
	settings string
}

func (n node) at(port int) string { return fmt.Sprintf("%s:%d", n.ip, port) }

// layout is everything a size needs on disk before it starts.
type layout struct {
	folder    string
	block     netip.Prefix
	stewards  []node
	gates     []node
	workers   []node
	hostSpecs []hostSpec
}

// hostSpec is a process of hollow workers: its spec file and the address of its pages.
type hostSpec struct {
	path   string
	report string
}

// address gives the address of a node by its row and its number in it.
func (l *layout) address(row, number int) string {
	base := l.block.Addr().As4()
	return netip.AddrFrom4([4]byte{base[0], base[1], byte(row + number/perRow), byte(1 + number%perRow)}).String()
}

func (l *layout) seeds() []string {
	var seeds []string
	for _, steward := range l.stewards[:min(seedCount, len(l.stewards))] {
		seeds = append(seeds, steward.at(controlPort))
	}
	return seeds
}

// layOut writes all settings and specs of a size into a folder.
func layOut(setup *Setup, workers int, folder string) (*layout, error) {
	block, err := blockOf(setup.Addresses)
	if err != nil {
		return nil, err
	}
	l := &layout{folder: folder, block: block}
	take := func(role string, row, count int) []node {
		var nodes []node
		for number := range count {
			name := fmt.Sprintf("%s-%d", role, number+1)
			nodes = append(nodes, node{name: name, role: role, ip: l.address(row, number), settings: filepath.Join(folder, name+".yaml")})
		}
		return nodes
	}
	l.stewards, l.gates = take(membership.RoleSteward, rowStewards, setup.Stewards), take(roleGate, rowGates, setup.Gates)
	l.workers = take(roleWorker, rowWorkers, workers)
	for _, nodes := range [][]node{l.stewards, l.gates, l.workers} {
		for number, written := range nodes {
			if err := l.writeSettings(written, number); err != nil {
				return nil, err
			}
		}
	}
	return l, l.writeSpecs(workers)
}

func zoneOf(number int) string { return fmt.Sprintf("zone-%d", number%zoneCount+1) }

// writeSettings writes the settings file of a node, and makes the data directory of a steward.
func (l *layout) writeSettings(of node, number int) error {
	nodeSettings := settings.Settings{NodeName: of.name, NodeRole: of.role, IPAddress: of.ip, Domain: zoneOf(number),
		InternalPorts: []int{internalPort, internalPort + 15}, Seeds: l.seeds(), InitialStart: true, HeartbeatMs: 1500}
	nodeSettings.Bounds.StatusS = 120
	switch of.role {
	case membership.RoleSteward:
		nodeSettings.Listen.Control = of.at(controlPort)
		nodeSettings.DataDirectory = filepath.Join(l.folder, of.name)
		nodeSettings.FaultTolerance.MachineLosses = min(maxLosses, (len(l.stewards)-1)/2)
		nodeSettings.Limits.MemoryMB = 1024
		if err := os.Mkdir(nodeSettings.DataDirectory, 0o700); err != nil {
			return errors.Annotate(err, "making a data directory")
		}
	case roleGate:
		nodeSettings.Listen.Front, nodeSettings.Listen.Readiness = of.at(frontPort), of.at(readinessPort)
	case roleWorker:
		nodeSettings.Listen.Control, nodeSettings.App, nodeSettings.Service = of.at(controlPort), of.at(appPort), service
	}
	text, err := yaml.Marshal(nodeSettings)
	if err != nil {
		return errors.Annotate(err, "writing settings")
	}
	return errors.Annotate(os.WriteFile(of.settings, text, 0o600), "writing settings")
}

// realProxyNodes are the workers whose local-proxy is a process of its own.
func (l *layout) realProxyNodes() []node { return l.workers[:min(realProxies, len(l.workers))] }

// writeSpecs divides the workers among processes and writes the spec file of each.
func (l *layout) writeSpecs(workers int) error {
	for first := 0; first < workers; first += perHost {
		spec := hollow.Spec{Report: fmt.Sprintf("%s:%d", l.address(rowReports, first/perHost), reportPort),
			ForMs: hollow.MaxRunTime.Milliseconds()}
		for number := first; number < min(first+perHost, workers); number++ {
			spec.Workers = append(spec.Workers, hollow.Worker{Settings: l.workers[number].settings,
				Capacity: wire.Capacity{CPU: workerCPU, Memory: workerMemory, GPU: 2},
				Labels:   []string{"a", fmt.Sprintf("r%d", number/perRack)}, ClockRate: 1 - float64(number%21)/1000,
				IsExecutorOnly: number < len(l.realProxyNodes())})
		}
		path := filepath.Join(l.folder, fmt.Sprintf("host-%d.json", first/perHost+1))
		text, err := json.Marshal(spec)
		if err != nil {
			return errors.Annotate(err, "writing a spec")
		}
		if err := os.WriteFile(path, text, 0o600); err != nil {
			return errors.Annotate(err, "writing a spec")
		}
		l.hostSpecs = append(l.hostSpecs, hostSpec{path, spec.Report})
	}
	return nil
}
