package soak

import (
	"math/rand/v2"
	"slices"
	"time"

	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/settings"
)

// Feature is an optional part of a deployment, enabled by contracts. Jobs and configurations are always enabled.
type Feature string

// The features.
const (
	// FeatureTenants makes clients send a tenant's key with each call, and limits the running tasks of the first tenant.
	FeatureTenants Feature = "tenants"
	// FeatureEvacuations makes the operator evacuate zones.
	FeatureEvacuations Feature = "evacuations"
	// FeatureLocks makes applications use locks, numbers and cells.
	FeatureLocks Feature = "locks"
	// FeatureTier makes gates forward requests to the executors that the platform lists, and accept lots of requests.
	FeatureTier Feature = "tier"
	// FeatureMoves makes the operator remove the clients' queue and put it back on another service or under another name.
	FeatureMoves Feature = "moves"
)

// AllFeatures are the features a mix may have. DrawMix uses the index of a feature as its bit in the seed.
var AllFeatures = []Feature{FeatureTenants, FeatureEvacuations, FeatureLocks, FeatureTier, FeatureMoves}

// featureContracts are the contracts that enable each feature. Moves need none.
var featureContracts = map[Feature][]string{
	FeatureTenants:     {"tenants", "quota"},
	FeatureEvacuations: {"pressure", "places"},
	FeatureLocks:       {settings.ContractCoordination},
	FeatureTier:        {"pool", settings.ContractLots, settings.ContractStreams, "engine"},
}

// Mix is a deployment's choice of features, number of zones, kind of order list and protocol bounds in milliseconds. A bound of
// 0 is left out of the settings.
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

// defaultMix returns the mix of a soak whose options name none.
func defaultMix() *Mix {
	return &Mix{Features: []Feature{FeatureLocks}, Zones: 1, OrderList: "invocation", HeartbeatMs: heartbeatMs}
}

// mixRandomStream is the random stream of mixes.
const mixRandomStream = 3

// The ranges of the drawn values, with times in milliseconds. A random number of 0 up to, not including, the range is added to
// the minimum.
const (
	maxZones                       = 4
	minHeartbeatMs, heartbeatRange = 600, 1200
	minEvacuationMs                = 2500
	evacuationRange                = 2500
	minDrainMs, drainRange         = 1500, 2500
	minMaxHoldMs, maxHoldRange     = 4000, 6000
	minGangWaitMs, gangWaitRange   = 2000, 3000
)

// DrawMix returns the mix of a seed. The lowest bits of the seed select the features, so consecutive seeds cover all
// combinations.
func DrawMix(seed uint64) *Mix {
	random := rand.New(rand.NewPCG(seed, mixRandomStream))
	mix := &Mix{Zones: 1 + random.IntN(maxZones), OrderList: "invocation", HeartbeatMs: minHeartbeatMs + random.IntN(heartbeatRange),
		EvacuationMs: minEvacuationMs + random.IntN(evacuationRange), DrainMs: minDrainMs + random.IntN(drainRange), MaxHoldMs: minMaxHoldMs + random.IntN(maxHoldRange),
		GangWaitMs: minGangWaitMs + random.IntN(gangWaitRange)}
	if random.IntN(2) == 0 {
		mix.OrderList = "heartbeat"
	}
	for bit, feature := range AllFeatures {
		if seed>>bit&1 == 1 {
			mix.Features = append(mix.Features, feature)
		}
	}
	if mix.Has(FeatureEvacuations) {
		mix.Zones = max(2, mix.Zones)
	}
	return mix
}

// Has reports whether a feature is enabled.
func (m *Mix) Has(feature Feature) bool { return slices.Contains(m.Features, feature) }

// contracts returns the active contracts; those of jobs and configurations are always included.
func (m *Mix) contracts() []string {
	all := []string{"base", "drain", "config", "cost", "recover", "health"}
	for _, feature := range m.Features {
		all = append(all, featureContracts[feature]...)
	}
	return append(all, settings.ContractJobs)
}

// lastContracts returns the contracts of the last feature that has contracts.
func (m *Mix) lastContracts() []string {
	for _, feature := range slices.Backward(m.Features) {
		if contracts := featureContracts[feature]; len(contracts) > 0 {
			return contracts
		}
	}
	return nil
}

// bounds returns the drawn protocol bounds by their names in the settings file, without those that are 0.
func (m *Mix) bounds() map[string]int {
	all := map[string]int{"evacuation-ms": m.EvacuationMs, "drain-timeout-ms": m.DrainMs, "max-hold-ms": m.MaxHoldMs, "gang-wait-ms": m.GangWaitMs}
	for name, value := range all {
		if value == 0 {
			delete(all, name)
		}
	}
	return all
}

// evacuationDeadline returns the time in which an evacuation must take effect, counted from its acknowledgement.
func (m *Mix) evacuationDeadline() time.Duration { return clock.Milliseconds(int64(m.EvacuationMs)) }

// SettingsFault is a mistake in the settings of all processes, to check that an oracle finds its effects.
type SettingsFault string

// The faults of settings; NoSettingsFault is none.
const (
	NoSettingsFault SettingsFault = ""
	// ForgetContracts leaves out the contracts of the mix's last feature that has contracts.
	ForgetContracts SettingsFault = "contracts"
	// WrongBound sets the retention of job states to wrongStatusSeconds, as if the value of another bound were written there.
	WrongBound SettingsFault = "bound"
)

// AllSettingsFaults are the settings faults that can be chosen.
var AllSettingsFaults = []SettingsFault{ForgetContracts, WrongBound}

func (f SettingsFault) isKnown() bool {
	return f == NoSettingsFault || slices.Contains(AllSettingsFaults, f)
}

// wrongStatusSeconds is the retention of job states with WrongBound, which is shorter than a soak.
const wrongStatusSeconds = 1

// applyTo changes the fields of a settings file as the fault says.
func (f SettingsFault) applyTo(fields *settingsFields, mix *Mix) {
	switch f {
	case ForgetContracts:
		forgotten := mix.lastContracts()
		fields.Contracts = slices.DeleteFunc(fields.Contracts, func(contract string) bool { return slices.Contains(forgotten, contract) })
	case WrongBound:
		fields.Bounds["status_s"] = wrongStatusSeconds
	}
}
