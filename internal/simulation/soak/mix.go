package soak

import (
	"math/rand/v2"
	"slices"
	"time"

	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/settings"
)

// Feature is something that a deployment switches on beside jobs and configurations, by contracts.
type Feature string

// The features.
const (
	// FeatureTenants has each call bear the key of a tenant, and limits what tenants have running.
	FeatureTenants Feature = "tenants"
	// FeatureEvacuations has the operator empty zones.
	FeatureEvacuations Feature = "evacuations"
	// FeatureLocks has applications use locks, numbers and cells.
	FeatureLocks Feature = "locks"
	// FeatureTier has gates pass requests on to executors that the platform lists, and take lots of them.
	FeatureTier Feature = "tier"
)

// AllFeatures are all that a mix may have.
var AllFeatures = []Feature{FeatureTenants, FeatureEvacuations, FeatureLocks, FeatureTier}

// featureContracts are the contracts by which a feature is switched on.
var featureContracts = map[Feature][]string{
	FeatureTenants:     {"tenants", "quota"},
	FeatureEvacuations: {"pressure", "places"},
	FeatureLocks:       {settings.ContractCoordination},
	FeatureTier:        {"pool", settings.ContractLots, settings.ContractStreams, "engine"},
}

// Mix is what a deployment has switched on, where its machines are, and its bounds, in milliseconds.
type Mix struct {
	Features     []Feature
	Zones        int
	OrderList    string
	HeartbeatMs  int
	EvacuationMs int
	DrainMs      int
	MaxHoldMs    int
	GangWaitMs   int
}

// usualMix is that of a soak without one.
func usualMix() *Mix {
	return &Mix{Features: []Feature{FeatureLocks}, Zones: 1, OrderList: "invocation", HeartbeatMs: heartbeatMs}
}

// mixStream sets the random numbers of mixes apart from those of schedules and clients.
const mixStream = 3

// The bounds of what is drawn. A seed's last digits in binary are its features, so that as many seeds in a row as there are combinations
// have all of them.
const (
	maxZones                 = 4
	minHeartbeat, heartbeats = 600, 1200
	minEvacuation            = 2500
	evacuations              = 2500
	minDrain, drains         = 1500, 2500
	minMaxHold, maxHolds     = 4000, 6000
	minGangWait, gangWaits   = 2000, 3000
)

// DrawMix makes the mix of a seed.
func DrawMix(seed uint64) *Mix {
	draw := rand.New(rand.NewPCG(seed, mixStream))
	mix := &Mix{Zones: 1 + draw.IntN(maxZones), OrderList: "invocation", HeartbeatMs: minHeartbeat + draw.IntN(heartbeats),
		EvacuationMs: minEvacuation + draw.IntN(evacuations), DrainMs: minDrain + draw.IntN(drains), MaxHoldMs: minMaxHold + draw.IntN(maxHolds),
		GangWaitMs: minGangWait + draw.IntN(gangWaits)}
	if draw.IntN(2) == 0 {
		mix.OrderList = "heartbeat"
	}
	for place, feature := range AllFeatures {
		if seed>>place&1 == 1 {
			mix.Features = append(mix.Features, feature)
		}
	}
	if mix.Has(FeatureEvacuations) {
		mix.Zones = max(2, mix.Zones)
	}
	return mix
}

// Has tells whether a feature is switched on.
func (m *Mix) Has(feature Feature) bool { return slices.Contains(m.Features, feature) }

// contracts are those in force; jobs and configurations always are.
func (m *Mix) contracts() []string {
	all := []string{"base", "drain", "config", "cost", "recover", "health"}
	for _, feature := range m.Features {
		all = append(all, featureContracts[feature]...)
	}
	return append(all, settings.ContractJobs)
}

// bounds are those of the settings file that the mix draws; a bound of 0 is left out.
func (m *Mix) bounds() map[string]int {
	all := map[string]int{"evacuation-ms": m.EvacuationMs, "drain-timeout-ms": m.DrainMs, "max-hold-ms": m.MaxHoldMs, "gang-wait-ms": m.GangWaitMs}
	for name, value := range all {
		if value == 0 {
			delete(all, name)
		}
	}
	return all
}

// evacuationInForce is how long after its acknowledgement an evacuation must be in force.
func (m *Mix) evacuationInForce() time.Duration { return clock.Milliseconds(int64(m.EvacuationMs)) }

// SettingsFault is a mistake in the settings that the processes of a mix are given, to see that an oracle finds what comes of it.
type SettingsFault string

// The faults of settings; NoSettingsFault is none.
const (
	NoSettingsFault SettingsFault = ""
	// ForgetContracts leaves out the contracts of the last feature of the mix.
	ForgetContracts SettingsFault = "contracts"
	// WrongBound has how long the state of a job is kept be a second, as another bound is.
	WrongBound SettingsFault = "bound"
)

// AllSettingsFaults are all of them.
var AllSettingsFaults = []SettingsFault{ForgetContracts, WrongBound}

func (f SettingsFault) isKnown() bool {
	return f == NoSettingsFault || slices.Contains(AllSettingsFaults, f)
}

// wrongStatusSeconds is how long the state of a job is kept under WrongBound.
const wrongStatusSeconds = 1

// disturb puts the fault into the fields of a settings file.
func (f SettingsFault) disturb(fields *settingsFields, mix *Mix) {
	switch f {
	case ForgetContracts:
		forgotten := featureContracts[mix.Features[len(mix.Features)-1]]
		fields.Contracts = slices.DeleteFunc(fields.Contracts, func(contract string) bool { return slices.Contains(forgotten, contract) })
	case WrongBound:
		fields.Bounds["status_s"] = wrongStatusSeconds
	}
}
