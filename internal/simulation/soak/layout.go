package soak

import (
	"fmt"
	"maps"
	"path/filepath"
	"slices"

	"go.yaml.in/yaml/v3"

	"gannetline/internal/control/replication/quorum"
)

// Role is the subcommand of the program that a process runs.
type Role string

// The roles that a soak starts.
const (
	RoleSteward Role = "steward"
	RoleGate    Role = "gate"
	RoleProxy   Role = "local-proxy"
	// RoleStorage is started only if the mix has a tier.
	RoleStorage Role = "storage"
)

// The ports are the same on all addresses.
const (
	controlPort   = 8166
	frontPort     = 8161
	readinessPort = 8167
	executorPort  = 8080
	reportPort    = 7800
	internalPort  = 7720
	internalPorts = 16
)

// The third octet of an address identifies the kind of process at it.
const (
	gateOctet    = 1
	stewardOctet = 2
	workerOctet  = 3
	relayOctet   = 4
	engineOctet  = 5
	storageOctet = 6
)

// Values of the settings, in the units of the settings file.
const (
	graceSeconds  = 6
	configApplyMs = 3000
	// statusSeconds is the retention of the states of ended jobs, which is longer than any soak.
	statusSeconds    = 3600
	heartbeatMs      = 1000
	executorCPU      = 4000
	executorMemoryMB = 4096
	// processesForLosses is the number of processes from which a soak tolerates the loss of two stewards.
	processesForLosses = 16
	// maxStewardNames is an upper limit of the number of stewards, including replacements.
	maxStewardNames = 100
	serviceName     = "soak"
)

// Node is the name, role and address of one process.
type Node struct {
	Name string
	Role Role
	IP   string
}

// Layout is the set of processes and their addresses. Losses is the number of stewards that may be lost at the same time.
type Layout struct {
	Network  string
	Losses   int
	Stewards []Node
	Gates    []Node
	Proxies  []Node
	// Storages is empty without a tier. The storages are additional to the requested number of processes.
	Storages []Node
	Mix      *Mix
	// LeavesOutTenants makes configurations name no tenants although the contracts allow them.
	LeavesOutTenants bool
	// HasVersions spreads the local proxies over the versions of the service.
	HasVersions bool
}

// NewLayout spreads a number of processes over the roles. One of the processes runs all fake executors of jobs.
func NewLayout(processes int, network string) *Layout {
	layout := &Layout{Network: network, Losses: 1, Mix: defaultMix()}
	if processes >= processesForLosses {
		layout.Losses = 2
	}
	stewards := quorum.VotersFor(layout.Losses)
	others := processes - stewards - 1
	gates := max(2, others/3)
	for number := range stewards {
		layout.Stewards = append(layout.Stewards, layout.steward(number))
	}
	for number := range gates {
		layout.Gates = append(layout.Gates, Node{fmt.Sprintf("gate-%d", number+1), RoleGate, layout.address(gateOctet, number)})
	}
	for number := range others - gates {
		layout.Proxies = append(layout.Proxies, Node{fmt.Sprintf("worker-%d", number+1), RoleProxy, layout.address(workerOctet, number)})
	}
	return layout
}

// NewMixedLayout returns the layout of NewLayout with a mix, and with storages if the mix has a tier.
func NewMixedLayout(processes int, network string, mix *Mix) *Layout {
	layout := NewLayout(processes, network)
	layout.Mix = mix
	if mix.Has(FeatureTier) {
		for number := range quorum.VotersFor(layout.Losses) {
			layout.Storages = append(layout.Storages, Node{fmt.Sprintf("storage-%d", number+1), RoleStorage, layout.address(storageOctet, number)})
		}
	}
	return layout
}

// zoneName returns the name of the zone with a zero-based number.
func zoneName(number int) string { return fmt.Sprintf("zone-%d", number+1) }

// zoneOf returns the zone of a node; the nodes of each role are spread over all zones.
func (l *Layout) zoneOf(node Node) string {
	number := slices.Index(l.nodes(node.Role), node)
	if number < 0 {
		// Replacement stewards are not in the layout; all get the same zone.
		number = len(l.Stewards)
	}
	return zoneName(number % l.Mix.Zones)
}

// zones maps the name of each node to its zone.
func (l *Layout) zones() map[string]string {
	all := map[string]string{}
	for _, role := range []Role{RoleSteward, RoleGate, RoleProxy, RoleStorage} {
		for _, node := range l.nodes(role) {
			all[node.Name] = l.zoneOf(node)
		}
	}
	return all
}

// region is the region of all zones.
const region = "region-1"

// stewardNames returns the set of the names of the initial stewards and of possible replacements.
func (l *Layout) stewardNames() map[string]bool {
	names := map[string]bool{}
	for number := range maxStewardNames {
		names[l.steward(number).Name] = true
	}
	return names
}

// zoneRegions maps each zone of the mix to its region.
func (l *Layout) zoneRegions() map[string]string {
	all := map[string]string{}
	for number := range l.Mix.Zones {
		all[zoneName(number)] = region
	}
	return all
}

// steward returns the steward with a zero-based number. Numbers beyond the layout's stewards are replacements.
func (l *Layout) steward(number int) Node {
	return Node{fmt.Sprintf("steward-%d", number+1), RoleSteward, l.address(stewardOctet, number)}
}

func (l *Layout) address(octet, number int) string {
	return fmt.Sprintf("%s.%d.%d", l.Network, octet, number+1)
}

// relayAddress returns the address at which the clients of a gate connect.
func (l *Layout) relayAddress(number int) string {
	return endpoint(l.address(relayOctet, number), frontPort)
}

// reportAddress returns the address at which the fake executors report their runs.
func (l *Layout) reportAddress() string { return endpoint(l.address(workerOctet, 0), reportPort) }

// nodes returns the initial processes of a role.
func (l *Layout) nodes(role Role) []Node {
	switch role {
	case RoleSteward:
		return l.Stewards
	case RoleGate:
		return l.Gates
	case RoleStorage:
		return l.Storages
	}
	return l.Proxies
}

func endpoint(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

// settingsFields are the settings that a soak writes.
type settingsFields struct {
	Name           string            `yaml:"node-name"`
	Role           Role              `yaml:"node-role"`
	IP             string            `yaml:"ip-address"`
	Zone           string            `yaml:"zone"`
	Region         string            `yaml:"region"`
	Zones          map[string]string `yaml:"zones"`
	Initial        bool              `yaml:"initial-start"`
	Seeds          []string          `yaml:"seed-nodes"`
	InternalPorts  []int             `yaml:"internal-port-range"`
	HeartbeatMs    int               `yaml:"heartbeat-interval-ms"`
	Listen         map[string]string `yaml:"listen-addresses"`
	DataDirectory  string            `yaml:"data-directory,omitempty"`
	FaultTolerance map[string]int    `yaml:"fault-tolerance"`
	Bounds         map[string]int    `yaml:"protocol-bounds"`
	Contracts      []string          `yaml:"active-contracts"`
	OrderList      string            `yaml:"order-list"`
	Platform       map[string]string `yaml:"platform-api,omitempty"`
	App            string            `yaml:"app,omitempty"`
	Service        string            `yaml:"service,omitempty"`
}

// settingsOf returns the text of the settings file of a node, with the mistake of the settings fault. seeds are addresses of
// stewards. isInitial is true at the first start of the cluster.
func (l *Layout) settingsOf(node Node, folder string, seeds []string, isInitial bool, fault SettingsFault) ([]byte, error) {
	fields := settingsFields{Name: node.Name, Role: node.Role, IP: node.IP, Zone: l.zoneOf(node), Region: region, Zones: l.zoneRegions(), Initial: isInitial, Seeds: seeds,
		InternalPorts: []int{internalPort, internalPort + internalPorts - 1}, HeartbeatMs: l.Mix.HeartbeatMs, OrderList: l.Mix.OrderList,
		FaultTolerance: map[string]int{"machine-losses": l.Losses},
		Bounds:         map[string]int{"grace-period-s": graceSeconds, "config-apply-ms": configApplyMs, "status_s": statusSeconds, "history-s": historySeconds},
		Contracts:      l.Mix.contracts()}
	maps.Copy(fields.Bounds, l.Mix.bounds())
	if address := l.platformAddress(); address != "" {
		fields.Platform = map[string]string{"address": address}
	}
	switch node.Role {
	case RoleSteward:
		fields.Listen = map[string]string{"control-plane": endpoint(node.IP, controlPort)}
		fields.DataDirectory = dataFolder(folder, node)
	case RoleStorage:
		fields.DataDirectory = dataFolder(folder, node)
	case RoleGate:
		fields.Listen = map[string]string{"front-plain": endpoint(node.IP, frontPort), "readiness": endpoint(node.IP, readinessPort)}
	case RoleProxy:
		fields.Listen = map[string]string{"control-plane": endpoint(node.IP, controlPort)}
		fields.App, fields.Service = endpoint(node.IP, executorPort), l.serviceOf(node)
	}
	fault.applyTo(&fields, l.Mix)
	return yaml.Marshal(fields)
}

// serviceOf returns the service of the executor beside a local proxy.
func (l *Layout) serviceOf(node Node) string {
	number := slices.Index(l.Proxies, node)
	switch {
	case l.HasVersions:
		return versionOf(number)
	case l.Mix.Has(FeatureMoves) && number%2 == 1:
		return movedServiceName
	}
	return serviceName
}

func dataFolder(folder string, node Node) string   { return filepath.Join(folder, node.Name+".data") }
func settingsPath(folder string, node Node) string { return filepath.Join(folder, node.Name+".yaml") }
