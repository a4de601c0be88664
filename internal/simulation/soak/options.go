package soak

import (
	"net"
	"os"
	"time"

	"github.com/juju/errors"
	"go.uber.org/multierr"
)

// The bounds of a soak. The most processes are what the machine bears beside others; the fewest are three stewards, two gates, two
// local proxies and their executors.
const (
	MinProcesses = 8
	MaxProcesses = 200
	MinLength    = 15 * time.Second
	MaxLength    = 30 * time.Minute
)

// Options say what to soak and how.
type Options struct {
	// Seed decides the schedule and what clients do.
	Seed uint64
	// Length is how long clients and faults go on; start, settling and end come on top.
	Length    time.Duration
	Processes int
	// Kinds are the faults that are drawn.
	Kinds []FaultKind
	// Keep is the folder for settings, logs and data; a temporary one if it is empty.
	Keep string
	// Program is the gannetline binary.
	Program string
	// Network is the first two octets of the loopback addresses, such as 127.92.
	Network string
	// InjectedFault is put into what is observed, to see that an oracle finds it.
	InjectedFault InjectedFault
	// Rollouts has a bad version of the service rolled out, and a good one after it.
	Rollouts bool
	// Mix is what the deployment has switched on; nil is the usual one.
	Mix *Mix
	// Parts are those that are kept busy; nil is all of them.
	Parts []Part
	// Pace is how many times as often as usual clients call; 0 is 1.
	Pace float64
	// SettingsFault is a mistake in the settings, to see that an oracle finds what comes of it.
	SettingsFault SettingsFault
	// Schedule is played in place of a drawn one.
	Schedule *Schedule
}

// Layout is which processes the soak has.
func (o *Options) Layout() *Layout {
	if o.Mix == nil {
		return NewLayout(o.Processes, o.Network)
	}
	layout := NewMixedLayout(o.Processes, o.Network, o.Mix)
	layout.LeavesOutTenants = !o.isBusy(PartTenants)
	return layout
}

// pace is how many times as often as usual clients call.
func (o *Options) pace() float64 {
	if o.Pace == 0 {
		return 1
	}
	return o.Pace
}

// jobClients is how many clients each gate has.
func (o *Options) jobClients() int {
	if !o.isBusy(PartJobs) && !o.isBusy(PartTenants) {
		return 0
	}
	return clientsPerGate
}

// Check tells what is wrong with the options, by the names of their flags.
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
		problems = multierr.Append(problems, o.Schedule.check())
	}
	return problems
}
