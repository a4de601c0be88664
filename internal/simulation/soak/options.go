package soak

import (
	"net"
	"os"
	"time"

	"github.com/juju/errors"
	"go.uber.org/multierr"
)

// The bounds of a soak. MinProcesses allows for three stewards, two gates, two local proxies and the process of the fake
// executors. With MaxProcesses the machine can still do other work.
const (
	MinProcesses = 8
	MaxProcesses = 200
	MinLength    = 15 * time.Second
	MaxLength    = 30 * time.Minute
)

// Options configure a soak.
type Options struct {
	// Seed determines the schedule and the actions of clients.
	Seed uint64
	// Length is the time in which clients and faults are active, without start, settling and shutdown.
	Length    time.Duration
	Processes int
	// Kinds are the kinds of faults to draw from; without any, the soak has no faults.
	Kinds []FaultKind
	// Keep is the folder for settings, logs and data. If it is empty, a temporary folder is used.
	Keep string
	// Program is the path of the gannetline binary.
	Program string
	// Network is the first two octets of the loopback addresses, for example 127.92.
	Network string
	// InjectedFault is put into the data of relays or into the observations, to check that the oracle of the same name finds it.
	InjectedFault InjectedFault
	// Rollouts makes the operator roll out a bad version of the service, and a good one after it.
	Rollouts bool
	// Mix selects the features of the deployment; nil means defaultMix.
	Mix *Mix
	// Parts are the parts of the system that get load; nil means all.
	Parts []Part
	// Pace multiplies the usual call rate of clients; 0 means 1.
	Pace float64
	// SettingsFault is a mistake in the settings, to check that an oracle finds its effects.
	SettingsFault SettingsFault
	// Schedule replaces the drawn schedule if it isn't nil.
	Schedule *Schedule
}

// Layout returns the processes of the soak and their addresses.
func (o *Options) Layout() *Layout {
	if o.Mix == nil {
		return NewLayout(o.Processes, o.Network)
	}
	layout := NewMixedLayout(o.Processes, o.Network, o.Mix)
	layout.LeavesOutTenants = !o.isBusy(PartTenants)
	return layout
}

// pace returns the factor by which the usual call rate of clients is multiplied.
func (o *Options) pace() float64 {
	if o.Pace == 0 {
		return 1
	}
	return o.Pace
}

// jobClients returns the number of job clients at each gate.
func (o *Options) jobClients() int {
	if !o.isBusy(PartJobs) && !o.isBusy(PartTenants) {
		return 0
	}
	return clientsPerGate
}

// Check returns all problems of the options, each with the name of its flag.
func (o *Options) Check() error {
	var problems error
	refuse := func(format string, arguments ...any) {
		problems = multierr.Append(problems, errors.Errorf(format, arguments...))
	}
	if o.Length < MinLength || o.Length > MaxLength {
		refuse("--seconds must be %.0f to %.0f, not %.0f", MinLength.Seconds(), MaxLength.Seconds(), o.Length.Seconds())
	}
	if o.Processes < MinProcesses || o.Processes > MaxProcesses {
		refuse("--processes must be %d to %d, not %d", MinProcesses, MaxProcesses, o.Processes)
	}
	for _, kind := range o.Kinds {
		if !kind.isKnown() {
			refuse("--faults: there is no fault %q; there are %v", kind, AllFaults)
		}
	}
	if !o.InjectedFault.isKnown() {
		refuse("--plant: there is no injected fault %q; there are %v", o.InjectedFault, AllInjectedFaults)
	}
	if !o.SettingsFault.isKnown() {
		refuse("--wrong-settings: there is no fault %q; there are %v", o.SettingsFault, AllSettingsFaults)
	}
	if o.SettingsFault == ForgetContracts && (o.Mix == nil || len(o.Mix.Features) == 0) {
		refuse("--wrong-settings %s needs a --mix with a feature", o.SettingsFault)
	}
	if o.Mix != nil && o.Rollouts {
		refuse("--mix and --rollouts can't be played together")
	}
	if ip := net.ParseIP(o.Network + ".0.1").To4(); ip == nil || !ip.IsLoopback() {
		refuse("--network: %q is not the first two octets of loopback addresses", o.Network)
	}
	if o.Rollouts && len(NewLayout(o.Processes, o.Network).Proxies) < proxiesForRollouts {
		refuse("--rollouts needs more --processes, so that there are %d local proxies", proxiesForRollouts)
	}
	if _, err := os.Stat(o.Program); err != nil {
		refuse("--program: %v", err)
	}
	if o.Schedule != nil {
		problems = multierr.Append(problems, o.Schedule.check(o.Layout()))
	}
	return problems
}
